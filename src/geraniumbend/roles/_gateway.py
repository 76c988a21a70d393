"""Gateway role, assembled from settings."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from geraniumbend.adapters.announce_listener import AnnounceListener
from geraniumbend.adapters.caller_guard import CallerGuard
from geraniumbend.adapters.http_listener import HttpListener
from geraniumbend.adapters.http_listener import Limits as ForwardLimits
from geraniumbend.adapters.http_upstream import HttpUpstream, LoadProbe
from geraniumbend.adapters.rpc import RpcClients, RpcServer
from geraniumbend.admission import Admission
from geraniumbend.certificates import client_certificates
from geraniumbend.configuration import ConfigurationFollower, ConfigurationView
from geraniumbend.keys import KeyRing
from geraniumbend.limits import ServerLimits, WarmupTracker, uses_warmups
from geraniumbend.membership import (
    AnnouncementApi,
    DepartureSender,
    GatewayShares,
    Membership,
    RateTotals,
)
from geraniumbend.metrics import MetricSet
from geraniumbend.orders import OrderClient
from geraniumbend.proxying import (
    PeerForwarder,
    PlannedStop,
    Proxy,
    ProxyParts,
    observe_signals,
)
from geraniumbend.quarantine import Quarantine
from geraniumbend.reachability import SILENCE_S
from geraniumbend.retries import HedgeBudget, RetryBudget
from geraniumbend.roles._background_starts import BackgroundStarts
from geraniumbend.roles._gateway_links import GatewayLinks
from geraniumbend.roles._gateway_metrics import (
    MeasuredParts,
    create_observer,
    declare_gauges,
)
from geraniumbend.roles._gateway_stages import create_gateway_stages
from geraniumbend.roles._interface_choice import choose_interface
from geraniumbend.roles._pause_check import PauseCheck
from geraniumbend.roles._peer_sessions import PeerSessions
from geraniumbend.roles._tenant_parts import TenantParts
from geraniumbend.routing import (
    FULL_LOAD,
    LoadReport,
    OnDemandProbes,
    ProbeScheduler,
    Router,
    ServerTable,
    parse_selector,
)
from geraniumbend.settings import ListenSettings
from geraniumbend.tasks import spawn_task
from geraniumbend.timers import LoopTimers, Subscription
from geraniumbend.traffic import TrafficCounters

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from geraniumbend.adapters.early_listener import EarlyListener
    from geraniumbend.adapters.http_listener import HttpCallerRequest
    from geraniumbend.model import BackendServer, Configuration
    from geraniumbend.proxying import UpstreamResponse
    from geraniumbend.routing import ServerView
    from geraniumbend.settings import Settings

# Period of applying announced loads, in seconds.
LOADS_APPLY_PERIOD_S = 0.25
# Probes of a server after the end of an evacuation, until one tells whether it is cold,
# and their interval in seconds. A full server refuses probes like other requests.
WARMUP_PROBES = 4
WARMUP_PROBE_PERIOD_S = 0.05
# Poll period for orders in flight during shutdown, in seconds.
ORDERS_POLL_S = 0.02
# Poll period for the conditions of listening for callers, in seconds.
START_POLL_S = 0.02
# Longest wait for the first list of backend servers from a seed, in seconds. After it
# the gateway listens without the list: its refusals make callers try other gateways.
SERVERS_MAX_WAIT_S = 1.5


class Gateway:
    """Gateway process: routes callers' requests to backend servers.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    early_listener : EarlyListener or None, default=None
        Socket for callers that was opened before the gateway was built.
    """

    def __init__(
        self, settings: Settings, early_listener: EarlyListener | None = None
    ) -> None:
        self._early_listener = early_listener
        gateway = settings.gateway
        keys = KeyRing.from_config(settings.keys)
        listen = settings.peer.listen
        self._settings = gateway
        self._seeds = settings.control.founders
        self.timers = self._timers = timers = LoopTimers()
        self._guard = CallerGuard.from_config(settings)
        self._rpc = RpcServer(listen.host, listen.port, keys, self._guard)
        self._traffic = TrafficCounters()
        self._clients = RpcClients(keys, self._traffic.count)
        self._membership = Membership.from_config(
            settings,
            "gateway",
            self._clients,
            timers,
            count_bytes=self._traffic.count,
        )
        self._clients.set_locality(self._membership.is_local_address)
        self._rate_totals = RateTotals(self._membership, timers)
        self._shares = GatewayShares.from_config(
            settings, self._membership, self._rate_totals, timers
        )
        self._configuration_view = ConfigurationView(timers)
        dialect = choose_interface(settings).create_dialect()
        self._follower = ConfigurationFollower.from_config(
            settings,
            self._clients,
            self._configuration_view,
            timers,
            self._list_control_hosts,
            self._membership.is_local_address,
        )
        self._pause_check = PauseCheck(self._membership, self._follower)
        self._limits = ServerLimits.from_config(settings, self._membership, timers)
        self._warmups = WarmupTracker(self._limits, timers, self._check_warmup)
        self._membership.carry_warmups(
            lambda: uses_warmups(self._configuration_view.current)
        )
        self._planned_stop = PlannedStop()
        self._table = ServerTable(timers)
        self._on_demand_probes = OnDemandProbes(
            timers, self._shares.gateway_share, gateway.probe_limit
        )
        self._router = Router.from_config(
            settings,
            self._table,
            self._shares,
            timers,
            self._on_demand_probes,
            self._limits,
            lambda server: self._membership.report_full(
                server, math.ceil(FULL_LOAD * max(1, server.slots))
            ),
        )
        self._admission = Admission.from_config(
            settings, self._table, self._shares, timers
        )
        backend_certificates = client_certificates(gateway.backend_tls)
        self._links = GatewayLinks(self._membership, self._table, timers)
        self._reachability = self._links.reachability
        self._upstream = HttpUpstream(
            timers,
            self._shares.gateway_share,
            backend_certificates.context if backend_certificates else None,
            self._membership.report_failed,
            self._traffic.count,
            settings.node.failure_domain,
            self._reachability,
        )
        self._peer_upstream = HttpUpstream(
            timers,
            _use_all_connections,
            count_bytes=self._traffic.count,
            failure_domain=settings.node.failure_domain,
        )
        self._peer_sessions = PeerSessions(
            self._membership,
            self._links.lost_links,
            self._clients,
            self._read_forward_port,
        )
        self._probes = ProbeScheduler.from_config(
            settings, self._table, self._shares, timers
        )
        self._budget = RetryBudget.from_config(
            settings, self._rate_totals, self._shares, timers
        )
        self._hedge_budget = HedgeBudget()
        self._quarantine = Quarantine.from_config(settings, self._membership, timers)
        self._orders = OrderClient.from_config(settings, self._clients, timers)
        self._metrics = MetricSet()
        self.tenant_parts = TenantParts(
            settings,
            self._table,
            self._shares,
            self._membership,
            self._limits,
            self._admission,
            timers,
            self._metrics,
        )
        forwarder = PeerForwarder(
            self._reachability,
            self._peer_sessions,
            self._peer_upstream,
            timers,
            settings.node.failure_domain,
            self._metrics.declare_counter(
                "forwarded_requests_total",
                "Requests that went through another gateway, by gateway and outcome.",
                ("gateway", "outcome"),
            ),
        )
        parts = ProxyParts(
            self._configuration_view,
            self._router,
            self._admission,
            self._budget,
            self._quarantine,
            self._upstream,
            self._orders if gateway.control else None,
            timers,
            dialect,
            self._wait_synchronised,
            self._limits,
            self._planned_stop,
            self._reachability,
            forwarder,
            is_configuration_stale=self._configuration_view.is_stale,
            find_ranking=self.tenant_parts.find_ranking,
            hedge_budget=self._hedge_budget,
            may_write=self._pause_check.may_write,
        )
        self._proxy = Proxy.from_config(settings, parts, create_observer(self._metrics))
        self.tenant_parts.set_proxy(self._proxy)
        self._caller_listener = HttpListener.from_config(
            gateway, self._proxy.handle, dialect, self._guard
        )
        self._forward_listener = HttpListener(
            self._handle_forwarded,
            ListenSettings(listen.host, gateway.forward_port),
            ForwardLimits(2 * gateway.header_limit_bytes),
            dialect,
            # Callers are served without this port, so no wait for it ends the process.
            math.inf,
            self._guard,
            "forwarded",
        )
        for listener in (self._caller_listener, self._forward_listener):
            listener.observe_closed(self._admission.forget_connection)
        self._announce_listener = AnnounceListener(
            gateway.announce,
            self,
            AnnouncementApi(
                self._membership,
                DepartureSender(
                    self._membership, self._clients, self._list_control_hosts
                ),
            ),
            gateway.ready_path,
            self._guard,
        )
        self._load_probe = LoadProbe(
            self._upstream,
            timers,
            dialect,
            self._limits,
            self._warmups,
            self._observe_signals,
            lambda server: not self._table.asked.is_resting(server),
        )
        self._dialect = dialect
        self._load_received_at: dict[str, float] = {}
        self._started_at = timers.now()
        self._draining = False
        self._loads_timer = Subscription()
        self._listening = False
        self._forwarding = False
        self._background = BackgroundStarts()
        self._guard.declare_metrics(self._metrics)
        declare_gauges(
            self._metrics,
            MeasuredParts(
                self._caller_listener,
                self._limits,
                self._router,
                self._table,
                self._hedge_budget,
                self._links,
                self._traffic,
                self._proxy.tenant_totals,
                self._pause_check,
            ),
        )
        self._stages = create_gateway_stages(
            settings, self._membership, self._follower, timers
        )
        self._certificates = [
            certificates
            for certificates in (
                backend_certificates,
                self._caller_listener.certificates,
                self._announce_listener.certificates,
            )
            if certificates is not None
        ]
        self._membership.register(self._rpc)
        self._peer_sessions.register(self._rpc)
        self._membership.subscribe_servers(self._update_servers)
        self._configuration_view.subscribe(self._update_configuration)

    @classmethod
    def from_config(
        cls, settings: Settings, early_listener: EarlyListener | None = None
    ) -> Gateway:
        """Build the process from its settings."""
        return cls(settings, early_listener)

    async def start(self) -> None:
        """Join the cluster, follow the configuration and listen for callers."""
        self._guard.start(self._timers)
        self._stages.start()
        self._stages.reach("settings_read")
        announcing = self._background.spawn(self._start_announcing())
        self._follower.start()
        await self._rpc.start()
        self._stages.reach("peer_port_open", port=self._rpc.port)
        await self._membership.start()
        self._rate_totals.start()
        self._limits.start()
        self._links.start(self._answers)
        self._loads_timer = self._timers.every(
            LOADS_APPLY_PERIOD_S, self._apply_announced_loads
        )
        for certificates in self._certificates:
            certificates.watch(self._timers)
        if self._settings.look_candidates:
            self._on_demand_probes.start(
                self._probe, self._upstream.has_idle_connection
            )
        else:
            self._probes.start(self._probe)
        self._background.spawn(self._start_listening())
        await announcing

    async def wait_failed(self) -> None:
        """Wait until a part of the start that runs beside it fails; raise its error."""
        await self._background.wait_failed()

    async def stop(self) -> None:
        """Shut down gracefully: requests in flight get `drain_limit_s` to complete.

        The gateway reports not ready for `drain_delay_s` before it closes its listener,
        so that the load balancer in front of it selects other gateways first.
        """
        self._draining = True
        if self._early_listener is not None:
            self._early_listener.close()
        self._stages.stop()
        await self._background.stop()
        self._caller_listener.begin_drain()
        self._forward_listener.begin_drain()
        # No caller can have selected a gateway that has not listened yet.
        delay_s = self._settings.drain_delay_s if self._listening else 0.0
        limit_s = self._settings.drain_limit_s
        begin_s = self._timers.now()
        end_s = begin_s + delay_s + limit_s
        self._planned_stop.begin(begin_s, delay_s, delay_s + limit_s)
        await self._timers.sleep(delay_s)
        # A sleep that ends late shortens the limit; the supervisor kills on time.
        limit_s = max(0.0, end_s - self._timers.now())
        await asyncio.gather(
            self._caller_listener.stop(limit_s), self._forward_listener.stop(limit_s)
        )
        while self._proxy.orders_in_flight() and self._timers.now() < end_s:
            await self._timers.sleep(ORDERS_POLL_S)
        self._loads_timer.cancel()
        self._probes.stop()
        self._on_demand_probes.stop()
        await self._orders.stop()
        await self._follower.stop()
        self._limits.stop()
        self._links.stop()
        self._rate_totals.stop()
        self.tenant_parts.stop()
        await self._membership.stop()
        await self._announce_listener.stop()
        await self._upstream.close()
        await self._peer_upstream.close()
        await self._clients.close()
        await self._rpc.stop()
        self._guard.stop()

    def is_ready(self) -> bool:
        """Return whether this gateway is ready for callers' requests."""
        return self._listening and not self._draining and self._follower.confirmed

    def update_settings(self, settings: Settings) -> None:
        """Apply the settings that may change at run time: the seed peers."""
        self._membership.set_seeds(settings.peer.seeds)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts."""
        return {
            "ready": self.is_ready(),
            "draining": self._draining,
            "start": self._stages.dump(),
            "configuration": self._follower.dump(),
            "requests_in_flight": self._caller_listener.in_flight(),
            "orders_in_flight": self._proxy.orders_in_flight(),
            "probes_sent": self._probes.sent + self._on_demand_probes.sent,
            "gateway_share": self._shares.gateway_share(),
            "admission": self._admission.dump(),
            **self.tenant_parts.dump(),
            "server_limits": self._limits.dump(),
            "evacuated": list(self._configuration_view.current.evacuated),
            "leaving_servers_s": self._table.leaving.dump(),
            "asked_times": self._table.asked.dump(),
            "pause_withheld": self._pause_check.withheld,
            "hedges": self._hedge_budget.dump(),
            "quarantine": [entry._asdict() for entry in self._quarantine.entries()],
            "connections": self._upstream.dump(),
            "lost_links_s": self._reachability.dump(),
            "forwarding": self._peer_upstream.dump(),
            "membership": self._membership.dump(),
            "traffic": self._traffic.dump(),
            **self._proxy.dump_tenants(),
            "callers": self._guard.dump(),
        }

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()

    async def _start_listening(self) -> None:
        """Listen for callers once configuration and backend servers are known.

        A gateway that listens earlier responds 404 because it has no routing rules yet.
        """
        early = self._early_listener
        while not (self._follower.confirmed and self._are_servers_known()):
            if early is not None:
                early.check_age()
            await self._timers.sleep(START_POLL_S)
        self._stages.check()
        self._stages.reach("servers_known", servers=len(self._membership.servers()))
        self._background.spawn(self._start_forwarding())
        await self._caller_listener.start(early.take() if early is not None else None)
        self._listening = True
        self._stages.reach("ready", port=self._caller_listener.port)

    def _are_servers_known(self) -> bool:
        """Return whether backend servers are known, or the wait for them has ended."""
        waited_s = self._timers.now() - self._started_at
        return self._membership.joined or waited_s > SERVERS_MAX_WAIT_S

    async def _start_forwarding(self) -> None:
        await self._forward_listener.start()
        self._forwarding = True

    async def _start_announcing(self) -> None:
        await self._announce_listener.start()
        self._stages.reach("ready_port_open", port=self._announce_listener.port)

    def _list_control_hosts(self) -> list[str]:
        """Return the peer addresses of the live control hosts, else of all known ones.

        The seeds are returned while no control host is known.
        """
        known = [m for m in self._membership.known_members() if m.role == "control"]
        live = [member.address for member in known if member.live]
        if not known:
            # While a whole deployment starts, no control host may have joined yet.
            return list(self._seeds)
        return live or [member.address for member in known]

    async def _probe(self, view: ServerView) -> Mapping[str, float] | None:
        if view.resting or not self._limits.may_probe(view.server_id):
            return None
        self._reachability.begin("answer", view.server_id)
        sent_at = self._timers.now()
        path = self._find_probe_path(view.groups)
        load = await self._load_probe.send(view.server, path)
        if load is None and self._timers.now() - sent_at < SILENCE_S:
            self._reachability.abandon("answer", view.server_id)
        return load

    def _check_warmup(self, server: BackendServer) -> None:
        """Ask a server whether it is cold, if this gateway grants its permits.

        The answer reaches the other gateways with the permits. Without it, a domain
        whose servers stayed warm would be limited for the whole warm-up time.
        """
        if self._limits.is_allocator(server.server_id):
            spawn_task(self._send_warmup_probes(server))

    async def _send_warmup_probes(self, server: BackendServer) -> None:
        view = self._table.view(server.server_id)
        path = self._find_probe_path(() if view is None else view.groups)
        for _ in range(WARMUP_PROBES):
            await self._timers.sleep(WARMUP_PROBE_PERIOD_S)
            if not self._limits.is_cold(server.server_id):
                return
            await self._load_probe.send(server, path)

    def _find_probe_path(self, names: Sequence[str]) -> str:
        groups = self._configuration_view.current.groups
        paths = [groups[name].health_path for name in names if name in groups]
        return paths[0] if paths else "/load"

    async def _answers(self, server: BackendServer, timeout_s: float) -> bool:
        """Tell whether a server answers on a new connection."""
        view = self._table.view(server.server_id)
        path = self._find_probe_path(() if view is None else view.groups)
        request = self._load_probe.build_request(server, path, timeout_s)
        observe = self._load_probe.observe
        return await self._upstream.check_connection(server, request, observe)

    def _observe_signals(
        self, server: BackendServer, response: UpstreamResponse
    ) -> None:
        """Pass on what a server states in the response to a probe."""
        view = self._table.view(server.server_id)
        if view is not None and view.server.incarnation == server.incarnation:
            observe_signals(self._router, view, response, self._dialect)

    async def _wait_synchronised(self) -> None:
        """Wait until servers and keys are up to date if the process was paused."""
        await self._pause_check.wait_current()
        if self._configuration_view.current.tenants:
            await self._configuration_view.wait_refreshed()

    async def _handle_forwarded(self, request: HttpCallerRequest) -> None:
        await self._proxy.handle_forwarded(request, self._peer_sessions.token)

    def _read_forward_port(self) -> int:
        listens = self._listening and self._forwarding and not self._draining
        return self._forward_listener.port if listens else 0

    def _update_servers(self, servers: dict[str, BackendServer]) -> None:
        self._table.update(servers, self._configuration_view.current)
        self._limits.update_servers(servers)
        self._update_warmups(servers)
        self._upstream.retain(servers.values())

    def _update_warmups(self, servers: dict[str, BackendServer]) -> None:
        configuration = self._configuration_view.current
        if not uses_warmups(configuration) and not self._warmups.is_active():
            return
        groups_of = {view.server_id: view.groups for view in self._table.all_views()}
        self._warmups.update(servers, groups_of, configuration)

    def _update_configuration(self, configuration: Configuration) -> None:
        selectors = {
            name: parse_selector(group.selector)
            for name, group in configuration.groups.items()
        }

        def list_groups(server: BackendServer) -> list[str]:
            overrides = configuration.label_overrides.get(server.server_id, {})
            labels = {**server.labels, **overrides}
            effective = {name: value for name, value in labels.items() if value}
            return [n for n, wanted in selectors.items() if wanted.matches(effective)]

        self._membership.set_grouping(list_groups)
        self._table.update(self._membership.servers(), configuration)
        self._update_warmups(self._membership.servers())
        self._membership.set_revision(configuration.revision)
        self._caller_listener.set_limits(configuration.limits)
        self.tenant_parts.update(configuration)

    def _apply_announced_loads(self) -> None:
        """Apply announced loads that are newer than the last report of their server."""
        for server_id, load in self._membership.loads().items():
            view = self._table.view(server_id)
            if (
                view is None
                or self._load_received_at.get(server_id) == load.received_at
            ):
                continue
            self._load_received_at[server_id] = load.received_at
            if load.received_at > view.report_at:
                report = LoadReport(float(load.in_flight), load.slots)
                view.observe_report(report, load.received_at)


def _use_all_connections() -> float:
    """Return this gateway's share of another gateway's connections."""
    return 1.0
