"""Share of a gateway in limits that all gateways divide."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.membership._rate_totals import has_changed
from geraniumbend.membership._records import DEMAND

if TYPE_CHECKING:
    from geraniumbend.membership._membership import Membership
    from geraniumbend.membership._rate_totals import RateTotals
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# Time constants of the smoothed number of gateways, in seconds. It grows fast, so that
# a new gateway finds free slots at once. It shrinks slowly, because a gateway that only
# appears dead still uses its share.
GROWTH_TIME_CONSTANT_S = 0.3
SHRINK_TIME_CONSTANT_S = 5.0
DEMAND_WINDOW_S = 2.0
DEMAND_REFRESH_S = 5.0
DEMAND_PERIOD_S = 0.5
# Absolute change of demand that is published. Smaller changes would be published
# because of the noise of request arrivals alone.
MIN_CHANGE = 0.05
MIN_RATE = 1e-4
CACHE_S = 0.05


class GatewayShares:
    """Shares of this gateway in the limits that all gateways divide among themselves.

    Parameters
    ----------
    membership : Membership
        Live gateways.
    totals : RateTotals
        Demand of the other gateways.
    minimum_gateways : int
        Minimum number of gateways to assume.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        membership: Membership,
        totals: RateTotals,
        minimum_gateways: int,
        timers: TimerService,
    ) -> None:
        self._membership = membership
        self._rate_totals = totals
        self._minimum = max(1, minimum_gateways)
        self._timers = timers
        self._divisor = float(self._minimum)
        self._updated = timers.now()
        self._rates: dict[str, float] = {}
        self._window_demand: dict[str, float] = {}
        self._window_start = timers.now()
        self._published_rates: dict[str, float] = {}
        self._published_at = float("-inf")
        self._totals: dict[str, float] = {}
        self._totals_at = float("-inf")

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        membership: Membership,
        totals: RateTotals,
        timers: TimerService,
    ) -> GatewayShares:
        """Build the shares of a gateway.

        Parameters
        ----------
        settings : Settings
            Settings of the process.
        membership : Membership
            Live gateways.
        totals : RateTotals
            Demand of the other gateways.
        timers : TimerService
            Clock.

        Returns
        -------
        Shares
            The shares.
        """
        return cls(membership, totals, settings.peer.minimum_gateways, timers)

    def gateway_share(self) -> float:
        """Return 1 / live gateways, smoothed; at most 1 / ``minimum_gateways``."""
        now = self._timers.now()
        elapsed = now - self._updated
        if elapsed >= CACHE_S:
            target = float(max(self._minimum, self._membership.live_gateways()))
            time_constant_s = (
                GROWTH_TIME_CONSTANT_S
                if target > self._divisor
                else SHRINK_TIME_CONSTANT_S
            )
            self._divisor += (target - self._divisor) * -math.expm1(
                -elapsed / time_constant_s
            )
            self._updated = now
        return 1.0 / self._divisor

    def demand_share(self, group: str) -> float:
        """Return this gateway's share of the demand for a group, from 0 to 1.

        While fewer gateways are live than ``minimum_gateways``, the missing ones are
        assumed to have the average demand, so that a gateway that is cut off does not
        use the whole capacity of the group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        float
            The share; that of equal shares when no gateway reports demand.
        """
        self._update_rates(self._timers.now())
        own = self._rates.get(group, 0.0)
        total = own + self._other_demand(group)
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
        self._window_demand[group] = self._window_demand.get(group, 0.0) + amount
        self._update_rates(self._timers.now())

    def _update_rates(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < DEMAND_PERIOD_S:
            return
        weight = -math.expm1(-elapsed / DEMAND_WINDOW_S)
        for group in self._rates.keys() | self._window_demand.keys():
            rate = self._window_demand.get(group, 0.0) / elapsed
            before = self._rates.get(group, 0.0)
            after = before + (rate - before) * weight
            if after < MIN_RATE:
                self._rates.pop(group, None)
            else:
                self._rates[group] = after
        self._window_demand.clear()
        self._window_start = now
        self._publish(now)

    def _publish(self, now: float) -> None:
        rates = dict(self._rates)
        changed = has_changed(rates, self._published_rates, MIN_CHANGE)
        due = bool(rates) and now - self._published_at >= DEMAND_REFRESH_S
        if (changed or due) and self._rate_totals.publish(DEMAND, rates):
            self._published_rates, self._published_at = rates, now

    def _other_demand(self, group: str) -> float:
        now = self._timers.now()
        if now - self._totals_at >= CACHE_S:
            self._totals = self._rate_totals.sum_others(DEMAND)
            self._totals_at = now
        return self._totals.get(group, 0.0)
