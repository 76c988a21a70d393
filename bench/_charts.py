"""Charts of the report page."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

if TYPE_CHECKING:
    from pathlib import Path


def draw_bars(
    path: Path, title: str, unit: str, series: dict[str, dict[str, float]]
) -> None:
    """Draw a chart of grouped bars.

    Parameters
    ----------
    path : Path
        PNG file to write.
    title : str
        Title of the chart.
    unit : str
        Label of the vertical axis.
    series : dict of str to dict
        Values by policy, by name of the series.
    """
    figure, axes = plt.subplots(figsize=(7, 3.5))
    labels = list(next(iter(series.values())))
    width = 0.8 / len(series)
    for number, (name, values) in enumerate(series.items()):
        positions = [position + number * width for position in range(len(labels))]
        axes.bar(positions, [values[label] for label in labels], width, label=name)
    axes.set_xticks(
        [position + 0.4 - width / 2 for position in range(len(labels))], labels
    )
    axes.set_title(title)
    axes.set_ylabel(unit)
    if len(series) > 1:
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def draw_lines(path: Path, fits: dict[str, dict[str, Any]]) -> None:
    """Draw measured points and fitted lines, one panel for each fit.

    Parameters
    ----------
    path : Path
        PNG file to write.
    fits : dict of str to dict
        Results of the slopes experiment by name.
    """
    columns = 3
    rows = -(-len(fits) // columns)
    figure, grid = plt.subplots(rows, columns, figsize=(10, 2.6 * rows), squeeze=False)
    for axes in grid.flat[len(fits) :]:
        axes.set_axis_off()
    for axes, (name, fit) in zip(grid.flat, fits.items(), strict=False):
        ends = [0, max(fit["sizes"])]
        axes.plot(fit["sizes"], fit["figures"], "o")
        axes.plot(ends, [fit["intercept"] + fit["slope"] * end for end in ends])
        axes.set_title(f"{name} ({fit['unit']})", fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
