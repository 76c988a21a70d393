"""Records that components publish to all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._byte_budget import ByteBudget
from geraniumbend.membership._gossip import GOSSIP
from geraniumbend.membership._records import (
    ACCUMULATED_KINDS,
    EPHEMERAL_KINDS,
    LIVE,
    LOAD,
    MEMBER,
    SERVER,
    TOMBSTONE_S,
    WITHDRAWN,
    Entry,
    Record,
)
from geraniumbend.membership._server_records import AnnouncedLoad
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import MemberTable
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.timers import TimerService

    RecordsCallback = Callable[[str, str, bytes | None], None]

RESERVED_KINDS = frozenset({MEMBER, SERVER, LOAD})
LOAD_LIFETIME_S = 15.0
# An unchanged load is published again within half of its lifetime.
LOAD_REFRESH_S = 6.0
# Loads and demand of all nodes together use at most a quarter of the byte budget;
# the rest is for member states, changes of backend servers and anti-entropy.
EPHEMERAL_SHARE = 0.25
EPHEMERAL_TRANSMISSIONS = 3
EPHEMERAL_BURST_BYTES = 400
MAX_PUBLISHED_BYTES = 900
# Field headers and numbers of a serialized record, and its share of the datagram
# overhead.
RECORD_OVERHEAD_BYTES = 90


class PublishedRecords:
    """Records that any component publishes, and announced loads of backend servers.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    table : RecordTable
        Store of the records.
    gossip : Gossip
        Spreads changes.
    bytes_per_second : float
        Byte budget of this node.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        members: MemberTable,
        table: RecordTable,
        gossip: Gossip,
        bytes_per_second: float,
        timers: TimerService,
    ) -> None:
        self._members = members
        self._table = table
        self._gossip = gossip
        self._timers = timers
        self._ephemeral_rate = (
            bytes_per_second * EPHEMERAL_SHARE / EPHEMERAL_TRANSMISSIONS
        )
        self._ephemeral_budget = ByteBudget(
            self._ephemeral_rate, timers, EPHEMERAL_BURST_BYTES
        )
        self._callbacks: dict[str, list[RecordsCallback]] = {}
        self._loads: dict[str, AnnouncedLoad] = {}
        self._last_reported: dict[str, tuple[float, int]] = {}
        self._minor = 0

    def set_sharing_nodes(self, nodes: int) -> None:
        """Divide the budget of ephemeral records by the nodes that exchange them."""
        self._ephemeral_budget.rate = self._ephemeral_rate / max(1, nodes)

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Store and spread a record of this node.

        Parameters
        ----------
        kind : str
            Kind of record.
        key : str
            Name within kind and node.
        value : bytes
            Content, at most 900 bytes.
        lifetime_s : float
            Time until it expires on every node, in seconds; 0 withdraws it.

        Returns
        -------
        bool
            False when the record is ephemeral and its byte budget is used up.

        Raises
        ------
        ProtocolError
            If the kind is reserved or the value too long.
        """
        if kind in RESERVED_KINDS or len(value) > MAX_PUBLISHED_BYTES:
            raise ProtocolError(
                f"record {kind}/{key} of {len(value)} bytes cannot be published",
                f"use another kind and at most {MAX_PUBLISHED_BYTES} bytes",
            )
        size = len(value) + len(key) + len(self._members.name) + RECORD_OVERHEAD_BYTES
        if kind in EPHEMERAL_KINDS and not self._ephemeral_budget.try_charge(size):
            return False
        self._write_record(kind, key, value, lifetime_s)
        return True

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
        return {
            (entry.record.owner, entry.record.key): entry.record.value
            for entry in self._table.entries(kind)
            if entry.record.state == LIVE
        }

    def subscribe(self, kind: str, callback: RecordsCallback) -> None:
        """Call back with node, key and value; None when the record ended."""
        self._callbacks.setdefault(kind, []).append(callback)

    def deliver(self, kind: str, node: str, key: str, value: bytes | None) -> None:
        """Call the subscribers of a kind."""
        for callback in self._callbacks.get(kind, []):
            callback(node, key, value)

    def merge(self, record: Record) -> bool:
        """Merge a record of a peer; return whether it was new."""
        if record.kind == LOAD:
            return self._merge_load(record)
        entry = self._table.get(*record.identity)
        if entry is not None and record.order <= entry.record.order:
            if record.owner == self._members.name:
                self._deliver_earlier(record, entry.record)
            return False
        if record.owner == self._members.name:
            self._supersede_earlier_version(record)
            return False
        if record.lifetime_s <= 0 and record.state == LIVE:
            return False
        if entry is not None:
            self._return_earlier(entry.record, record)
        self._store(record)
        self._gossip.enqueue(record)
        return True

    def lifetime(self, record: Record) -> float:
        """Return the remaining lifetime to send with a record, in seconds."""
        entry = self._table.get(*record.identity)
        if entry is None or entry.deadline is None:
            return 0.0
        return max(0.0, entry.deadline - self._timers.now())

    def expire(self, entry: Entry) -> None:
        """Remove a record whose lifetime has ended."""
        record = entry.record
        self._table.remove(record.identity)
        if record.kind == LOAD:
            self._loads.pop(record.key, None)
        elif record.state == LIVE:
            self.deliver(record.kind, record.owner, record.key, None)

    def report_load(
        self, server_id: str, incarnation: int, in_flight: int, slots: int
    ) -> None:
        """Record the load of an announcement; spread it on a significant change.

        Parameters
        ----------
        server_id : str
            Name of the server.
        incarnation : int
            Incarnation of the server.
        in_flight : int
            Requests that the server runs.
        slots : int
            Requests that it can run at the same time.
        """
        now = self._timers.now()
        self._loads[server_id] = AnnouncedLoad(in_flight, slots, now)
        reported_at, reported_in_flight = self._last_reported.get(
            server_id, (float("-inf"), 0)
        )
        significant = abs(in_flight - reported_in_flight) >= max(1.0, 0.2 * slots)
        if not significant and now - reported_at < LOAD_REFRESH_S:
            return
        value = load_structs("membership").LoadValue(in_flight=in_flight, slots=slots)
        encoded = encode(value)
        size = (
            len(encoded)
            + len(server_id)
            + len(self._members.name)
            + RECORD_OVERHEAD_BYTES
        )
        if not self._ephemeral_budget.try_charge(size):
            return
        self._last_reported[server_id] = (now, in_flight)
        entry = self._table.get(LOAD, "", server_id)
        same_incarnation = entry is not None and entry.record.major == incarnation
        minor = entry.record.minor + 1 if same_incarnation and entry is not None else 1
        record = Record(
            LOAD,
            "",
            server_id,
            incarnation,
            minor,
            LIVE,
            self._members.name,
            encoded,
            LOAD_LIFETIME_S,
        )
        self._table.put(record, now + LOAD_LIFETIME_S)
        self._gossip.enqueue(record)

    def loads(self) -> dict[str, AnnouncedLoad]:
        """Return the latest load of each backend server."""
        return dict(self._loads)

    def remove_load(self, server_id: str) -> None:
        """Remove the load of a deregistered server."""
        self._loads.pop(server_id, None)
        self._last_reported.pop(server_id, None)

    def _merge_load(self, record: Record) -> bool:
        entry = self._table.get(*record.identity)
        if entry is not None and record.order <= entry.record.order:
            return False
        value = decode(load_structs("membership").LoadValue, record.value)
        if value.in_flight is None or (value.slots or 0) <= 0 or value.in_flight < 0:
            raise ProtocolError("load record has a malformed value")
        now = self._timers.now()
        lifetime = min(record.lifetime_s, LOAD_LIFETIME_S)
        if lifetime <= 0:
            return False
        received = now - (LOAD_LIFETIME_S - lifetime)
        self._loads[record.key] = AnnouncedLoad(value.in_flight, value.slots, received)
        self._table.put(record, now + lifetime)
        self._gossip.enqueue(record)
        return True

    def _write_record(
        self, kind: str, key: str, value: bytes, lifetime_s: float
    ) -> None:
        self._minor += 1
        state = LIVE if lifetime_s > 0 else WITHDRAWN
        name = self._members.name
        major = self._members.incarnation
        entry = self._table.get(kind, name, key)
        if entry is not None:
            major = max(major, entry.record.major)
        record = Record(
            kind,
            name,
            key,
            major,
            self._minor,
            state,
            "",
            value if state == LIVE else b"",
            lifetime_s,
        )
        self._store(record)
        self._gossip.enqueue(record)

    def _store(self, record: Record) -> None:
        before = self._table.get(*record.identity)
        lifetime = record.lifetime_s if record.state == LIVE else TOMBSTONE_S
        self._table.put(record, self._timers.now() + lifetime)
        value = record.value if record.state == LIVE else None
        known = before is not None and before.record.state == LIVE
        if known or value is not None:
            self.deliver(record.kind, record.owner, record.key, value)

    def _supersede_earlier_version(self, record: Record) -> None:
        """Publish a version above those that this node published before a restart."""
        entry = self._table.get(*record.identity)
        self._minor = max(self._minor, record.minor)
        if record.major >= self._members.incarnation:
            self._members.raise_incarnation(record.major)
        if entry is not None and entry.record.state == LIVE:
            self._deliver_earlier(record, entry.record)
            entry = self._table.get(*record.identity)
            if entry is None or entry.record.order > record.order:
                # A subscriber has published what both versions contain.
                return
            remaining = self.lifetime(entry.record)
            self._write_record(record.kind, record.key, entry.record.value, remaining)
        elif record.lifetime_s > 0 or record.state != LIVE:
            self._store(record)

    def _deliver_earlier(self, earlier: Record, own: Record) -> None:
        """Tell subscribers what this node published before it was restarted.

        The version that it has published since replaces the earlier one everywhere,
        which it had not heard of then. Subscribers know what both mean together.
        """
        if earlier.lifetime_s > 0 and _is_of_earlier_process(earlier, own):
            self.deliver(earlier.kind, earlier.owner, earlier.key, earlier.value)

    def _return_earlier(self, earlier: Record, newer: Record) -> None:
        """Send a node that was restarted the record that it is about to replace."""
        owner = self._members.members.get(earlier.owner)
        if owner is not None and _is_of_earlier_process(earlier, newer):
            record = earlier._replace(lifetime_s=self.lifetime(earlier))
            self._gossip.send(GOSSIP, owner.address, records=[record])


def _is_of_earlier_process(earlier: Record, newer: Record) -> bool:
    """Tell whether a record of its owner's earlier process still has a meaning."""
    is_accumulated = earlier.kind in ACCUMULATED_KINDS and earlier.state == LIVE
    return is_accumulated and earlier.major != newer.major
