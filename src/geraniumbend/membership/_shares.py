from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError
from geraniumbend.membership._records import DEMAND, DOMAIN_SCOPE_NODES
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.membership._membership import Membership
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# A new gateway must find room at once, so the divisor grows fast; a gateway that only
# seems gone still uses its share, so the others take it over slowly.
GROW_S = 0.3
SHRINK_S = 5.0
DEMAND_WINDOW_S = 2.0
DEMAND_LIFETIME_S = 15.0
DEMAND_REPEAT_S = 5.0
DEMAND_PERIOD_S = 0.5
# Smaller changes would be sent for the noise of request arrivals alone.
SIGNIFICANT_CHANGE = 0.25
LEAST_CHANGE = 0.05
LEAST_RATE = 1e-4
# The record has 900 bytes; groups beyond the largest ones fall back to equal shares.
MAX_GROUPS = 24
CACHE_S = 0.05


class Shares:
    """Shares of this gateway in what all gateways divide among themselves.

    Parameters
    ----------
    membership : Membership
        Live gateways and published demand.
    minimum_gateways : int
        Gateways assumed at least.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, membership: Membership, minimum_gateways: int, timers: TimerService
    ) -> None:
        self._membership = membership
        self._minimum = max(1, minimum_gateways)
        self._timers = timers
        self._divisor = float(self._minimum)
        self._updated = timers.now()
        self._rates: dict[str, float] = {}
        self._counted: dict[str, float] = {}
        self._counted_since = timers.now()
        self._published: dict[str, float] = {}
        self._published_at = float("-inf")
        self._totals: dict[str, float] = {}
        self._totals_at = float("-inf")

    @classmethod
    def from_config(
        cls, settings: Settings, membership: Membership, timers: TimerService
    ) -> Shares:
        """Build the shares of a gateway.

        Parameters
        ----------
        settings : Settings
            Whole settings.
        membership : Membership
            Live gateways and published demand.
        timers : TimerService
            Clock.

        Returns
        -------
        Shares
            The shares.
        """
        return cls(membership, settings.peer.minimum_gateways, timers)

    def gateway_share(self) -> float:
        """Return 1 / live gateways, smoothed; at most 1 / ``minimum_gateways``."""
        now = self._timers.now()
        elapsed = now - self._updated
        if elapsed >= CACHE_S:
            target = float(max(self._minimum, self._membership.live_gateways()))
            span = GROW_S if target > self._divisor else SHRINK_S
            self._divisor += (target - self._divisor) * -math.expm1(-elapsed / span)
            self._updated = now
        return 1.0 / self._divisor

    def demand_share(self, group: str) -> float:
        """Return this gateway's part of the demand for a group, from 0 to 1.

        While the demand of others is unknown, gateways that are missing from the
        settings' minimum are assumed to have the average demand, so that a gateway
        that is cut off does not take the whole group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        float
            The part; the equal share when nobody reports demand.
        """
        self._roll(self._timers.now())
        own = self._rates.get(group, 0.0)
        total = own + self._others(group)
        if total <= 0.0:
            return self.gateway_share()
        live = max(1, self._membership.live_gateways())
        divisor = 1.0 / self.gateway_share()
        return own / (total * max(1.0, divisor / live))

    def record_demand(self, group: str, amount: float) -> None:
        """Count demand that reached this gateway.

        Parameters
        ----------
        group : str
            Name of the group.
        amount : float
            Demand, for example 1 for each request.
        """
        self._counted[group] = self._counted.get(group, 0.0) + amount
        self._roll(self._timers.now())

    def _roll(self, now: float) -> None:
        elapsed = now - self._counted_since
        if elapsed < DEMAND_PERIOD_S:
            return
        weight = -math.expm1(-elapsed / DEMAND_WINDOW_S)
        for group in self._rates.keys() | self._counted.keys():
            rate = self._counted.get(group, 0.0) / elapsed
            before = self._rates.get(group, 0.0)
            after = before + (rate - before) * weight
            if after < LEAST_RATE:
                self._rates.pop(group, None)
            else:
                self._rates[group] = after
        self._counted.clear()
        self._counted_since = now
        self._publish(now)

    def _publish(self, now: float) -> None:
        names = sorted(self._rates, key=lambda g: (-self._rates[g], g))[:MAX_GROUPS]
        rates = {name: self._rates[name] for name in names}
        changed = any(
            abs(rates.get(g, 0.0) - self._published.get(g, 0.0))
            > max(SIGNIFICANT_CHANGE * self._published.get(g, 0.0), LEAST_CHANGE)
            for g in rates.keys() | self._published.keys()
        )
        due = bool(rates) and now - self._published_at >= DEMAND_REPEAT_S
        if not (changed or due):
            return
        value = encode(load_structs("membership").DemandValue(rates=rates))
        try:
            sent = self._membership.publish(DEMAND, "", value, DEMAND_LIFETIME_S)
        except GeraniumbendError:
            return
        if sent:
            self._published, self._published_at = rates, now

    def _others(self, group: str) -> float:
        now = self._timers.now()
        if now - self._totals_at >= CACHE_S:
            self._totals = self._sum_others()
            self._totals_at = now
        return self._totals.get(group, 0.0)

    def _sum_others(self) -> dict[str, float]:
        live = set(self._membership.live_gateway_names()) - {self._membership.name}
        totals: dict[str, float] = {}
        reporting = 1
        struct = load_structs("membership").DemandValue
        for (node, _), value in self._membership.records(DEMAND).items():
            if node not in live:
                continue
            reporting += 1
            try:
                rates = decode(struct, value).rates or {}
            except GeraniumbendError:
                continue
            for group, rate in rates.items():
                if isinstance(group, str) and rate > 0 and math.isfinite(rate):
                    totals[group] = totals.get(group, 0.0) + rate
        if len(live) + 1 > DOMAIN_SCOPE_NODES and reporting < len(live) + 1:
            # Above this size demand stays within a failure domain, whose gateways
            # then stand for the others.
            factor = (len(live) + 1) / reporting
            return {group: rate * factor for group, rate in totals.items()}
        return totals
