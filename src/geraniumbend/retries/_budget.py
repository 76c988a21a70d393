from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from geraniumbend.errors import GeraniumbendError
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

KIND = "retry-budget"
# Retries and hedges of all gateways together, as a share of their successes.
BUDGET_SHARE = 0.1
WINDOW_S = 10.0
# Part of the budget that comes from the successes of all gateways; the rest comes
# from this gateway's own.
COMMON_PART = 0.5
PERIOD_S = 1.0
REPEAT_S = 5.0
LIFETIME_S = 15.0
SIGNIFICANT_CHANGE = 0.25
# The record holds at most 900 bytes.
MAX_GROUPS = 24
# A gateway may retry about once in a window whatever the successes, because a group
# with few requests would otherwise never be able to retry. The half above 1 is for
# spent retries that are not quite forgotten.
MINIMUM = 1.5


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


class _Decaying:
    __slots__ = ("updated", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated = 0.0

    def add(self, amount: float, now: float) -> None:
        self.value = self.read(now) + amount
        self.updated = now

    def read(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.updated) / WINDOW_S)


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
    """

    def __init__(
        self,
        node: str,
        membership: MembershipPort,
        shares: SharePort,
        timers: TimerService,
    ) -> None:
        self._node = node
        self._membership = membership
        self._shares = shares
        self._timers = timers
        self._earned: dict[str, _Decaying] = {}
        self._spent: dict[str, _Decaying] = {}
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
        return cls(settings.node.name, membership, shares, timers)

    def earn(self, group: str) -> None:
        """Count a success of a group."""
        now = self._timers.now()
        self._earned.setdefault(group, _Decaying()).add(1.0, now)
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
        now = self._timers.now()
        self._refresh(now)
        earned = self._earned.get(group)
        own = earned.read(now) if earned is not None else 0.0
        common = (own + self._others.get(group, 0.0)) * self._shares.gateway_share()
        allowed = BUDGET_SHARE * ((1 - COMMON_PART) * own + COMMON_PART * common)
        spent = self._spent.setdefault(group, _Decaying())
        if spent.read(now) + 1 > max(MINIMUM, allowed):
            return False
        spent.add(1.0, now)
        return True

    def _refresh(self, now: float) -> None:
        if now - self._refreshed < PERIOD_S:
            return
        self._refreshed = now
        self._publish(now)
        self._others = {}
        struct = load_structs("retries").RetryEarnings
        for (node, _), value in self._membership.records(KIND).items():
            if node == self._node:
                continue
            try:
                rates = decode(struct, value).rates or {}
            except GeraniumbendError:
                continue
            for group, rate in rates.items():
                if math.isfinite(rate) and rate > 0:
                    self._others[group] = self._others.get(group, 0.0) + rate

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
            self._membership.publish(KIND, "", value, LIFETIME_S)
        except GeraniumbendError:
            return
        self._published, self._published_at = current, now
