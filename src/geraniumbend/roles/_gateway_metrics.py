"""Metrics of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.adapters.http_listener import HttpListener
    from geraniumbend.limits import ServerLimits
    from geraniumbend.metrics import MetricSet
    from geraniumbend.retries import HedgeBudget
    from geraniumbend.roles._gateway_links import GatewayLinks
    from geraniumbend.roles._pause_check import PauseCheck
    from geraniumbend.routing import Router, ServerTable
    from geraniumbend.tenants import TenantTotals
    from geraniumbend.traffic import TrafficCounters


class MeasuredParts(NamedTuple):
    """Parts of a gateway whose state the gauges show.

    Parameters
    ----------
    listener : HttpListener
        Listener for callers.
    limits : ServerLimits
        Limits of servers, and cold servers.
    router : Router
        Choice of servers.
    table : ServerTable
        Members of the groups.
    hedge_budget : HedgeBudget
        Budget of hedges.
    links : GatewayLinks
        Links to the servers.
    traffic : TrafficCounters
        Bytes exchanged with other hosts.
    tenant_totals : TenantTotals
        Requests of tenants.
    pause_check : PauseCheck
        Check of the state after a pause.
    """

    listener: HttpListener
    limits: ServerLimits
    router: Router
    table: ServerTable
    hedge_budget: HedgeBudget
    links: GatewayLinks
    traffic: TrafficCounters
    tenant_totals: TenantTotals
    pause_check: PauseCheck


def create_observer(metrics: MetricSet) -> Callable[[str, str, int, float], None]:
    """Return the function that counts a request when it ends.

    Its arguments are group, request class, status and duration in seconds.
    """
    count_request = metrics.declare_counter(
        "requests_total",
        "Caller requests by group, class and status; status 0 means aborted.",
        ("group", "request_class", "status"),
    )
    observe_duration = metrics.declare_histogram(
        "request_seconds", "Time to respond to caller requests.", ("group",)
    )

    def observe(group: str, request_class: str, status: int, duration_s: float) -> None:
        count_request(group, request_class, str(status))
        observe_duration(duration_s, group)

    return observe


def declare_gauges(metrics: MetricSet, parts: MeasuredParts) -> None:
    """Declare the gauges that read the state of a gateway's parts."""
    metrics.declare_gauge(
        "requests_in_flight",
        "Caller requests in flight.",
        lambda: {(): float(parts.listener.in_flight())},
    )
    metrics.declare_gauge(
        "server_limit_per_second",
        "Requests a second that a backend server takes from all gateways together.",
        parts.limits.read_limits,
        ("server",),
    )
    metrics.declare_gauge(
        "limited_server_requests",
        "Requests sent to a server since it named its limit, by kind; refused are "
        "those that found all servers at their limits.",
        parts.limits.read_totals,
        ("server", "kind"),
    )
    metrics.declare_gauge(
        "cold_servers",
        "Backend servers that get requests at the rate of a warm-up.",
        parts.limits.count_cold,
    )
    metrics.declare_gauge(
        "cold_server_requests",
        "Requests sent to cold servers by kind; refused are those that found all "
        "servers cold or at their limits.",
        parts.limits.read_cold_totals,
        ("kind",),
    )
    metrics.declare_gauge(
        "evacuation_withheld",
        "Writes to servers whose failure domain was evacuated after their choice.",
        parts.router.count_withheld,
    )
    metrics.declare_gauge(
        "leaving_server_seconds",
        "Time since a backend server stated in a response that it leaves.",
        parts.table.leaving.read_ages,
        ("server",),
    )
    metrics.declare_gauge(
        "leaving_withheld",
        "Writes to servers that stated after their choice that they leave.",
        parts.table.leaving.count_withheld,
    )
    metrics.declare_gauge(
        "asked_time_left_seconds",
        "Time for which a backend server that asked for it gets nothing from here.",
        parts.table.asked.read_left,
        ("server",),
    )
    metrics.declare_gauge(
        "asked_time",
        "Responses with 503 and Retry-After by kind of value; writes withheld and "
        "requests refused because of them.",
        parts.table.asked.read_totals,
        ("kind",),
    )
    metrics.declare_gauge(
        "pause_withheld",
        "Writes withheld after a pause of the process, until its state was renewed.",
        parts.pause_check.count_withheld,
    )
    metrics.declare_gauge(
        "evacuated_servers",
        "Backend servers that get no requests because their failure domain is "
        "evacuated.",
        parts.table.count_evacuated,
        ("domain",),
    )
    metrics.declare_gauge(
        "hedges",
        "Hedges within the budget of the operator that started or won, and those "
        "that were not sent, by reason.",
        parts.hedge_budget.read_totals,
        ("outcome",),
    )
    metrics.declare_gauge(
        "lost_links",
        "Number of groups of which this gateway reaches no backend server.",
        parts.links.count_lost,
    )
    metrics.declare_gauge(
        "hanging_reports",
        "Requests that got no byte for longer than their class explains.",
        lambda: {(): float(parts.router.hanging.reports)},
    )
    metrics.declare_gauge(
        "traffic_bytes",
        "Bytes exchanged with other hosts by purpose; scope local or remote tells "
        "whether they are in the same failure domain.",
        parts.traffic.read_gauge,
        ("purpose", "scope"),
    )

    metrics.declare_gauge(
        "tenant_requests",
        "Accepted requests by configured tenant and outcome since the start.",
        parts.tenant_totals.read_requests,
        ("tenant", "outcome"),
    )
    metrics.declare_gauge(
        "authentication_refusals",
        "Requests refused for their key by reason since the start.",
        parts.tenant_totals.read_refusals,
        ("reason",),
    )
