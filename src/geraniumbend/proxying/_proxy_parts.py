"""Components that handle a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.proxying._dialect import StandardDialect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._dialect import Dialect
    from geraniumbend.proxying._peer_forwarder import PeerForwarder
    from geraniumbend.proxying._planned_stop import PlannedStop
    from geraniumbend.proxying._ports import (
        AdmissionPort,
        ConfigurationPort,
        HedgeBudgetPort,
        LimitsPort,
        LinksPort,
        OrdersPort,
        QuarantinePort,
        QuotaPort,
        RankingPort,
        RetryBudgetPort,
        RouterPort,
        Upstream,
    )
    from geraniumbend.timers import TimerService


class ProxyParts(NamedTuple):
    """Components that handle a request.

    Parameters
    ----------
    configuration : ConfigurationView
        Active configuration.
    router : Router
        Choice of backend servers.
    admission : Admission
        Admission of requests under overload.
    budget : RetryBudget
        Limit on retries and hedges.
    quarantine : Quarantine
        Quarantine of requests that crash backend servers.
    upstream : Upstream
        Connections to backend servers.
    orders : OrderClient or None
        Client of the order journal; without it orders are refused.
    timers : TimerService
        Clock.
    dialect : Dialect, default=StandardDialect()
        Names and formats of header fields towards callers and backend servers.
    wait_synchronised : callable or None, default=None
        Waits until the known backend servers are up to date after a pause of the
        process; awaited before each choice of a server.
    limits : ServerLimits or None, default=None
        Hears the limits that backend servers name.
    planned_stop : PlannedStop or None, default=None
        Refuses requests that the end of the process might cut off.
    links : LinksPort or None, default=None
        Links from this gateway to the backend servers.
    forwarder : PeerForwarder or None, default=None
        Forwards requests through other gateways while those links are lost.
    quotas : QuotaPort or None, default=None
        Quotas of tenants.
    is_configuration_stale : callable or None, default=None
        Tells whether the process was paused and has not asked for changes since.
    find_ranking : callable or None, default=None
        Returns the admission by rank and tenant; None while it is off.
    hedge_budget : HedgeBudget or None, default=None
        Budget of the extra work that hedges cause.
    may_write : callable or None, default=None
        Tells whether the state was renewed after the last pause of the process.
    """

    configuration: ConfigurationPort
    router: RouterPort
    admission: AdmissionPort
    budget: RetryBudgetPort
    quarantine: QuarantinePort
    upstream: Upstream
    orders: OrdersPort | None
    timers: TimerService
    dialect: Dialect = StandardDialect()
    wait_synchronised: Callable[[], Awaitable[object]] | None = None
    limits: LimitsPort | None = None
    planned_stop: PlannedStop | None = None
    links: LinksPort | None = None
    forwarder: PeerForwarder | None = None
    quotas: QuotaPort | None = None
    is_configuration_stale: Callable[[], bool] | None = None
    find_ranking: Callable[[], RankingPort | None] | None = None
    hedge_budget: HedgeBudgetPort | None = None
    may_write: Callable[[], bool] | None = None
