from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._budget import ByteBudget
from geraniumbend.membership._detector import Detector
from geraniumbend.membership._gossip import GOSSIP, Gossip
from geraniumbend.membership._joining import Joining
from geraniumbend.membership._members import LEFT, Member, MemberTable
from geraniumbend.membership._notices import Notices
from geraniumbend.membership._pauses import PauseRecovery
from geraniumbend.membership._published import PublishedRecords
from geraniumbend.membership._records import (
    DOMAIN_SCOPE_NODES,
    EPHEMERAL,
    MEMBER,
    SERVER,
    Record,
    RecordTable,
)
from geraniumbend.membership._servers import ServerDirectory
from geraniumbend.membership._sync import AntiEntropy
from geraniumbend.membership._values import LIVE, Announcement, LoadReport
from geraniumbend.membership._view import ServerView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.keys import KeyRing
    from geraniumbend.model import BackendServer
    from geraniumbend.ports import DatagramPort, RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

REVISION = "revision"
REVISION_LIFETIME_S = 3600.0
TICK_S = 0.25
ANTI_ENTROPY_S = 5.0
ANTI_ENTROPY_SOON_S = 0.7
# Longest wait of a start for an answer of a seed, in seconds; the others of a cluster
# that was lost as a whole may be back later.
JOIN_PATIENCE_S = 0.4
SECOND_LOOKS_S = (0.5, 1.5)
LEAVE_MESSAGES = 30

declare_event(
    809, "record_rejected", "warning", "A record of a peer was malformed and ignored."
)


class MembershipOptions(NamedTuple):
    """Fixed properties of a node.

    Parameters
    ----------
    name : str
        Node name.
    role : str
        ``gateway`` or ``control``.
    host : str
        IP address that peers use.
    failure_domain : str
        Failure domain of the host.
    seeds : tuple of str
        Peer addresses to join through.
    bytes_per_second : float
        Byte budget.
    incarnation : int
        First incarnation, greater than that of an earlier process of this name.
    """

    name: str
    role: str = "gateway"
    host: str = "127.0.0.1"
    failure_domain: str = ""
    seeds: tuple[str, ...] = ()
    bytes_per_second: float = 18_000.0
    incarnation: int = 1


