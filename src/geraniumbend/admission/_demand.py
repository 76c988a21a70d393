from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

BIN_S = 0.1
LONG_BINS = 50
SHORT_BINS = 4
# The long window is given up for the short one when the two differ by this many
# standard deviations of the short one.
CHANGE_DEVIATIONS = 4.0
CALLER_MEMORY_S = 2.0
CALLER_ENTRIES = 4096
# Requests at once that count in full, so that one open of an ordinary caller does.
BURST_REQUESTS = 8


class _Bin(NamedTuple):
    number: int
    work_s: float
    squares: float


class DemandWindow:
    """Offered work per second over the last seconds.

    The estimate is a mean over a long window, which keeps the levels of the gateways
    close together, until the short window shows that demand has changed.
    """

    def __init__(self) -> None:
        self._bins: deque[_Bin] = deque()
        self._start = math.inf

    def record(self, work_s: float, now: float) -> None:
        """Count the work of one request, in seconds."""
        number = int(now / BIN_S)
        if self._start is math.inf:
            self._start = number
        if self._bins and self._bins[-1].number == number:
            last = self._bins.pop()
            work_s, squares = last.work_s + work_s, last.squares + work_s**2
        else:
            squares = work_s**2
        self._bins.append(_Bin(number, work_s, squares))
        while self._bins[0].number <= number - LONG_BINS:
            self._bins.popleft()

    def rate(self, now: float) -> tuple[float, float]:
        """Return offered work and its standard deviation, in seconds per second."""
        number = int(now / BIN_S)
        complete = [
            entry for entry in self._bins if number - LONG_BINS <= entry.number < number
        ]
        if not complete:
            return 0.0, 0.0
        age = max(1.0, number - self._start)
        long = sum(entry.work_s for entry in complete) / min(LONG_BINS, age)
        recent = [entry for entry in complete if entry.number >= number - SHORT_BINS]
        bins = min(SHORT_BINS, age)
        short = sum(entry.work_s for entry in recent) / bins
        deviation = math.sqrt(sum(entry.squares for entry in recent)) / bins
        bins_long = min(LONG_BINS, age)
        squares = sum(entry.squares for entry in complete)
        expected = math.sqrt(squares / bins_long / bins)
        if abs(short - long) <= CHANGE_DEVIATIONS * max(deviation, expected):
            return long / BIN_S, math.sqrt(squares) / bins_long / BIN_S
        # Bins from before the change say nothing about the present demand.
        self._start = number - bins
        self._bins = deque(recent)
        return short / BIN_S, deviation / BIN_S


class _Caller:
    __slots__ = ("rate", "spare_s", "updated")

    def __init__(self, spare_s: float, updated: float) -> None:
        self.rate = 0.0
        self.spare_s = spare_s
        self.updated = updated


class CallerDemand:
    """Offered work per second of each caller, in bounded memory."""

    def __init__(self) -> None:
        self._callers: dict[str, _Caller] = {}

    def record(
        self, caller: str, work_s: float, bound: float, now: float
    ) -> tuple[float, float]:
        """Count work of a caller.

        Parameters
        ----------
        caller : str
            Identity of the caller.
        work_s : float
            Work in seconds.
        bound : float
            Work per second up to which a caller counts in the demand of the group.
            What exceeds it must not make the group refuse other callers.
        now : float
            Present time in seconds.

        Returns
        -------
        rate : float
            Offered work of the caller in seconds per second.
        counted_s : float
            Part of the work that counts in the demand of the group, in seconds.
        """
        depth_s = max(bound, BURST_REQUESTS * work_s)
        known = self._callers.get(caller)
        if known is None:
            if len(self._callers) >= CALLER_ENTRIES:
                self._forget_small(now)
            known = self._callers[caller] = _Caller(depth_s, now)
        idle = max(0.0, now - known.updated)
        known.rate *= math.exp(-idle / CALLER_MEMORY_S)
        known.rate += work_s / CALLER_MEMORY_S
        known.spare_s = min(depth_s, known.spare_s + idle * bound)
        known.updated = now
        counted_s = min(work_s, known.spare_s)
        known.spare_s -= counted_s
        return known.rate, counted_s

    def _forget_small(self, now: float) -> None:
        def current(caller: str) -> float:
            known = self._callers[caller]
            return known.rate * math.exp((known.updated - now) / CALLER_MEMORY_S)

        for caller in sorted(self._callers, key=current)[: CALLER_ENTRIES // 2]:
            del self._callers[caller]
