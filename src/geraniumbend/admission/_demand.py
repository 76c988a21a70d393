"""Estimates of the offered work by group and caller."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from geraniumbend.admission._connection_demand import ConnectionDemand

BIN_S = 0.1
LONG_WINDOW_BINS = 50
SHORT_WINDOW_BINS = 4
# The estimate switches from the long to the short window when their means differ by
# more than this many standard deviations of the short one.
CHANGE_DEVIATIONS = 4.0
# Time constant of the exponential decay of a caller's rate.
CALLER_DECAY_S = 2.0
MAX_CALLERS = 4096
# Simultaneous requests of one caller that count in full, so that one sheet open of an
# ordinary caller does.
BURST_REQUESTS = 8


class _Bin(NamedTuple):
    bin_index: int
    work_s: float
    square_sum: float


class DemandWindow:
    """Estimates the offered work per second.

    The estimate is the mean over a long window, which keeps the admission thresholds
    of the gateways close together. When a short window shows that demand has changed,
    its mean is used instead and the older bins are discarded.
    """

    def __init__(self) -> None:
        self._bins: deque[_Bin] = deque()
        self._first_bin = math.inf

    def record(self, work_s: float, now: float) -> None:
        """Record the work of one request, in seconds of service time."""
        bin_index = int(now / BIN_S)
        if self._first_bin is math.inf:
            self._first_bin = bin_index
        if self._bins and self._bins[-1].bin_index == bin_index:
            last = self._bins.pop()
            work_s, square_sum = last.work_s + work_s, last.square_sum + work_s**2
        else:
            square_sum = work_s**2
        self._bins.append(_Bin(bin_index, work_s, square_sum))
        while self._bins[0].bin_index <= bin_index - LONG_WINDOW_BINS:
            self._bins.popleft()

    def rate(self, now: float) -> tuple[float, float]:
        """Return offered work and its standard deviation, in seconds per second."""
        bin_index = int(now / BIN_S)
        complete_bins = [
            entry
            for entry in self._bins
            if bin_index - LONG_WINDOW_BINS <= entry.bin_index < bin_index
        ]
        if not complete_bins:
            return 0.0, 0.0
        age_bins = max(1.0, bin_index - self._first_bin)
        long_mean = sum(entry.work_s for entry in complete_bins) / min(
            LONG_WINDOW_BINS, age_bins
        )
        recent_bins = [
            entry
            for entry in complete_bins
            if entry.bin_index >= bin_index - SHORT_WINDOW_BINS
        ]
        short_bins = min(SHORT_WINDOW_BINS, age_bins)
        short_mean = sum(entry.work_s for entry in recent_bins) / short_bins
        short_deviation = (
            math.sqrt(sum(entry.square_sum for entry in recent_bins)) / short_bins
        )
        long_bins = min(LONG_WINDOW_BINS, age_bins)
        square_sum = sum(entry.square_sum for entry in complete_bins)
        expected_deviation = math.sqrt(square_sum / long_bins / short_bins)
        if abs(short_mean - long_mean) <= CHANGE_DEVIATIONS * max(
            short_deviation, expected_deviation
        ):
            return long_mean / BIN_S, math.sqrt(square_sum) / long_bins / BIN_S
        # Bins from before the change do not describe the current demand.
        self._first_bin = bin_index - short_bins
        self._bins = deque(recent_bins)
        return short_mean / BIN_S, short_deviation / BIN_S


class OfferedWork(NamedTuple):
    """Work that a caller and one of its connections offer.

    Parameters
    ----------
    rate : float
        Offered work of the caller, in seconds per second.
    counted_s : float
        Part of the work of the request that counts in the demand of the group, in
        seconds.
    connection_share : float
        Offered work of the connection, as a multiple of an equal share of that of all
        active connections of the caller; below 1 for those that ask for little.
    """

    rate: float
    counted_s: float
    connection_share: float


class _CallerState:
    """Decaying rate and token bucket of one caller."""

    __slots__ = ("connections", "rate", "tokens_s", "updated")

    def __init__(self, tokens_s: float, updated: float) -> None:
        self.connections = ConnectionDemand(CALLER_DECAY_S)
        self.rate = 0.0
        self.tokens_s = tokens_s
        self.updated = updated


class CallerDemand:
    """Estimates the offered work per second of each caller.

    When ``MAX_CALLERS`` are known, the half with the lowest rates is evicted.
    """

    def __init__(self) -> None:
        self._callers: dict[str, _CallerState] = {}

    def record(
        self,
        caller: str,
        work_s: float,
        rate_limit: float,
        now: float,
        connection: int = 0,
    ) -> OfferedWork:
        """Record work of a caller.

        Parameters
        ----------
        caller : str
            Identity of the caller.
        work_s : float
            Work of one request, in seconds of service time.
        rate_limit : float
            Work of the caller that counts in the demand of the group, in seconds per
            second. The excess does not count, so that it cannot make the group refuse
            other callers.
        now : float
            Current time, in seconds.
        connection : int, default=0
            Number of the caller's connection; 0 if it is not known.

        Returns
        -------
        OfferedWork
            Work that the caller and the connection offer.
        """
        capacity_s = max(rate_limit, BURST_REQUESTS * work_s)
        state = self._callers.get(caller)
        if state is None:
            if len(self._callers) >= MAX_CALLERS:
                self._evict_smallest(now)
            state = self._callers[caller] = _CallerState(capacity_s, now)
        elapsed_s = max(0.0, now - state.updated)
        state.rate *= math.exp(-elapsed_s / CALLER_DECAY_S)
        state.rate += work_s / CALLER_DECAY_S
        state.tokens_s = min(capacity_s, state.tokens_s + elapsed_s * rate_limit)
        state.updated = now
        counted_s = min(work_s, state.tokens_s)
        state.tokens_s -= counted_s
        connection_rate = state.connections.record(connection, work_s, now)
        share = 1.0
        if state.rate > 0:
            share = connection_rate * len(state.connections) / state.rate
        return OfferedWork(state.rate, counted_s, share)

    def forget_connection(self, caller: str, connection: int) -> None:
        """Forget what a connection that has ended asked for.

        This is no request: it does not make the caller an active one.
        """
        state = self._callers.get(caller)
        if state is not None:
            ended_rate = state.connections.forget(connection, state.updated)
            state.rate = max(0.0, state.rate - ended_rate)

    def count_active(self, now: float) -> int:
        """Return the number of callers with a request in the last `CALLER_DECAY_S`."""
        since = now - CALLER_DECAY_S
        return sum(state.updated >= since for state in self._callers.values())

    def _evict_smallest(self, now: float) -> None:
        def decayed_rate(caller: str) -> float:
            state = self._callers[caller]
            return state.rate * math.exp((state.updated - now) / CALLER_DECAY_S)

        for caller in sorted(self._callers, key=decayed_rate)[: MAX_CALLERS // 2]:
            del self._callers[caller]
