"""Tells when a wait that lasts is to be reported."""

from __future__ import annotations

# Time in seconds until a wait is reported first, and longest time between two reports;
# the time doubles in between.
FIRST_REPORT_S = 2.0
LONGEST_PERIOD_S = 60.0


class WaitReports:
    """Times at which a wait is reported: soon, then at growing intervals.

    Parameters
    ----------
    started_at : float
        Start of the wait, in seconds of the caller's clock.
    first_s : float, default=2.0
        Time until the first report, in seconds.
    """

    def __init__(self, started_at: float, first_s: float = FIRST_REPORT_S) -> None:
        self._first_s = first_s
        self.restart(started_at)

    def restart(self, now: float) -> None:
        """Begin a new wait."""
        self._started_at = now
        self._period_s = self._first_s
        self._due_at = now + self._period_s

    def waited_s(self, now: float) -> float:
        """Return how long the wait has lasted, in seconds."""
        return now - self._started_at

    def is_due(self, now: float) -> bool:
        """Return whether to report now; the next report is due later."""
        if now < self._due_at:
            return False
        self._period_s = min(2 * max(self._period_s, 1.0), LONGEST_PERIOD_S)
        self._due_at = now + self._period_s
        return True
