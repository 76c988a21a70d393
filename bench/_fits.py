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
        Change of the figure for each unit of size.
    intercept : float
        Figure at size 0.
    slope_error : float
        Standard error of the slope, 0 with two points.
    """

    slope: float
    intercept: float
    slope_error: float

    def predict(self, size: float) -> float:
        """Return the figure at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes : sequence of float, shape (n,)
        Sizes, at least two different ones.
    figures : sequence of float, shape (n,)
        Measured figures.

    Returns
    -------
    Fit
        Line and standard error of its slope.
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(figures, dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (intercept + slope * x)
    spread = float(((x - x.mean()) ** 2).sum())
    freedom = len(x) - 2
    variance = float((residuals**2).sum()) / freedom if freedom > 0 else 0.0
    return Fit(float(slope), float(intercept), (variance / spread) ** 0.5)
