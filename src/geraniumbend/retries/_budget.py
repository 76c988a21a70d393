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

# Retries and hedges of all gateways together, as a share of their successes.
BUDGET_SHARE = 0.1
WINDOW_S = 10.0
BINS = 20
# Part of the budget that comes from the successes of all gateways; the rest comes
# from this gateway's own.
COMMON_PART = 0.5
PERIOD_S = 1.0
REPEAT_S = 5.0
LIFETIME_S = 15.0
SIGNIFICANT_CHANGE = 0.25
# The record holds at most 900 bytes.
MAX_GROUPS = 24
# Until gossip has told a gateway about the others, it uses no common allowance.
SETTLE_S = 2.0
# A gateway may retry once in a window whatever the successes, because a group with few
# requests would otherwise never be able to retry.
MINIMUM = 1.0


class MembershipPort(Protocol):
    """Part of membership that the budget uses."""

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes."""
        ...

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
        ...


class SharePort(Protocol):
    """Share of this gateway in common budgets."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class _Window:
    """Count over a sliding window in bins of a twentieth of it."""

    __slots__ = ("_bin_s", "_bins", "_total")

    def __init__(self, window_s: float) -> None:
        self._bin_s = window_s / BINS
        self._bins: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, now: float) -> None:
        number = int(now / self._bin_s)
        if not self._bins or self._bins[-1][0] != number:
            self._bins.append([number, 0.0])
        self._bins[-1][1] += 1
        self._total += 1

    def read(self, now: float) -> float:
        # The bin that ends the window counts in full, so that no window of this
        # length holds more than what was read.
        oldest = int(now / self._bin_s) - BINS
        while self._bins and self._bins[0][0] < oldest:
            self._total -= self._bins.popleft()[1]
        return self._total


class RetryBudget:
    """Bounds retries and hedges of all gateways by their recent successes.

    Each gateway may spend half of the share of its own successes and its part of the
    same half of all gateways' successes. The sum over the gateways is the budget, and
    no gateway has to know what the others have spent.

    Parameters
    ----------
    node : str
        Name of this gateway.
    membership : MembershipPort
        Records shared by all gateways.
    shares : SharePort
        Share of this gateway.
    timers : TimerService
        Clock.
    ratio : float, default=0.1
        Retries of all gateways as a share of their successes.
    window_s : float, default=10.0
        Length of every window in which that holds, in seconds.
    allowance : float, default=0.0
        Retries a window of all gateways besides the ratio; one a gateway when 0.
    counts_moves : bool, default=False
        Whether a request that is sent again from a silent connection is a retry.
    """

    def __init__(
        self,
        node: str,
        membership: MembershipPort,
        shares: SharePort,
        timers: TimerService,
        ratio: float = BUDGET_SHARE,
        window_s: float = WINDOW_S,
        allowance: float = 0.0,
        counts_moves: bool = False,
    ) -> None:
        self.counts_moves = counts_moves
        self._ratio = ratio
        self._window_s = window_s
        self._allowance = allowance
        self._started_at = timers.now()
        self._node = node
        self._membership = membership
        self._shares = shares
        self._timers = timers
        self._earned: dict[str, _Window] = {}
        self._spent: dict[str, _Window] = {}
        self._others: dict[str, float] = {}
        self._refreshed = -math.inf
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
        """Build the budget of a gateway."""
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

    def earn(self, group: str) -> None:
        """Count a success of a group."""
        now = self._timers.now()
        earned = self._earned.get(group)
        if earned is None:
            earned = self._earned[group] = _Window(self._window_s)
        earned.add(now)
        self._refresh(now)

    def spend(self, group: str) -> bool:
        """Take one retry or hedge from the budget.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        bool
            False when the budget is used up.
        """
        if not self.allows(group):
            return False
        self._spent[group].add(self._timers.now())
        return True

    def allows(self, group: str) -> bool:
        """Tell whether one more retry or hedge is within the budget."""
        now = self._timers.now()
        self._refresh(now)
        earned = self._earned.get(group)
        own = earned.read(now) if earned is not None else 0.0
        share = self._shares.gateway_share()
        common = (own + self._others.get(group, 0.0)) * share
        allowed = self._ratio * ((1 - COMMON_PART) * own + COMMON_PART * common)
        if self._allowance:
            # A gateway that has just started does not know yet how many share it.
            if now - self._started_at >= SETTLE_S:
                allowed += self._allowance * share
        else:
            allowed = max(MINIMUM, allowed)
        spent = self._spent.get(group)
        if spent is None:
            spent = self._spent[group] = _Window(self._window_s)
        return spent.read(now) + 1 <= allowed

    def _refresh(self, now: float) -> None:
        if now - self._refreshed < PERIOD_S:
            return
        self._refreshed = now
        self._publish(now)
        self._others = {}
        struct = load_structs("retries").RetryEarnings
        reporting = 1
        for (node, _), value in self._membership.records(RETRY_EARNINGS).items():
            if node == self._node:
                continue
            reporting += 1
            try:
                rates = decode(struct, value).rates or {}
            except GeraniumbendError:
                continue
            for group, rate in rates.items():
                if math.isfinite(rate) and rate > 0:
                    self._others[group] = self._others.get(group, 0.0) + rate
        gateways = 1 / max(self._shares.gateway_share(), 1e-9)
        if gateways >= DOMAIN_SCOPE_NODES and reporting > 1:
            # In a large cluster only gateways of the own failure domain are heard,
            # which then stand for the others.
            factor = max(1.0, gateways / reporting)
            self._others = {name: n * factor for name, n in self._others.items()}

    def _publish(self, now: float) -> None:
        earned = {group: count.read(now) for group, count in self._earned.items()}
        names = sorted(earned, key=lambda group: (-earned[group], group))[:MAX_GROUPS]
        current = {group: round(earned[group], 1) for group in names}
        changed = any(
            abs(current.get(group, 0.0) - self._published.get(group, 0.0))
            > SIGNIFICANT_CHANGE * max(1.0, self._published.get(group, 0.0))
            for group in current.keys() | self._published.keys()
        )
        if not changed and now - self._published_at < REPEAT_S:
            return
        value = encode(load_structs("retries").RetryEarnings(rates=current))
        try:
            sent = self._membership.publish(RETRY_EARNINGS, "", value, LIFETIME_S)
        except GeraniumbendError:
            return
        if sent:
            self._published, self._published_at = current, now
