"""Membership of a process: members, backend servers and published records."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._anti_entropy import AntiEntropy
from geraniumbend.membership._byte_budget import ByteBudget
from geraniumbend.membership._cluster_joiner import ClusterJoiner
from geraniumbend.membership._eligible_servers import EligibleServers
from geraniumbend.membership._failure_detector import FailureDetector
from geraniumbend.membership._gossip import DIRECT, GOSSIP, Gossip
from geraniumbend.membership._gossip_peers import GossipPeers
from geraniumbend.membership._members import LEFT, Member, MemberTable
from geraniumbend.membership._notices import Notices
from geraniumbend.membership._pause_recovery import PauseRecovery
from geraniumbend.membership._published_records import PublishedRecords
from geraniumbend.membership._records import (
    MEMBER,
    SERVER,
    Record,
    RecordTable,
)
from geraniumbend.membership._server_directory import ServerDirectory
from geraniumbend.membership._server_records import (
    LIVE,
    AnnouncedLoad,
    Announcement,
    is_departure,
)
from geraniumbend.membership._synchronisation import Synchronisation
from geraniumbend.traffic import ignore_traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.keys import KeyRing
    from geraniumbend.model import BackendServer
    from geraniumbend.ports import DatagramPort, RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService
    from geraniumbend.traffic import CountBytes

REVISION_KIND = "revision"
REVISION_LIFETIME_S = 3600.0
MAINTENANCE_PERIOD_S = 0.25
# Longest time in seconds that a start waits for a seed to respond. After a failure of
# the whole cluster the other nodes may come back later.
JOIN_MAX_WAIT_S = 0.4
MAX_LEAVE_MESSAGES = 30
# Longest time in seconds that a request waits for the synchronisation after a pause. A
# gateway that reaches no peer then goes on with the servers that it knows.
MAX_RECOVERY_WAIT_S = 0.3

declare_event(
    809,
    "record_rejected",
    "warning",
    "A record of a peer was malformed and was ignored.",
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
        IP address at which peers reach the node.
    failure_domain : str
        Failure domain of the host.
    seeds : tuple of str
        Peer addresses to join through.
    bytes_per_second : float
        Byte budget for messages to peers.
    incarnation : int
        First incarnation; exceeds that of any earlier process of this name.
    server_limit : int
        Backend servers that this node adds to the records at most.
    """

    name: str
    role: str = "gateway"
    host: str = "127.0.0.1"
    failure_domain: str = ""
    seeds: tuple[str, ...] = ()
    bytes_per_second: float = 18_000.0
    incarnation: int = 1
    server_limit: int = 20_000


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
        Clock and periodic callbacks.
    rng : random.Random or None, default=None
        Source of randomness.
    count_bytes : callable, default=ignore_traffic
        Counts the bytes of sent datagrams.
    """

    def __init__(
        self,
        options: MembershipOptions,
        port: DatagramPort,
        clients: RpcCaller,
        timers: TimerService,
        rng: random.Random | None = None,
        count_bytes: CountBytes = ignore_traffic,
    ) -> None:
        self.name = options.name
        self._options = options
        self._port = port
        self._timers = timers
        self._rng = rng or random.Random()
        self._byte_budget = ByteBudget(options.bytes_per_second, timers)
        self._table = RecordTable(timers)
        self._gossip = Gossip(self.name, port, self._byte_budget, timers, self._rng)
        own = Member(
            self.name,
            options.role,
            port.address,
            options.failure_domain,
            "alive",
            options.incarnation,
        )
        self._members = MemberTable(own, self._table, self._gossip, timers)
        self._peers = GossipPeers(self._members, options.failure_domain, self._rng)
        self._failure_detector = FailureDetector(
            self._members, self._peers, self._gossip, timers, self._rng
        )
        self._eligible_servers = EligibleServers(timers)
        self._server_directory = ServerDirectory(
            self._members,
            self._table,
            self._gossip,
            self._eligible_servers,
            timers,
            options.server_limit,
        )
        self._published_records = PublishedRecords(
            self._members, self._table, self._gossip, options.bytes_per_second, timers
        )
        self._notices = Notices(
            self.name, self._gossip, self._deliver_notice, timers, self._rng
        )
        self._anti_entropy = AntiEntropy(
            self.name,
            self._table,
            self._gossip,
            self._byte_budget,
            clients,
            self._merge,
            self._prepare_outgoing,
            self._drop_unconfirmed,
        )
        self._cluster_joiner = ClusterJoiner(self._anti_entropy, timers, self._rng)
        self._pause_recovery = PauseRecovery(
            self._members,
            self._failure_detector,
            self._gossip,
            self._server_directory,
            self._anti_entropy,
            self._list_resync_peers,
            timers,
        )
        self._gossip.set_callbacks(
            self._merge_gossip,
            self._peers,
            self._lifetime,
            self._pause_recovery.check_not_paused,
            count_bytes,
        )
        self._synchronisation = Synchronisation(
            self._anti_entropy,
            self._peers,
            self._members,
            self._pause_recovery,
            lambda: self._options.seeds,
            timers,
            self._rng,
        )
        self._message_handlers: dict[str, Callable[[str, bytes], None]] = {}
        self._gossip.register_handler(DIRECT, self._handle_direct_message)
        self._server: Any = None
        self._maintenance: Subscription | None = None
        self._records_rejected = 0

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        role: str,
        clients: RpcCaller,
        timers: TimerService,
        port: DatagramPort | None = None,
        keys: KeyRing | None = None,
        count_bytes: CountBytes = ignore_traffic,
    ) -> Membership:
        """Build the membership of a process.

        Parameters
        ----------
        settings : Settings
            Settings of the process.
        role : {"gateway", "control"}
            Role of the process.
        clients : RpcCaller
            Calls peers.
        timers : TimerService
            Clock and periodic callbacks.
        port : DatagramPort or None, default=None
            Datagrams; a UDP socket on the peer listener's port when None.
        keys : KeyRing or None, default=None
            Keys of the UDP socket; the process shares one ring, so that a rotation
            reaches all its sockets. Built from the settings when None.
        count_bytes : callable, default=ignore_traffic
            Counts the bytes of sent datagrams.

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
            server_limit=peer.server_limit,
        )
        return cls(options, port, clients, timers, count_bytes=count_bytes)

    def register(self, server: Any) -> None:
        """Register the RPC methods; a UDP port of 0 becomes the server's port.

        Parameters
        ----------
        server : RpcServer
            Server that is started before `start` is called.
        """
        self._server = server
        self._anti_entropy.register(server)

    async def start(self) -> None:
        """Open the socket and join the cluster through the seeds.

        Returns after `JOIN_MAX_WAIT_S` even if no seed has responded; further attempts
        run in the background.
        """
        if self._server is not None and getattr(self._port, "port", None) == 0:
            self._port.port = self._server.port  # type: ignore[attr-defined]
        await self._port.start()
        port = self._port.address.rpartition(":")[2]
        address = f"{self._options.host}:{port}"
        self._members.set_address(address)
        self._pause_recovery.start()
        self._members.publish_own_state()
        self._anti_entropy.serving = True
        self._gossip.start()
        self._failure_detector.start()
        self._maintenance = self._timers.every(
            MAINTENANCE_PERIOD_S, self._run_maintenance
        )
        self._synchronisation.start(address)
        seeds = [seed for seed in self._options.seeds if seed != address]
        await self._cluster_joiner.start(seeds, JOIN_MAX_WAIT_S)
        self._synchronisation.schedule_startup_rounds()

    async def stop(self) -> None:
        """Announce that this node leaves and close the socket."""
        record = self._members.publish_own_state(LEFT)
        peers = self._peers.list_addresses()
        for address in self._rng.sample(peers, min(MAX_LEAVE_MESSAGES, len(peers))):
            self._gossip.send(GOSSIP, address, records=[record])
        self._pause_recovery.stop()
        self._cluster_joiner.stop()
        if self._maintenance is not None:
            self._maintenance.cancel()
        self._synchronisation.stop()
        self._gossip.stop()
        self._failure_detector.stop()
        self._anti_entropy.serving = False
        await self._port.stop()

    @property
    def joined(self) -> bool:
        """Whether a seed has sent the cluster's state, or no seeds are set."""
        return self._cluster_joiner.joined

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds through which lost members are found."""
        self._options = self._options._replace(seeds=tuple(seeds))

    def members(self) -> list[Member]:
        """Return the live processes, including this one, sorted by name."""
        return [member for member in self.known_members() if member.live]

    def known_members(self) -> list[Member]:
        """Return all known processes, including dead and left ones, sorted by name."""
        revisions = self._published_records.records(REVISION_KIND)
        members = []
        for member in sorted(self._members.members.values()):
            value = revisions.get((member.name, ""), b"0")
            revision = int(value) if value.isdigit() else 0
            members.append(member._replace(revision=revision))
        return members

    def live_gateways(self) -> int:
        """Return the number of live gateways, including this one."""
        return len(self._live_gateways())

    @property
    def failure_domain(self) -> str:
        """Failure domain of this node."""
        return self._options.failure_domain

    def is_local_address(self, address: str) -> bool:
        """Return whether a peer address is in this node's failure domain."""
        return self._peers.is_local_address(address)

    def list_live_gateways(self) -> list[Member]:
        """Return the live gateways, including this one, sorted by name."""
        return self._live_gateways()

    def announce(self, announcement: Announcement) -> bool:
        """Record an announcement; see `ServerDirectory.announce`."""
        changed = self._server_directory.announce(announcement)
        server = announcement.server
        in_flight = announcement.in_flight
        if in_flight is not None:
            self._published_records.report_load(
                server.server_id, server.incarnation, in_flight, server.slots
            )
        if changed:
            self._gossip.spread_now()
        return changed

    def report_full(self, server: BackendServer, load: int) -> None:
        """Spread a load that this process has found a backend server to have.

        Parameters
        ----------
        server : BackendServer
            Server.
        load : int
            Requests that it has, running and queued.
        """
        self._published_records.report_load(
            server.server_id, server.incarnation, load, server.slots
        )
        self._gossip.spread_now()

    def deregister(self, server_id: str, incarnation: int = 0) -> bool:
        """Deregister a backend server; see `ServerDirectory.deregister`."""
        known = self._server_directory.deregister(server_id, incarnation)
        self._published_records.remove_load(server_id)
        self._gossip.spread_now()
        return known

    def servers(self) -> dict[str, BackendServer]:
        """Return the backend servers that may get requests, by server id."""
        return self._eligible_servers.servers()

    def count_pauses(self) -> int:
        """Return the number of pauses of this process, with one that ends now."""
        self._pause_recovery.check_not_paused()
        return self._pause_recovery.count

    async def wait_synchronised(self) -> bool:
        """Wait until the servers are up to date if this process was paused.

        Returns
        -------
        bool
            False if no peer responded within `MAX_RECOVERY_WAIT_S`.
        """
        return await self._pause_recovery.wait_recovered(MAX_RECOVERY_WAIT_S)

    def server_records(self) -> list[Record]:
        """Return all backend server records, also expired and deregistered ones."""
        return [entry.record for entry in self._table.entries(SERVER)]

    def find_server_record(self, server_id: str) -> Record | None:
        """Return the record of a backend server as it is sent to other nodes."""
        entry = self._table.get(SERVER, "", server_id)
        if entry is None:
            return None
        return entry.record._replace(lifetime_s=self._lifetime(entry.record))

    def list_departures(self) -> list[Record]:
        """Return the records of backend servers that drain, have left or expired."""
        return [record for record in self.server_records() if is_departure(record)]

    def merge_server_records(self, records: list[Record]) -> None:
        """Merge records of backend servers that a peer sent."""
        for record in records:
            if record.kind == SERVER:
                self._merge("", record)

    def restore_servers(self, records: list[Record]) -> None:
        """Restore stored records of backend servers.

        If a peer has sent servers, only departures that it does not know are restored.

        Parameters
        ----------
        records : list of Record
            Records of an earlier process on this host; they are valid until their
            leases end or the servers announce themselves.
        """
        newest: dict[str, Record] = {}
        for record in records:
            known = newest.get(record.key)
            if known is None or record.order > known.order:
                newest[record.key] = record
        if self._table.entries(SERVER):
            for record in newest.values():
                if is_departure(record):
                    self._server_directory.restore_departure(record)
            return
        for record in newest.values():
            self._server_directory.restore(record)
        if newest:
            log_event(819, servers=len(newest))

    def loads(self) -> dict[str, AnnouncedLoad]:
        """Return the last announced load by server id."""
        return self._published_records.loads()

    def subscribe_servers(
        self, callback: Callable[[dict[str, BackendServer]], None]
    ) -> None:
        """Call back with all backend servers after each change."""
        self._eligible_servers.subscribe(callback)

    def carry_warmups(self, are_used: Callable[[], bool]) -> None:
        """Set the function that tells whether records carry announced warm-ups."""
        self._server_directory.warmups.set_condition(are_used)

    def set_grouping(self, grouping: Callable[[BackendServer], Iterable[str]]) -> None:
        """Set the function that returns the names of a backend server's groups.

        Mass losses are detected by group. Until this is called, the label ``app`` is
        used as the group.
        """
        self._eligible_servers.set_grouping(grouping)

    def report_failed(self, server_id: str) -> None:
        """Remove a stale backend server after requests to it have failed."""
        self._eligible_servers.report_failed(server_id)

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes; see `PublishedRecords.publish`."""
        return self._published_records.publish(kind, key, value, lifetime_s)

    def publish_to_domains(
        self, kind: str, key: str, value: bytes, lifetime_s: float
    ) -> bool:
        """Publish a domain-scoped record in this and in all other failure domains."""
        if not self._published_records.publish(kind, key, value, lifetime_s):
            return False
        entry = self._table.get(kind, self.name, key)
        assert entry is not None
        for address in self._peers.choose_per_domain():
            self._gossip.send(GOSSIP, address, urgent=False, records=[entry.record])
        return True

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the published records of a kind by node and key."""
        return self._published_records.records(kind)

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Call back with node, key and value of records and notices of a kind.

        The value is None when a record expired or was withdrawn. A notice of
        `notify_peers` has an empty key.
        """
        self._published_records.subscribe(kind, callback)

    async def notify_peers(
        self, kind: str, value: bytes, timeout_s: float
    ) -> list[str]:
        """Send a notice to all other live gateways; see `Notices.send`."""
        peers = [m for m in self._live_gateways() if m.name != self.name]
        return await self._notices.send(kind, value, timeout_s, peers)

    def spread_now(self) -> None:
        """Send queued changes to some peers at once."""
        self._gossip.spread_now()

    def send_message(self, node: str, kind: str, value: bytes) -> bool:
        """Send a message to one node, without acknowledgement.

        Parameters
        ----------
        node : str
            Name of the node.
        kind : str
            Kind whose handler gets the message.
        value : bytes
            Content, at most 900 bytes.

        Returns
        -------
        bool
            False if the node is not known or the byte budget is used up.
        """
        member = self._members.members.get(node)
        if member is None:
            return False
        return self._gossip.send(DIRECT, member.address, kind=kind, value=value)

    def reserve_bytes(self, bytes_per_second: float) -> None:
        """Raise the byte budget for a kind of message, or lower it by as much again."""
        self._byte_budget.rate += bytes_per_second

    def handle_messages(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Set the function that gets sender and content of messages of a kind."""
        self._message_handlers[kind] = handler

    async def notify_gateways(self, server_id: str, timeout_s: float) -> list[str]:
        """Send the record of a backend server to all other gateways.

        A gateway that was declared dead may be running behind a link that loses
        datagrams, and would still send requests to the server. It is notified too, but
        its acknowledgement is not awaited.

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
        record = self.find_server_record(server_id)
        if record is None:
            return []
        peers = [m for m in self._live_gateways() if m.name != self.name]
        dead = [m for m in self.known_members() if m.state == "dead"]
        presumed_dead = [member for member in dead if member.role == "gateway"]
        return await self._notices.send(
            SERVER, b"", timeout_s, peers, [record], presumed_dead
        )

    def set_revision(self, revision: int) -> None:
        """Publish the configuration revision that is active on this node."""
        value = str(revision).encode()
        if self._published_records.records(REVISION_KIND).get((self.name, "")) != value:
            self._published_records.publish(
                REVISION_KIND, "", value, REVISION_LIFETIME_S
            )

    def dump(self) -> dict[str, Any]:
        """Return the state for `geraniumbend state`."""
        return {
            "members": [member._asdict() for member in self.known_members()],
            "servers": [s._asdict() for s in self.servers().values()],
            "server_counts": self._eligible_servers.counts(),
            "leases_held": self._server_directory.count_leases(),
            "records": len(self._table),
            "synchronised": not self._pause_recovery.recovering,
            "bytes_sent": self._byte_budget.spent,
            "pauses": self._pause_recovery.count,
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

    def _merge_gossip(self, sender: str, record: Record) -> None:
        # After a pause the socket buffer still holds datagrams from before it.
        if record.kind == MEMBER or not self._pause_recovery.recovering:
            self._merge(sender, record)

    def _merge(self, sender: str, record: Record) -> None:
        try:
            if record.kind == MEMBER:
                merged = self._members.merge(record)
            elif record.kind == SERVER:
                merged = self._server_directory.merge(record)
            else:
                merged = self._published_records.merge(record)
        except GeraniumbendError as error:
            self._records_rejected += 1
            log_event(809, sender=sender, kind=record.kind, error=str(error))
            return
        if not merged:
            self._gossip.count_duplicate(record)

    def _lifetime(self, record: Record) -> float:
        if record.kind == MEMBER:
            return 0.0
        if record.kind == SERVER:
            return self._server_directory.lifetime(record)
        return self._published_records.lifetime(record)

    def _prepare_outgoing(self, record: Record) -> Record | None:
        if record.kind == MEMBER:
            return record
        lifetime = self._lifetime(record)
        if record.state == LIVE and lifetime <= 0:
            return None
        return record._replace(lifetime_s=lifetime)

    def _drop_unconfirmed(self, entry: Any) -> None:
        if entry.record.kind == SERVER:
            self._server_directory.drop_unconfirmed(entry)
        else:
            self._published_records.expire(entry)

    def _handle_direct_message(self, address: str, message: Any) -> None:
        if not isinstance(message.kind, str) or not isinstance(message.value, bytes):
            return
        handler = self._message_handlers.get(message.kind)
        if handler is not None and not self._pause_recovery.recovering:
            handler(message.sender, message.value)

    def _deliver_notice(self, kind: str, sender: str, value: bytes) -> None:
        self._published_records.deliver(kind, sender, "", value)

    def _list_resync_peers(self) -> list[str]:
        """Return a few addresses to synchronise with after a pause."""
        peers = self._peers.list_addresses()
        self._rng.shuffle(peers)
        return (peers + list(self._options.seeds))[:5]

    def _run_maintenance(self) -> None:
        if (
            not self._pause_recovery.check_not_paused()
            or self._pause_recovery.recovering
        ):
            return
        self._server_directory.expire_leases()
        for entry in self._table.collect_expired():
            if entry.record.kind == MEMBER:
                self._members.remove(entry.record.key)
            elif entry.record.kind == SERVER:
                self._server_directory.expire(entry)
            else:
                self._published_records.expire(entry)
        self._eligible_servers.tick()
        self._published_records.set_sharing_nodes(
            self._peers.count_ephemeral_peers() + 1
        )
