"""Sums of rates over the gateways of all failure domains."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._records import DEMAND, RETRY_EARNINGS, SUM_KINDS
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._membership import Membership
    from geraniumbend.timers import Subscription, TimerService

    Rates = dict[str, float]

RECORD_LIFETIME_S = 15.0
SUM_PERIOD_S = 1.0
SUM_REFRESH_S = 5.0
# Relative change of a sum that is published before it is due again.
SIGNIFICANT_CHANGE = 0.25
# Keeps a published record within its limit of 900 bytes; groups beyond those with the
# highest rates are left out.
MAX_GROUPS = 24

declare_event(
    822,
    "rates_rejected",
    "warning",
    "Rates of a peer were malformed and were ignored.",
)


class RateTotals:
    """Sums of rates by group over the gateways of all failure domains.

    The gateways of a failure domain publish their rates within the domain. The gateway
    with the first name of each domain publishes the sums to the other domains, so that
    the number of records that cross between domains is that of the domains.

    Parameters
    ----------
    membership : Membership
        Live gateways and published records.
    timers : TimerService
        Clock and periodic callbacks.
    """

    def __init__(self, membership: Membership, timers: TimerService) -> None:
        self._membership = membership
        self._timers = timers
        self._rates: dict[str, dict[str, Rates]] = {DEMAND: {}, RETRY_EARNINGS: {}}
        self._sums: dict[str, dict[tuple[str, str], Rates]] = {
            kind: {} for kind in SUM_KINDS.values()
        }
        self._own: dict[str, Rates] = {}
        self._published: dict[str, tuple[float, Rates]] = {}
        self._subscription: Subscription | None = None
        for kind, sum_kind in SUM_KINDS.items():
            self._subscribe(kind, sum_kind)

    def start(self) -> None:
        """Publish the sums of the failure domain when this node is its reporter."""
        self._subscription = self._timers.every(
            SUM_PERIOD_S, self.publish_domain_sums, 0.2
        )

    def stop(self) -> None:
        """Publish no more sums."""
        if self._subscription is not None:
            self._subscription.cancel()

    def publish(self, kind: str, rates: Rates) -> bool:
        """Publish rates of this gateway within its failure domain.

        Parameters
        ----------
        kind : str
            `DEMAND` or `RETRY_EARNINGS`.
        rates : dict of str to float
            Rates by group; the `MAX_GROUPS` highest are published.

        Returns
        -------
        bool
            False when the byte budget is used up.
        """
        self._own[kind] = rates
        return self._write(self._membership.publish, kind, "", rates)

    def sum_others(self, kind: str) -> Rates:
        """Return the sums over all other live gateways by group.

        Parameters
        ----------
        kind : str
            `DEMAND` or `RETRY_EARNINGS`.

        Returns
        -------
        dict of str to float
            Sums; another failure domain counts with the sums that it last published.
        """
        live = self._list_gateway_domains()
        totals = self._sum_domain(kind, live)
        reporters: dict[str, str] = {}
        for node, domain in sorted(self._sums[SUM_KINDS[kind]]):
            # A gateway that was declared dead counts only until another one reports.
            if domain not in reporters or reporters[domain] not in live:
                reporters[domain] = node
        for domain, node in reporters.items():
            if domain != self._membership.failure_domain:
                _add(totals, self._sums[SUM_KINDS[kind]][node, domain])
        return totals

    def publish_domain_sums(self) -> None:
        """Publish the sums of the failure domain if this gateway is its reporter."""
        live = self._list_gateway_domains()
        domain = self._membership.failure_domain
        domains = set(live.values())
        local = [name for name, value in live.items() if value == domain]
        if len(domains) < 2 or min(local, default="") != self._membership.name:
            return
        now = self._timers.now()
        for kind, sum_kind in SUM_KINDS.items():
            sums = self._sum_domain(kind, live)
            _add(sums, self._own.get(kind, {}))
            published_at, published = self._published.get(sum_kind, (-math.inf, {}))
            due = bool(sums) and now - published_at >= SUM_REFRESH_S
            if (due or has_changed(sums, published)) and self._write(
                self._membership.publish_to_domains, sum_kind, domain, sums
            ):
                self._published[sum_kind] = (now, sums)

    def _sum_domain(self, kind: str, live: dict[str, str]) -> Rates:
        """Return the sums over the other live gateways of this failure domain."""
        totals: Rates = {}
        for node, rates in self._rates[kind].items():
            if live.get(node) == self._membership.failure_domain:
                _add(totals, rates)
        return totals

    def _list_gateway_domains(self) -> dict[str, str]:
        return {
            member.name: member.failure_domain
            for member in self._membership.list_live_gateways()
        }

    def _subscribe(self, kind: str, sum_kind: str) -> None:
        def update_rates(node: str, key: str, value: bytes | None) -> None:
            self._rates[kind].pop(node, None)
            rates = _read_rates(node, value)
            if rates is not None and node != self._membership.name:
                self._rates[kind][node] = rates

        def update_sums(node: str, key: str, value: bytes | None) -> None:
            self._sums[sum_kind].pop((node, key), None)
            rates = _read_rates(node, value)
            if rates is not None:
                self._sums[sum_kind][node, key] = rates

        self._membership.subscribe_records(kind, update_rates)
        self._membership.subscribe_records(sum_kind, update_sums)

    def _write(
        self,
        publish: Callable[[str, str, bytes, float], bool],
        kind: str,
        key: str,
        rates: Rates,
    ) -> bool:
        names = sorted(rates, key=lambda name: (-rates[name], name))[:MAX_GROUPS]
        struct = load_structs("membership").RatesValue
        value = encode(struct(rates={name: rates[name] for name in names}))
        try:
            return publish(kind, key, value, RECORD_LIFETIME_S)
        except GeraniumbendError:
            return False


def has_changed(rates: Rates, published: Rates, least: float = 0.0) -> bool:
    """Tell whether rates differ enough from the published ones to be published.

    Parameters
    ----------
    rates, published : dict of str to float
        Present and published rates by group.
    least : float, default=0.0
        Smallest absolute change that counts.
    """
    return any(
        abs(rates.get(name, 0.0) - published.get(name, 0.0))
        > max(SIGNIFICANT_CHANGE * published.get(name, 0.0), least)
        for name in rates.keys() | published.keys()
    )


def _read_rates(node: str, value: bytes | None) -> Rates | None:
    if value is None:
        return None
    try:
        rates = decode(load_structs("membership").RatesValue, value).rates or {}
    except GeraniumbendError as error:
        log_event(822, node=node, error=str(error))
        return None
    return {
        group: rate
        for group, rate in rates.items()
        if isinstance(group, str) and rate > 0 and math.isfinite(rate)
    }


def _add(totals: Rates, rates: Rates) -> None:
    for group, rate in rates.items():
        totals[group] = totals.get(group, 0.0) + rate
