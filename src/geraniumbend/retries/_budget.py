from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from geraniumbend.errors import GeraniumbendError
from geraniumbend.membership import DOMAIN_SCOPE_NODES, RETRY_EARNINGS
from geraniumbend.wire import decode, encode, load_structs

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
RECORD_LIFETIME_S = 15.0
SIGNIFICANT_CHANGE = 0.25
# Keeps the published record within its limit of 900 bytes.
MAX_GROUPS = 24
# After a start, gossip needs time to inform a gateway of the others. Until then it uses
# no part of the shared allowance.
STARTUP_DELAY_S = 2.0
# Retries per window that a gateway may always make, because a group with few requests
# could otherwise never retry.
MIN_RETRIES = 1.0


class MembershipPort(Protocol):
    """Part of membership that the budget uses."""

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes."""
        ...

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
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
    node : str
        Name of this gateway.
    membership : MembershipPort
        Publishes and reads the records that gateways exchange.
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
        node: str,
        membership: MembershipPort,
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
        self._node = node
        self._membership = membership
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
        membership: MembershipPort,
        shares: SharePort,
        timers: TimerService,
    ) -> RetryBudget:
        """Create the retry budget of a gateway from its settings."""
        gateway = settings.gateway
        return cls(
            settings.node.name,
            membership,
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
        self._peer_successes = {}
        struct = load_structs("retries").RetryEarnings
        reporting_gateways = 1
        for (node, _), value in self._membership.records(RETRY_EARNINGS).items():
            if node == self._node:
                continue
            reporting_gateways += 1
            try:
                peer_rates = decode(struct, value).rates or {}
            except GeraniumbendError:
                continue
            for group, rate in peer_rates.items():
                if math.isfinite(rate) and rate > 0:
                    self._peer_successes[group] = (
                        self._peer_successes.get(group, 0.0) + rate
                    )
        gateways = 1 / max(self._shares.gateway_share(), 1e-9)
        if gateways >= DOMAIN_SCOPE_NODES and reporting_gateways > 1:
            # In a large cluster a gateway receives records only from its own failure
            # domain and extrapolates from them to all gateways.
            factor = max(1.0, gateways / reporting_gateways)
            self._peer_successes = {
                name: n * factor for name, n in self._peer_successes.items()
            }

    def _publish_successes(self, now: float) -> None:
        """Publish own successes per group if they changed or are due again."""
        successes = {
            group: count.total(now) for group, count in self._successes.items()
        }
        largest_groups = sorted(
            successes, key=lambda group: (-successes[group], group)
        )[:MAX_GROUPS]
        rates = {group: round(successes[group], 1) for group in largest_groups}
        changed = any(
            abs(rates.get(group, 0.0) - self._published.get(group, 0.0))
            > SIGNIFICANT_CHANGE * max(1.0, self._published.get(group, 0.0))
            for group in rates.keys() | self._published.keys()
        )
        if not changed and now - self._published_at < REPUBLISH_PERIOD_S:
            return
        value = encode(load_structs("retries").RetryEarnings(rates=rates))
        try:
            accepted = self._membership.publish(
                RETRY_EARNINGS, "", value, RECORD_LIFETIME_S
            )
        except GeraniumbendError:
            return
        if accepted:
            self._published, self._published_at = rates, now
