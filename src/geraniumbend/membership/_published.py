from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._budget import ByteBudget
from geraniumbend.membership._records import (
    EPHEMERAL,
    LIVE,
    LOAD,
    MEMBER,
    SERVER,
    TOMBSTONE_S,
    WITHDRAWN,
    Entry,
    Record,
)
from geraniumbend.membership._values import LoadReport
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import MemberTable
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.timers import TimerService

    RecordsCallback = Callable[[str, str, bytes | None], None]

RESERVED = frozenset({MEMBER, SERVER, LOAD})
LOAD_LIFETIME_S = 15.0
# A load that stays the same is repeated within half of its lifetime.
LOAD_REPEAT_S = 6.0
# Loads and demand of all nodes together use at most a quarter of the byte budget;
# the rest is for states, changes of backend servers and anti-entropy.
EPHEMERAL_SHARE = 0.25
EPHEMERAL_TRANSMISSIONS = 3
EPHEMERAL_BURST_BYTES = 400
MAX_PUBLISHED_BYTES = 900
# Field headers and numbers of a serialized record, and its part of a datagram.
RECORD_BYTES = 90


class PublishedRecords:
    """Records that any part publishes, and load reports of backend servers.

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
        self._share = bytes_per_second * EPHEMERAL_SHARE / EPHEMERAL_TRANSMISSIONS
        self._allowance = ByteBudget(self._share, timers, EPHEMERAL_BURST_BYTES)
        self._callbacks: dict[str, list[RecordsCallback]] = {}
        self._loads: dict[str, LoadReport] = {}
        self._reported: dict[str, tuple[float, int]] = {}
        self._minor = 0

    def set_scope(self, nodes: int) -> None:
        """Divide the share of ephemeral records by the nodes that exchange them."""
        self._allowance.rate = self._share / max(1, nodes)

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
            False when the record is ephemeral and has to wait for its share.

        Raises
        ------
        ProtocolError
            If the kind is reserved or the value too long.
        """
        if kind in RESERVED or len(value) > MAX_PUBLISHED_BYTES:
            raise ProtocolError(
                f"record {kind}/{key} of {len(value)} bytes cannot be published",
                f"use another kind and at most {MAX_PUBLISHED_BYTES} bytes",
            )
        size = len(value) + len(key) + len(self._members.name) + RECORD_BYTES
        if kind in EPHEMERAL and not self._allowance.try_charge(size):
            return False
        self._write(kind, key, value, lifetime_s)
        return True

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
        return {
            (entry.record.owner, entry.record.key): entry.record.value
            for entry in self._table.entries(kind)
            if entry.record.state == LIVE
        }

    def subscribe(self, kind: str, callback: RecordsCallback) -> None:
        """Call back with node, key and value; the value is None when it ended."""
        self._callbacks.setdefault(kind, []).append(callback)

    def deliver(self, kind: str, node: str, key: str, value: bytes | None) -> None:
        """Call the subscribers of a kind."""
        for callback in self._callbacks.get(kind, []):
            callback(node, key, value)

    def merge(self, record: Record) -> bool:
        """Take a record of a peer; returns whether it was new."""
        if record.kind == LOAD:
            return self._merge_load(record)
        entry = self._table.get(*record.identity)
        if entry is not None and record.order <= entry.record.order:
            return False
        if record.owner == self._members.name:
            self._meet_earlier_self(record)
            return False
        if record.lifetime_s <= 0 and record.state == LIVE:
            return False
        self._store(record)
        self._gossip.enqueue(record)
        return True

    def lifetime(self, record: Record) -> float:
        """Return the remaining lifetime that travels with a record, in seconds."""
        entry = self._table.get(*record.identity)
        if entry is None or entry.deadline is None:
            return 0.0
        return max(0.0, entry.deadline - self._timers.now())

    def expire(self, entry: Entry) -> None:
        """Forget a record whose lifetime has ended."""
        record = entry.record
        self._table.remove(record.identity)
        if record.kind == LOAD:
            self._loads.pop(record.key, None)
        elif record.state == LIVE:
            self.deliver(record.kind, record.owner, record.key, None)

    def report_load(
        self, server_id: str, incarnation: int, in_flight: int, slots: int
    ) -> None:
        """Take the load of an announcement; spread it on a significant change.

        Parameters
        ----------
        server_id : str
            Name of the server.
        incarnation : int
            Incarnation of the server.
        in_flight : int
            Requests that the server runs.
        slots : int
            Requests that it runs at the same time.
        """
        now = self._timers.now()
        self._loads[server_id] = LoadReport(in_flight, slots, now)
        at, last = self._reported.get(server_id, (float("-inf"), 0))
        significant = abs(in_flight - last) >= max(1.0, 0.2 * slots)
        if not significant and now - at < LOAD_REPEAT_S:
            return
        value = load_structs("membership").LoadValue(in_flight=in_flight, slots=slots)
        encoded = encode(value)
        size = len(encoded) + len(server_id) + len(self._members.name) + RECORD_BYTES
        if not self._allowance.try_charge(size):
            return
        self._reported[server_id] = (now, in_flight)
        entry = self._table.get(LOAD, "", server_id)
        same = entry is not None and entry.record.major == incarnation
        minor = entry.record.minor + 1 if same and entry is not None else 1
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

    def loads(self) -> dict[str, LoadReport]:
        """Return the latest load of each backend server."""
        return dict(self._loads)

    def forget_load(self, server_id: str) -> None:
        """Forget the load of a server that is gone."""
        self._loads.pop(server_id, None)
        self._reported.pop(server_id, None)

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
        self._loads[record.key] = LoadReport(value.in_flight, value.slots, received)
        self._table.put(record, now + lifetime)
        self._gossip.enqueue(record)
        return True

    def _write(self, kind: str, key: str, value: bytes, lifetime_s: float) -> None:
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

    def _meet_earlier_self(self, record: Record) -> None:
        """Continue above a version that this name published before its restart."""
        entry = self._table.get(*record.identity)
        self._minor = max(self._minor, record.minor)
        if record.major >= self._members.incarnation:
            self._members.raise_incarnation(record.major)
        if entry is not None and entry.record.state == LIVE:
            remaining = self.lifetime(entry.record)
            self._write(record.kind, record.key, entry.record.value, remaining)
        elif record.lifetime_s > 0 or record.state != LIVE:
            self._store(record)