class Membership:
    """Processes, backend servers and published records of the cluster.

    Parameters
    ----------
    options : MembershipOptions
        Fixed properties of this node.
    port : DatagramPort
        Authenticated datagrams.
    clients : RpcCaller
        Calls peers.
    timers : TimerService
        Clock and periods.
    rng : random.Random or None, default=None
        Source of randomness.
    """

    def __init__(
        self,
        options: MembershipOptions,
        port: DatagramPort,
        clients: RpcCaller,
        timers: TimerService,
        rng: random.Random | None = None,
    ) -> None:
        self.name = options.name
        self._options = options
        self._port = port
        self._timers = timers
        self._rng = rng or random.Random()
        self._budget = ByteBudget(options.bytes_per_second, timers)
        self._table = RecordTable(timers)
        self._gossip = Gossip(self.name, port, self._budget, timers, self._rng)
        own = Member(
            self.name,
            options.role,
            port.address,
            options.failure_domain,
            "alive",
            options.incarnation,
        )
        self._members = MemberTable(own, self._table, self._gossip, timers)
        self._detector = Detector(self._members, self._gossip, timers, self._rng)
        self._view = ServerView(timers)
        self._servers = ServerDirectory(
            self._members, self._table, self._gossip, self._view, timers
        )
        self._published = PublishedRecords(
            self._members, self._table, self._gossip, options.bytes_per_second, timers
        )
        self._notices = Notices(
            self.name, self._gossip, self._deliver_notice, timers, self._rng
        )
        self._sync = AntiEntropy(
            self.name,
            self._table,
            self._gossip,
            self._budget,
            clients,
            self._merge,
            self._outgoing,
            self._drop,
        )
        self._joining = Joining(self._sync, timers, self._rng)
        self._pauses = PauseRecovery(
            self._members,
            self._detector,
            self._gossip,
            self._servers,
            self._sync,
            self._list_resync_peers,
            timers,
        )
        self._gossip.connect(
            self._merge_gossip, self._peers, self._lifetime, self._pauses.check
        )
        self._members.on_own_death(self._after_own_death)
        self._server: Any = None
        self._subscriptions: list[Subscription] = []
        self._records_rejected = 0
        self._look_again = False

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        role: str,
        clients: RpcCaller,
        timers: TimerService,
        port: DatagramPort | None = None,
        keys: KeyRing | None = None,
    ) -> Membership:
        """Build the membership of a process.

        Parameters
        ----------
        settings : Settings
            Whole settings.
        role : {"gateway", "control"}
            Role of the process.
        clients : RpcCaller
            Calls peers.
        timers : TimerService
            Clock and periods.
        port : DatagramPort or None, default=None
            Datagrams; a UDP socket on the peer listener's port when None.
        keys : KeyRing or None, default=None
            Keys of the UDP socket; the process shares one ring, so that a rotation
            reaches all its sockets. A ring of the settings' keys when None.

        Returns
        -------
        Membership
            Not started yet.
        """
        from geraniumbend.adapters.datagram import Datagrams, read_boot_time
        from geraniumbend.keys import KeyRing

        boot = read_boot_time()
        node, peer = settings.node, settings.peer
        if port is None:
            ring = keys or KeyRing.from_config(settings.keys)
            listen = peer.listen
            port = Datagrams(node.name, listen.host, listen.port, ring, boot)
        options = MembershipOptions(
            name=node.name,
            role=role,
            host=node.address,
            failure_domain=node.failure_domain,
            seeds=tuple(peer.seeds),
            bytes_per_second=peer.bytes_per_second,
            incarnation=boot // 1_000_000,
        )
        return cls(options, port, clients, timers)

    def register(self, server: Any) -> None:
        """Register the RPC methods; the UDP socket takes the server's port.

        Parameters
        ----------
        server : RpcServer
            Server that is started before `start` is called.
        """
        self._server = server
        self._sync.register(server)

    async def start(self) -> None:
        """Open the socket and join the cluster through the seeds.

        Returns after `JOIN_PATIENCE_S` also when no seed has answered; joining goes on.
        """
        if self._server is not None and getattr(self._port, "port", None) == 0:
            self._port.port = self._server.port  # type: ignore[attr-defined]
        await self._port.start()
        port = self._port.address.rpartition(":")[2]
        address = f"{self._options.host}:{port}"
        self._members.set_address(address)
        self._pauses.start()
        self._members.announce_self()
        self._sync.answering = True
        self._gossip.start()
        self._detector.start()
        every = self._timers.every
        self._subscriptions = [
            every(TICK_S, self._tick),
            every(ANTI_ENTROPY_S, self._run_anti_entropy, 0.2),
            every(ANTI_ENTROPY_S, self._seek_lost_members, 0.4),
        ]
        seeds = [seed for seed in self._options.seeds if seed != address]
        await self._joining.start(seeds, JOIN_PATIENCE_S)
        # Nodes that start at the same time are unknown to the seed at first.
        for delay_s in SECOND_LOOKS_S:
            again = self._timers.after(delay_s, self._run_anti_entropy)
            self._subscriptions.append(again)

    async def stop(self) -> None:
        """Leave the cluster in order and close the socket."""
        record = self._members.announce_self(LEFT)
        peers = self._peers("")
        chosen = self._rng.sample(peers, min(LEAVE_MESSAGES, len(peers)))
        for _, address in chosen:
            self._gossip.send(GOSSIP, address, records=[record])
        self._pauses.stop()
        self._joining.stop()
        for subscription in self._subscriptions:
            subscription.cancel()
        self._gossip.stop()
        self._detector.stop()
        self._sync.answering = False
        await self._port.stop()

    @property
    def joined(self) -> bool:
        """Whether a seed has told this process about the cluster."""
        return self._joining.joined

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Use other peer addresses to find lost members."""
        self._options = self._options._replace(seeds=tuple(seeds))

    def members(self) -> list[Member]:
        """Return the live processes, this one included, by name."""
        return [member for member in self.known_members() if member.live]

    def known_members(self) -> list[Member]:
        """Return all known processes, also those that died or left, by name."""
        revisions = self._published.records(REVISION)
        found = []
        for member in sorted(self._members.members.values()):
            value = revisions.get((member.name, ""), b"0")
            revision = int(value) if value.isdigit() else 0
            found.append(member._replace(revision=revision))
        return found

    def live_gateways(self) -> int:
        """Return how many gateways count as running, this one included."""
        return len(self._live_gateways())

    def live_gateway_names(self) -> list[str]:
        """Return the names of the gateways that count as running."""
        return [member.name for member in self._live_gateways()]

    def announce(self, announcement: Announcement) -> bool:
        """Take an announcement; see `ServerDirectory.announce`."""
        changed = self._servers.announce(announcement)
        server = announcement.server
        in_flight = announcement.in_flight
        if in_flight is not None:
            self._published.report_load(
                server.server_id, server.incarnation, in_flight, server.slots
            )
        if changed:
            self._gossip.spread_now()
        return changed

    def deregister(self, server_id: str, incarnation: int = 0) -> bool:
        """Deregister a backend server; see `ServerDirectory.depart`."""
        known = self._servers.deregister(server_id, incarnation)
        self._published.forget_load(server_id)
        self._gossip.spread_now()
        return known

    def servers(self) -> dict[str, BackendServer]:
        """Return the backend servers that may get traffic, by server id."""
        return self._view.servers()

    def server_records(self) -> list[Record]:
        """Return the records of backend servers, also of those that left."""
        return [entry.record for entry in self._table.entries(SERVER)]

    def restore_servers(self, records: list[Record]) -> None:
        """Use stored records of backend servers if no peer knew any.

        Parameters
        ----------
        records : list of Record
            Records of an earlier process on this host; they count until their lease
            ends or the servers announce themselves.
        """
        if not records or self._table.entries(SERVER):
            return
        for record in records:
            self._servers.restore(record)
        log_event(819, servers=len(records))

    def loads(self) -> dict[str, LoadReport]:
        """Return the last announced load by server id."""
        return self._published.loads()

    def subscribe_servers(
        self, callback: Callable[[dict[str, BackendServer]], None]
    ) -> None:
        """Call back with all backend servers after each change."""
        self._view.subscribe(callback)

    def set_grouping(self, grouping: Callable[[BackendServer], Iterable[str]]) -> None:
        """Set the function from a backend server to its groups' names.

        Mass losses are judged by group. Until this is called the label ``app``
        stands for the group.
        """
        self._view.set_grouping(grouping)

    def report_failed(self, server_id: str) -> None:
        """Drop a stale backend server that traffic has shown to be gone."""
        self._view.report_failed(server_id)

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes; see `PublishedRecords.publish`."""
        return self._published.publish(kind, key, value, lifetime_s)

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the published records of a kind by node and key."""
        return self._published.records(kind)

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Call back with node, key and value of records and notices of a kind.

        The value is None when a record expired or was withdrawn. A notice of
        `notify_peers` has an empty key.
        """
        self._published.subscribe(kind, callback)

    async def notify_peers(
        self, kind: str, value: bytes, timeout_s: float
    ) -> list[str]:
        """Send a notice to all other live gateways; see `Notices.send`."""
        peers = [m for m in self._live_gateways() if m.name != self.name]
        return await self._notices.send(kind, value, timeout_s, peers)

    async def notify_gateways(self, server_id: str, timeout_s: float) -> list[str]:
        """Send the record of a backend server to all other gateways.

        A gateway that counts as dead may live behind lost datagrams and would send
        requests to a server that leaves, so it is told too, but not waited for.

        Parameters
        ----------
        server_id : str
            Name of the backend server.
        timeout_s : float
            Longest wait for acknowledgements, in seconds.

        Returns
        -------
        list of str
            Names of the gateways that acknowledged, sorted.
        """
        entry = self._table.get(SERVER, "", server_id)
        if entry is None:
            return []
        record = entry.record._replace(lifetime_s=self._lifetime(entry.record))
        peers = [m for m in self._live_gateways() if m.name != self.name]
        dead = [m for m in self.known_members() if m.state == "dead"]
        doubtful = [member for member in dead if member.role == "gateway"]
        return await self._notices.send(
            SERVER, b"", timeout_s, peers, [record], doubtful
        )

    def set_revision(self, revision: int) -> None:
        """Publish the configuration revision that is active here."""
        value = str(revision).encode()
        if self._published.records(REVISION).get((self.name, "")) != value:
            self._published.publish(REVISION, "", value, REVISION_LIFETIME_S)

    def dump(self) -> dict[str, Any]:
        """Return the state for `geraniumbend state`."""
        return {
            "members": [member._asdict() for member in self.known_members()],
            "servers": [s._asdict() for s in self.servers().values()],
            "server_counts": self._view.counts(),
            "leases_held": self._servers.held(),
            "records": len(self._table),
            "synchronised": not self._pauses.recovering,
            "bytes_sent": self._budget.spent,
            "pauses": self._pauses.count,
            "deaths_refuted": self._members.deaths_refuted,
            "rejected": {
                "messages": self._gossip.rejected,
                "records": self._records_rejected,
            },
            "dropped_changes": self._gossip.dropped_changes,
        }

    def _live_gateways(self) -> list[Member]:
        live = self._members.live(include_own=True)
        return [member for member in live if member.role == "gateway"]

    def _peers(self, kind: str) -> list[tuple[str, str]]:
        live = self._members.live()
        if kind in EPHEMERAL and len(live) >= DOMAIN_SCOPE_NODES:
            domain = self._options.failure_domain
            live = [m for m in live if m.failure_domain == domain]
        return [(member.name, member.address) for member in live]

    def _merge_gossip(self, sender: str, record: Record) -> None:
        # After a pause the socket still holds datagrams from before it.
        if record.kind == MEMBER or not self._pauses.recovering:
            self._merge(sender, record)

    def _merge(self, sender: str, record: Record) -> None:
        try:
            if record.kind == MEMBER:
                merged = self._members.merge(record)
            elif record.kind == SERVER:
                merged = self._servers.merge(record)
            else:
                merged = self._published.merge(record)
        except GeraniumbendError as error:
            self._records_rejected += 1
            log_event(809, sender=sender, kind=record.kind, error=str(error))
            return
        if not merged:
            self._gossip.heard_again(record)

    def _lifetime(self, record: Record) -> float:
        if record.kind == MEMBER:
            return 0.0
        if record.kind == SERVER:
            return self._servers.lifetime(record)
        return self._published.lifetime(record)

    def _outgoing(self, record: Record) -> Record | None:
        if record.kind == MEMBER:
            return record
        lifetime = self._lifetime(record)
        if record.state == LIVE and lifetime <= 0:
            return None
        return record._replace(lifetime_s=lifetime)

    def _drop(self, entry: Any) -> None:
        if entry.record.kind == SERVER:
            self._servers.drop(entry)
        else:
            self._published.expire(entry)

    def _deliver_notice(self, kind: str, sender: str, value: bytes) -> None:
        self._published.deliver(kind, sender, "", value)

    def _list_resync_peers(self) -> list[str]:
        """Return a few addresses to take the state of the cluster from."""
        peers = [address for _, address in self._peers("")]
        self._rng.shuffle(peers)
        return (peers + list(self._options.seeds))[:5]

    def _after_own_death(self) -> None:
        self._subscriptions.append(self._timers.after(0.0, self._run_anti_entropy))

    def _tick(self) -> None:
        if not self._pauses.check() or self._pauses.recovering:
            return
        self._servers.expire_leases()
        for entry in self._table.take_expired():
            if entry.record.kind == MEMBER:
                self._members.forget(entry.record.key)
            elif entry.record.kind == SERVER:
                self._servers.expire(entry)
            else:
                self._published.expire(entry)
        self._view.tick()
        self._published.set_scope(len(self._peers(next(iter(EPHEMERAL)))) + 1)

    async def _run_anti_entropy(self) -> None:
        if not self._pauses.check() or self._pauses.recovering:
            return
        peers = [address for _, address in self._peers("")]
        if not peers:
            return
        moved = self._sync.moved
        await self._sync.run([self._rng.choice(peers)], replace=False)
        if self._sync.moved > moved and not self._look_again:
            # Where records differ once, others are likely to be missing too.
            self._look_again = True
            delay = ANTI_ENTROPY_SOON_S * self._rng.uniform(0.5, 1.5)
            self._timers.after(delay, self._look_soon)

    async def _look_soon(self) -> None:
        self._look_again = False
        await self._run_anti_entropy()

    async def _seek_lost_members(self) -> None:
        """Try one seed or dead member, so that parts of a cluster find together."""
        live = {address for _, address in self._peers("")}
        own = f"{self._options.host}:{self._port.address.rpartition(':')[2]}"
        lost = {m.address for m in self._members.members.values() if m.state == "dead"}
        candidates = sorted((lost | set(self._options.seeds)) - live - {own})
        if candidates:
            await self._sync.run([self._rng.choice(candidates)], replace=False)
