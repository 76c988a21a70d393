"""Load reports of backend servers."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

HEADER = "endpoint-load-metrics"
# The duration of work that counts as usual, in percent.
BASELINE_PERCENT = 100.0
MAX_COUNT = 1e9
PREFIX = "named_metrics."


class LoadReport(NamedTuple):
    """Load that a backend server reports.

    Parameters
    ----------
    in_flight : float or None, default=None
        Requests running and queued on the server, from all gateways.
    slots : int or None, default=None
        Requests that the server runs at the same time.
    utilization : float or None, default=None
        Utilization; 1.0 is full.
    latency_s : float or None, default=None
        Recent latency reported by the server, in seconds.
    slowdown : float or None, default=None
        Present duration of work on the server's host over its baseline; 1.0 means that
        the host is not slowed down.
    """

    in_flight: float | None = None
    slots: int | None = None
    utilization: float | None = None
    latency_s: float | None = None
    slowdown: float | None = None


def parse_report(text: str) -> LoadReport | None:
    """Parse an ``endpoint-load-metrics`` header.

    Parameters
    ----------
    text : str
        Header value in the TEXT or JSON format of the Open Request Cost
        Aggregation (ORCA) proposal. A value without format prefix is read as TEXT.

    Returns
    -------
    LoadReport or None
        Report, or None if the text states neither requests in flight nor utilization.
        Values that are negative or not finite are ignored.
    """
    kind, _, rest = text.strip().partition(" ")
    if kind.upper() == "JSON":
        values = dict(_read_json(rest))
    else:
        values = dict(_read_text(rest if kind.upper() == "TEXT" else text))
    return build_report(values)


def build_report(values: dict[str, float]) -> LoadReport | None:
    """Build a report from named values.

    Parameters
    ----------
    values : dict of str to float
        ``in_flight``, ``slots``, ``latency_ms``, ``slowdown`` and the ORCA
        utilizations.

    Returns
    -------
    LoadReport or None
        Report, or None if neither requests in flight nor utilization is known.
    """
    utilization = values.get("application_utilization", values.get("cpu_utilization"))
    in_flight = values.get("in_flight")
    if in_flight is None and utilization is None:
        return None
    slots = int(values.get("slots", 0)) or None
    latency_ms = values.get("latency_ms")
    latency_s = None if latency_ms is None else latency_ms / 1000
    return LoadReport(in_flight, slots, utilization, latency_s, values.get("slowdown"))


def parse_counts(text: str | None) -> LoadReport | None:
    """Return the load report in a list of numbers, None if it is malformed.

    Parameters
    ----------
    text : str or None
        Requests running, requests queued, slots and, optionally, the duration of work
        as a percentage of its baseline, separated by commas.
    """
    if text is None:
        return None
    try:
        values = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(values) < 3 or not all(0 <= value < MAX_COUNT for value in values):
        return None
    slowdown = values[3] / BASELINE_PERCENT if len(values) > 3 else None
    return LoadReport(values[0] + values[1], int(values[2]) or None, slowdown=slowdown)


def _read_text(text: str) -> Iterator[tuple[str, float]]:
    for part in text.split(","):
        name, _, value = part.partition("=")
        yield from _accept(name, value)


def _read_json(text: str) -> Iterator[tuple[str, float]]:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return
    if not isinstance(document, dict):
        return
    named = document.get("named_metrics")
    for table in (document, named if isinstance(named, dict) else {}):
        for name, value in table.items():
            yield from _accept(name, value)


def _accept(name: str, value: Any) -> Iterator[tuple[str, float]]:
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return
    if math.isfinite(number) and number >= 0:
        yield name.strip().removeprefix(PREFIX), number
