"""Control role, assembled from settings."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import msgspec

from geraniumbend.adapters.caller_guard import CallerGuard
from geraniumbend.adapters.disk import LocalDisk, WorkerPool
from geraniumbend.adapters.metrics_listener import MetricsListener
from geraniumbend.adapters.rpc import RpcClients, RpcServer
from geraniumbend.configuration import ConfigurationService, ConfigurationStore
from geraniumbend.errors import UnavailableError
from geraniumbend.interfaces import ControlServices
from geraniumbend.keys import KeyRing
from geraniumbend.limits import uses_warmups
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership import (
    AnnouncementService,
    DepartureCopies,
    DepartureLog,
    Membership,
    ServerRecordsFile,
)
from geraniumbend.metrics import MetricSet
from geraniumbend.orders import OrderJournal, OrderService, OrderShard
from geraniumbend.quarantine import Quarantine
from geraniumbend.replication import Replica
from geraniumbend.roles._background_starts import BackgroundStarts
from geraniumbend.roles._control_stages import create_control_stages
from geraniumbend.roles._interface_choice import choose_interface
from geraniumbend.roles._log_members import LogMembers
from geraniumbend.roles._member_reconciler import MemberReconciler
from geraniumbend.routing import policies
from geraniumbend.timers import PROCESS_START_S, LoopTimers
from geraniumbend.traffic import TrafficCounters

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.interfaces import Listener
    from geraniumbend.ports import StateMachine
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription

# Delay in seconds between attempts to record the id of a new cluster.
BOOTSTRAP_RETRY_S = 0.1

declare_event(
    910,
    "order_shards_differ",
    "error",
    "order_shards differs from the number recorded in the cluster; orders are "
    "refused here until the setting is corrected.",
)


class Control:
    """Control process: replicas of the logs, membership and the operators' API.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        listen = settings.peer.listen
        keys = KeyRing.from_config(settings.keys)
        self._settings = settings
        self.timers = self._timers = timers = LoopTimers()
        self._address = f"{settings.node.address}:{listen.port}"
        self._guard = CallerGuard.from_config(settings)
        self._rpc = RpcServer(listen.host, listen.port, keys, self._guard)
        self._traffic = TrafficCounters()
        self._clients = RpcClients(keys, self._traffic.count)
        self._membership = Membership.from_config(
            settings,
            "control",
            self._clients,
            timers,
            count_bytes=self._traffic.count,
        )
        self._clients.set_locality(self._membership.is_local_address)
        self._pool = WorkerPool()
        self._store = ConfigurationStore()
        self._membership.carry_warmups(lambda: uses_warmups(self._store.current))
        self._configuration_log = self._create_replica("config", self._store)
        shards = []
        self._replicas = [self._configuration_log]
        for number in range(settings.control.order_shards):
            journal = OrderJournal()
            replica = self._create_replica(f"orders-{number}", journal)
            self._replicas.append(replica)
            shards.append(OrderShard(replica, journal))
        self._orders = OrderService(shards, timers)
        self._orders.block(
            "the number of order logs in the cluster has not been read yet"
        )
        self._service = ConfigurationService(
            self._configuration_log,
            self._store,
            self._membership,
            timers,
            self._clients,
            policies.names(),
        )
        self._log_members = LogMembers(self._replicas, self._clients)
        self._quarantine = Quarantine.from_config(settings, self._membership, timers)
        self._directory = ServerRecordsFile(
            LocalDisk(self._pool),
            settings.control.data_folder,
            self._membership.server_records,
            timers,
        )
        self._departure_log = DepartureLog(
            LocalDisk(self._pool),
            settings.control.data_folder,
            self._membership.list_departures,
            timers,
        )
        self._departures = DepartureCopies(
            self._address,
            self._departure_log,
            self._membership,
            self._clients,
            self._list_voters,
            timers,
        )
        self._member_reconciler = MemberReconciler(
            self._replicas,
            self._address,
            self._list_control_hosts,
            2 * settings.control.tolerated_losses + 1,
            self._clients,
            timers,
        )
        self._api = self._create_listener()
        self._metrics = self._create_metrics()
        listen_metrics = settings.control.metrics
        self._metrics_listener = (
            None
            if listen_metrics is None
            else MetricsListener(listen_metrics, self, self._guard)
        )
        self._bootstrap_timer: Subscription | None = None
        self._background = BackgroundStarts()
        self._stages = create_control_stages(
            settings, self._replicas, self._store, timers
        )
        parts: list[Any] = [
            *self._replicas,
            self._membership,
            self._departures,
            self._service,
            self._orders,
            self._log_members,
            self._member_reconciler,
        ]
        for part in parts:
            part.register(self._rpc)

    @classmethod
    def from_config(cls, settings: Settings) -> Control:
        """Build the process from its settings."""
        return cls(settings)

    async def start(self) -> None:
        """Load the logs, join the cluster and listen for peers and operators."""
        self._guard.start(self._timers)
        self._stages.start()
        self._stages.reach("settings_read")
        if self._metrics_listener is not None:
            self._background.spawn(self._metrics_listener.start())
        # A replica that leads or founds a log must be reachable by its peers.
        await self._rpc.start()
        self._stages.reach("peer_port_open", port=self._rpc.port)
        for replica in self._replicas:
            await replica.start()
        self._stages.reach("logs_loaded", logs=len(self._replicas))
        self._service.start()
        self._orders.start()
        self._bootstrap_timer = self._timers.after(0.0, self._bootstrap)
        await self._membership.start()
        departures = await self._departure_log.load()
        self._membership.restore_servers([*self._directory.load(), *departures])
        self._directory.start()
        self._departures.start()
        if self._settings.control.founders:
            self._member_reconciler.start()
        await self._api.start()
        self._stages.reach("operators_listening")

    async def wait_failed(self) -> None:
        """Wait until a part of the start that runs beside it fails; raise its error."""
        await self._background.wait_failed()

    async def stop(self) -> None:
        """Hand over leadership and close all listeners, also during a start."""
        self._stages.stop()
        await self._background.stop()
        if self._bootstrap_timer is not None:
            self._bootstrap_timer.cancel()
        await self._api.stop()
        if self._metrics_listener is not None:
            await self._metrics_listener.stop()
        self._member_reconciler.stop()
        self._directory.stop()
        self._service.stop()
        self._orders.stop()
        for replica in self._replicas:
            await replica.stop()
        await self._membership.stop()
        await self._clients.close()
        await self._rpc.stop()
        self._guard.stop()
        self._pool.close()

    def update_settings(self, settings: Settings) -> None:
        """Apply the settings that may change at run time: the seed peers."""
        self._membership.set_seeds(settings.peer.seeds)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts."""
        return {
            "node": self._settings.node.name,
            "role": "control",
            "start": self._stages.dump(),
            "traffic": self._traffic.dump(),
            "callers": self._guard.dump(),
            "configuration": self._service.dump(),
            "orders": self._orders.dump(),
            "logs": [replica.dump() for replica in self._replicas],
            "quarantine": self.list_quarantine(),
            "membership": self._membership.dump(),
        }

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()

    def list_members(self) -> dict[str, Any]:
        """Return the processes and the members of each log."""
        processes = [member._asdict() for member in self._membership.members()]
        return {"processes": processes, "logs": self._log_members.describe()}

    def count_domain_members(self) -> dict[str, dict[str, int]]:
        """Return the known hosts and backend servers by failure domain."""
        counts: dict[str, dict[str, int]] = {}
        hosts = [member.failure_domain for member in self._membership.members()]
        servers = self._membership.servers().values()
        domains = {
            "hosts": hosts,
            "servers": [server.failure_domain for server in servers],
        }
        for kind, names in domains.items():
            for name in filter(None, names):
                entry = counts.setdefault(name, {"hosts": 0, "servers": 0})
                entry[kind] += 1
        return counts

    async def add_member(self, name: str, address: str) -> None:
        """Add a control host to all logs."""
        await self._log_members.add(name, address)

    async def remove_member(self, name: str) -> None:
        """Remove a control host from all logs."""
        await self._log_members.remove(name)

    def list_quarantine(self) -> list[dict[str, Any]]:
        """Return the requests in quarantine."""
        entries = [entry._asdict() for entry in self._quarantine.entries()]
        plain: list[dict[str, Any]] = msgspec.to_builtins(entries)
        return plain

    def clear_quarantine(self, fingerprint: str) -> None:
        """Allow a request again on all gateways."""
        self._quarantine.clear(fingerprint)

    def _create_metrics(self) -> MetricSet:
        metrics = MetricSet()
        self._guard.declare_metrics(metrics)

        def by_log(read: Callable[[Replica], float]) -> dict[tuple[str, ...], float]:
            return {(log.shard,): read(log) for log in self._replicas}

        metrics.declare_gauge(
            "traffic_bytes",
            "Bytes exchanged with other hosts by purpose; scope local or remote tells "
            "whether they are in the same failure domain.",
            self._traffic.read_gauge,
            ("purpose", "scope"),
        )
        metrics.declare_gauge(
            "log_leader",
            "1 if this host is the leader of the log, otherwise 0.",
            lambda: by_log(lambda log: float(log.is_leader)),
            ("log",),
        )
        metrics.declare_gauge(
            "log_commit_index",
            "Index of the last log entry that is known to be committed.",
            lambda: by_log(lambda log: float(log.commit_index)),
            ("log",),
        )
        metrics.declare_gauge(
            "log_disk_failed",
            "1 while this host takes no part in the log because its disk refused a "
            "write, otherwise 0.",
            lambda: by_log(lambda log: float(log.disk_failed)),
            ("log",),
        )
        metrics.declare_gauge(
            "log_members",
            "Number of members of the log.",
            lambda: by_log(lambda log: float(len(log.members()))),
            ("log",),
        )
        metrics.declare_gauge(
            "configuration_revision",
            "Configuration revision that this host has applied.",
            lambda: {(): float(self._store.current.revision)},
        )
        metrics.declare_gauge(
            "in_touch",
            "1 while this host has majority contact, otherwise 0.",
            lambda: {(): float(self._service.has_majority_contact())},
        )
        metrics.declare_gauge(
            "backend_servers",
            "Number of backend servers that may receive requests.",
            lambda: {(): float(len(self._membership.servers()))},
        )
        return metrics

    def _create_listener(self) -> Listener:
        settings = self._settings
        create = choose_interface(settings).create_control_listener
        if create is None:
            # Imported only where it is used, since it adds 10 MB to the process.
            from geraniumbend.adapters.operators_api import OperatorsApi

            return OperatorsApi(
                settings.control,
                self._service,
                self,
                self._timers,
                self._pool,
                self._guard,
            )
        announcements = AnnouncementService(
            self._membership, self._departures, self._service.has_majority_contact
        )
        services = ControlServices(
            self._service,
            announcements,
            settings.peer.announcement_lease_s,
            self._guard,
        )
        return create(settings.control.operators, services)

    def _list_voters(self) -> list[str]:
        """Return the peer addresses of the voters, including this host."""
        members = self._configuration_log.members()
        return [m.address for m in members if m.role == "voter"]

    def _list_control_hosts(self) -> list[str]:
        """Return the peer addresses of the other control hosts that are live."""
        members = self._membership.members()
        return [
            m.address
            for m in members
            if m.role == "control" and m.address != self._address
        ]

    def _create_replica(self, shard: str, machine: StateMachine) -> Replica:
        control = self._settings.control
        founders = {address: address for address in control.founders}
        return Replica(
            shard,
            self._address if founders else self._settings.node.name,
            control.data_folder,
            founders or control.voters,
            machine,
            self._clients,
            self._timers,
            control,
            LocalDisk(self._pool),
            process_started_at=PROCESS_START_S,
        )

    async def _bootstrap(self) -> None:
        """Record the cluster's id, or compare `order_shards` with the recorded number.

        Retries until the cluster has an id. Orders are refused until the numbers match.
        """
        shards = self._settings.control.order_shards
        if not self._store.cluster_id:
            self._bootstrap_timer = self._timers.after(
                BOOTSTRAP_RETRY_S, self._bootstrap
            )
            if self._configuration_log.is_leader:
                with contextlib.suppress(UnavailableError):
                    await self._service.bootstrap(
                        self._configuration_log.cluster_id, shards
                    )
        elif self._store.order_shards != shards:
            # A different number maps keys to logs that have no record of them.
            self._orders.block(
                "order_shards differs from the number recorded in the cluster"
            )
            log_event(910, founded=self._store.order_shards, setting=shards)
        else:
            self._orders.block("")
