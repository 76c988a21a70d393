"""Rule that sends to a limited server must keep."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

# The platform's rule LIMIT: times in seconds, a factor and a number of requests.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
RATE_FACTOR = 1.5
SLACK = 5
# Time in seconds after which a gateway that has passed on a limit counts. A lower limit
# binds as much later: the server can tell it only in the response to a request.
TOLD_S = 0.5
DELAYS = (0.0, TOLD_S)


class Send(NamedTuple):
    """One request or probe at a limited server.

    Parameters
    ----------
    time_s : float
        Time of its arrival.
    gateway : str
        Gateway that sent it, empty if that is not known.
    counts : bool
        Whether the rule counts it: the gateway had passed on a response with the limit
        half a second before, and no fault excuses it.
    served : bool
        Whether it was a caller's request.
    """

    time_s: float
    gateway: str
    counts: bool
    served: bool


class LimitRule:
    """What one server names over time, and what the rule allows by that."""

    def __init__(self) -> None:
        self._statements: list[tuple[float, float | None]] = [(0.0, None)]

    def state(self, time_s: float, per_s: float | None) -> None:
        """Record the limit that the server names from now on, None for no limit."""
        self._statements.append((time_s, per_s))

    def measure(self, sends: list[Send], end_s: float) -> float:
        """Return the largest count in a window, divided by what the rule allows.

        Parameters
        ----------
        sends : list of Send
            Everything that reached the server.
        end_s : float
            Time at which the observation ends.
        """
        worst = 0.0
        counted = [send for send in sends if send.counts]
        bounds = [*self._statements, (end_s, None)]
        for (from_s, per_s), (until_s, _) in itertools.pairwise(bounds):
            if per_s is None:
                continue
            first_s = self._find_first_statement(from_s) + STABLE_WINDOW_S
            for start_s, count in iterate_windows(counted, first_s, until_s, WINDOW_S):
                allowed = RATE_FACTOR * self._integrate(start_s) + SLACK
                worst = max(worst, count / allowed)
        return worst

    def _find_first_statement(self, from_s: float) -> float:
        """Return when the limit was first named in the unbroken time up to `from_s`."""
        first_s = float("inf")
        for time_s, per_s in self._statements:
            first_s = float("inf") if per_s is None else min(first_s, time_s)
            if time_s >= from_s:
                break
        return first_s

    def _integrate(self, start_s: float) -> float:
        """Return what the limits allow in the window from `start_s` on."""
        end_s = start_s + WINDOW_S
        changes = [
            time_s + delay_s for time_s, _ in self._statements for delay_s in DELAYS
        ]
        inside = [time_s for time_s in changes if start_s < time_s < end_s]
        bounds = sorted([start_s, *inside, end_s])
        return sum(
            (until_s - from_s) * self._find_limit((from_s + until_s) / 2)
            for from_s, until_s in itertools.pairwise(bounds)
        )

    def _find_limit(self, time_s: float) -> float:
        """Return the highest limit that was in force in the last `TOLD_S`."""
        highest = 0.0
        bounds = [*self._statements, (float("inf"), None)]
        for (from_s, per_s), (until_s, _) in itertools.pairwise(bounds):
            if from_s <= time_s and until_s > time_s - TOLD_S:
                highest = max(highest, per_s or 0.0)
        return highest


def iterate_windows(
    sends: list[Send], from_s: float, until_s: float, window_s: float
) -> Iterator[tuple[float, int]]:
    """Yield the start of each window that begins with a send, and its sends."""
    times = sorted(send.time_s for send in sends)
    last = 0
    for first, start_s in enumerate(times):
        last = max(last, first)
        while last < len(times) and times[last] < start_s + window_s:
            last += 1
        if from_s <= start_s and start_s + window_s <= until_s:
            yield start_s, last - first
