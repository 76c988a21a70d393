"""Least-squares fits of measured points."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence


class Fit(NamedTuple):
    """Least-squares line through measured points.

    Parameters
    ----------
    slope : float
        Change of the measured value per unit of size.
    intercept : float
        Value at size 0.
    slope_error : float
        Standard error of the slope; 0 with two points.
    """

    slope: float
    intercept: float
    slope_error: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes : sequence of float, shape (n,)
        Sizes; at least two of them differ.
    values : sequence of float, shape (n,)
        Measured values.

    Returns
    -------
    Fit
        Line and standard error of its slope.
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (intercept + slope * x)
    spread = float(((x - x.mean()) ** 2).sum())
    freedom = len(x) - 2
    variance = float((residuals**2).sum()) / freedom if freedom > 0 else 0.0
    return Fit(float(slope), float(intercept), (variance / spread) ** 0.5)
