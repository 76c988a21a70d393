"""Budget of retries and hedges over all gateways."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from geraniumbend.membership import RETRY_EARNINGS, has_changed

if TYPE_CHECKING:
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# Retries and hedges of all gateways together, as a share of their successful requests.
DEFAULT_RATIO = 0.1
DEFAULT_WINDOW_S = 10.0
WINDOW_BINS = 20
# Fraction of the budget that comes from the successes of all gateways, divided equally
# among them; the rest comes from this gateway's own successes.
SHARED_FRACTION = 0.5
REFRESH_PERIOD_S = 1.0
REPUBLISH_PERIOD_S = 5.0
# Change of the successes in a window that is published before it is due again.
MIN_CHANGE = 0.25
# After a start, gossip needs time to inform a gateway of the others. Until then it uses
# no part of the shared allowance.
STARTUP_DELAY_S = 2.0
# Retries per window that a gateway may always make, because a group with few requests
# could otherwise never retry.
MIN_RETRIES = 1.0


class TotalsPort(Protocol):
    """Sums over the gateways of the cluster."""

    def publish(self, kind: str, rates: dict[str, float]) -> bool:
        """Publish numbers of this gateway by group."""
        ...

    def sum_others(self, kind: str) -> dict[str, float]:
        """Return the sums over all other gateways by group."""
        ...


class SharePort(Protocol):
    """Provides this gateway's share of budgets that all gateways share."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class _SlidingCounter:
    """Counts events in a sliding window that is divided into bins."""

    __slots__ = ("_bin_s", "_bins", "_total")

    def __init__(self, window_s: float) -> None:
        self._bin_s = window_s / WINDOW_BINS
        self._bins: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, now: float) -> None:
        number = int(now / self._bin_s)
        if not self._bins or self._bins[-1][0] != number:
            self._bins.append([number, 0.0])
        self._bins[-1][1] += 1
        self._total += 1

    def total(self, now: float) -> float:
        # The oldest bin counts in full although the window covers it only in part, so
        # that the result is never below the count of the exact window.
        oldest = int(now / self._bin_s) - WINDOW_BINS
        while self._bins and self._bins[0][0] < oldest:
            self._total -= self._bins.popleft()[1]
        return self._total


class RetryBudget:
    """Limits retries and hedges of all gateways to a ratio of recent successes.

    Half of a gateway's budget is based on its own successes, the other half on its
    equal share of the successes of all gateways. The sum over the gateways is the
    ratio times all successes, so no gateway needs to know how many retries the others
    have made.

    Parameters
    ----------
    totals : TotalsPort
        Successes of the other gateways.
    shares : SharePort
        This gateway's share of shared budgets.
    timers : TimerService
        Clock.
    ratio : float, default=0.1
        Retries and hedges of all gateways per success.
    window_s : float, default=10.0
        Length of the sliding window in which the ratio holds, in seconds.
    allowance : float, default=0.0
        Retries of all gateways per window in addition to the ratio. When 0, each
        gateway may make at least one retry per window instead.
    counts_resends : bool, default=False
        Whether resending a request on a new connection, because its connection is
        silent, counts as a retry.
    """

    def __init__(
        self,
        totals: TotalsPort,
        shares: SharePort,
        timers: TimerService,
        ratio: float = DEFAULT_RATIO,
        window_s: float = DEFAULT_WINDOW_S,
        allowance: float = 0.0,
        counts_resends: bool = False,
    ) -> None:
        self.counts_resends = counts_resends
        self._ratio = ratio
        self._window_s = window_s
        self._allowance = allowance
        self._started_at = timers.now()
        self._totals = totals
        self._shares = shares
        self._timers = timers
        self._successes: dict[str, _SlidingCounter] = {}
        self._retries: dict[str, _SlidingCounter] = {}
        self._peer_successes: dict[str, float] = {}
        self._refreshed_at = -math.inf
        self._published: dict[str, float] = {}
        self._published_at = -math.inf

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        totals: TotalsPort,
        shares: SharePort,
        timers: TimerService,
    ) -> RetryBudget:
        """Create the retry budget of a gateway from its settings."""
        gateway = settings.gateway
        return cls(
            totals,
            shares,
            timers,
            gateway.retry_ratio,
            gateway.retry_window_s,
            gateway.retry_allowance,
            gateway.retry_counts_moves,
        )

    def record_success(self, group: str) -> None:
        """Record a successful request of a group."""
        now = self._timers.now()
        successes = self._successes.get(group)
        if successes is None:
            successes = self._successes[group] = _SlidingCounter(self._window_s)
        successes.add(now)
        self._refresh(now)

    def try_acquire(self, group: str) -> bool:
        """Record one retry or hedge if the budget allows it.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        bool
            Whether the retry is allowed; False when the budget is exhausted.
        """
        if not self.allows(group):
            return False
        self._retries[group].add(self._timers.now())
        return True

    def allows(self, group: str) -> bool:
        """Tell whether the budget allows one more retry or hedge."""
        now = self._timers.now()
        self._refresh(now)
        successes = self._successes.get(group)
        own_successes = successes.total(now) if successes is not None else 0.0
        share = self._shares.gateway_share()
        shared_successes = (
            own_successes + self._peer_successes.get(group, 0.0)
        ) * share
        allowed = self._ratio * (
            (1 - SHARED_FRACTION) * own_successes + SHARED_FRACTION * shared_successes
        )
        if self._allowance:
            # A gateway that has just started does not know yet how many gateways share
            # the allowance.
            if now - self._started_at >= STARTUP_DELAY_S:
                allowed += self._allowance * share
        else:
            allowed = max(MIN_RETRIES, allowed)
        retries = self._retries.get(group)
        if retries is None:
            retries = self._retries[group] = _SlidingCounter(self._window_s)
        return retries.total(now) + 1 <= allowed

    def _refresh(self, now: float) -> None:
        """Publish own successes and read those of the peers, once per period."""
        if now - self._refreshed_at < REFRESH_PERIOD_S:
            return
        self._refreshed_at = now
        self._publish_successes(now)
        self._peer_successes = self._totals.sum_others(RETRY_EARNINGS)

    def _publish_successes(self, now: float) -> None:
        """Publish own successes per group if they changed or are due again."""
        successes = {
            group: round(count.total(now), 1)
            for group, count in self._successes.items()
        }
        changed = has_changed(successes, self._published, MIN_CHANGE)
        if not changed and now - self._published_at < REPUBLISH_PERIOD_S:
            return
        if self._totals.publish(RETRY_EARNINGS, successes):
            self._published, self._published_at = successes, now
