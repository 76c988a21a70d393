"""Versioned records and their digests."""

from __future__ import annotations

import heapq
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import xxhash

from geraniumbend.errors import ProtocolError
from geraniumbend.logs import log_event
from geraniumbend.wire import load_structs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.timers import TimerService

    Identity = tuple[str, str, str]

MEMBER = "member"
SERVER = "server"
LOAD = "load"
DEMAND = "demand"
RETRY_EARNINGS = "retry-budget"
# Kinds of the sums over a failure domain, by the kind that is summed.
SUM_KINDS = {DEMAND: "demand-sum", RETRY_EARNINGS: "retry-budget-sum"}
# Kinds that gossip spreads only within a failure domain. The node that publishes a sum
# sends it to a few nodes of the other domains.
DOMAIN_SCOPED_KINDS = frozenset({*SUM_KINDS, *SUM_KINDS.values()})
# Kinds whose writers supersede them within seconds, so anti-entropy skips them.
EPHEMERAL_KINDS = frozenset({LOAD, *SUM_KINDS, *SUM_KINDS.values()})
# Kinds whose records accumulate: what a node published before its restart holds on
# beside what it has published since.
ACCUMULATED_KINDS = frozenset({"quarantine"})
LIVE, WITHDRAWN = 0, 1
# In clusters of more nodes, announced loads are sent only within a failure domain.
DOMAIN_SCOPE_NODES = 64
BUCKET_COUNT = 64
MAX_TEXT_LENGTH = 512
MAX_VALUE_BYTES = 16 * 1024
# The tombstone of a removed record is kept for longer than any lease or any datagram in
# flight can last, so that a late copy of the record is recognised as old.
TOMBSTONE_S = 600.0
MAX_LIFETIME_S = 7 * 24 * 3600.0


class Record(NamedTuple):
    """A versioned record; of the versions of one identity the highest `order` wins.

    Parameters
    ----------
    kind : str
        ``member``, ``server``, or the kind of a published record.
    owner : str
        Node that publishes the record; empty for members and backend servers.
    key : str
        Name within kind and owner.
    major : int
        Incarnation.
    minor : int
        Version within the incarnation.
    state : int
        0 is live; the other values depend on the kind.
    origin : str
        Node that wrote this version.
    value : bytes
        Content.
    lifetime_s : float
        Remaining lifetime when the record was sent, in seconds.
    """

    kind: str
    owner: str
    key: str
    major: int
    minor: int
    state: int
    origin: str
    value: bytes
    lifetime_s: float

    @property
    def identity(self) -> Identity:
        """Return the key that all versions of a record share."""
        return (self.kind, self.owner, self.key)

    @property
    def order(self) -> tuple[int, int, int, str]:
        """Return the version; greater wins."""
        return (self.major, self.minor, self.state, self.origin)


class Entry:
    """A record with its local deadline.

    Parameters
    ----------
    record : Record
        The record.
    deadline : float or None
        Local time of its expiry; None while it does not expire.
    """

    __slots__ = ("deadline", "key_hash", "record", "version_hash")

    def __init__(self, record: Record, deadline: float | None) -> None:
        self.record = record
        self.deadline = deadline
        self.key_hash = xxhash.xxh64_intdigest("\0".join(record.identity).encode())
        self.version_hash = xxhash.xxh64_intdigest(
            repr(record.order).encode(), self.key_hash
        )


class RecordTable:
    """Records of all kinds with digests for anti-entropy.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._entries: dict[Identity, Entry] = {}
        self._kinds: dict[str, dict[Identity, Entry]] = {}
        self._by_hash: dict[int, Identity] = {}
        self._digests = [0] * BUCKET_COUNT
        self._buckets: list[dict[int, Entry]] = [{} for _ in range(BUCKET_COUNT)]
        self._expiries: list[tuple[float, Identity]] = []

    def get(self, kind: str, owner: str, key: str) -> Entry | None:
        """Return the entry of an identity, which may be a tombstone."""
        return self._entries.get((kind, owner, key))

    def get_by_hash(self, key_hash: int) -> Entry | None:
        """Return the entry of a key hash."""
        identity = self._by_hash.get(key_hash)
        return None if identity is None else self._entries.get(identity)

    def entries(self, kind: str) -> list[Entry]:
        """Return the entries of one kind."""
        return list(self._kinds.get(kind, {}).values())

    def count(self, kind: str) -> int:
        """Return the number of entries of one kind, tombstones included."""
        return len(self._kinds.get(kind, ()))

    def __len__(self) -> int:
        """Return the number of records, tombstones included."""
        return len(self._entries)

    def put(self, record: Record, deadline: float | None) -> Entry:
        """Store a record in place of the earlier version.

        Parameters
        ----------
        record : Record
            The record.
        deadline : float or None
            Local time of its expiry.

        Returns
        -------
        Entry
            The stored entry.
        """
        identity = record.identity
        self._remove_from_digest(identity)
        entry = Entry(record, deadline)
        self._entries[identity] = entry
        self._kinds.setdefault(record.kind, {})[identity] = entry
        self._by_hash[entry.key_hash] = identity
        if record.kind not in EPHEMERAL_KINDS:
            bucket = entry.key_hash % BUCKET_COUNT
            self._digests[bucket] ^= entry.version_hash
            self._buckets[bucket][entry.key_hash] = entry
        self.set_deadline(entry, deadline)
        return entry

    def set_deadline(self, entry: Entry, deadline: float | None) -> None:
        """Change the local expiry of an entry."""
        entry.deadline = deadline
        if deadline is not None:
            heapq.heappush(self._expiries, (deadline, entry.record.identity))

    def remove(self, identity: Identity) -> None:
        """Remove a record without leaving a tombstone."""
        self._remove_from_digest(identity)
        entry = self._entries.pop(identity, None)
        if entry is not None:
            self._kinds[entry.record.kind].pop(identity, None)
            self._by_hash.pop(entry.key_hash, None)

    def collect_expired(self) -> list[Entry]:
        """Return the entries whose deadline has passed; they stay stored."""
        now = self._timers.now()
        due: dict[Identity, Entry] = {}
        while self._expiries and self._expiries[0][0] <= now:
            _, identity = heapq.heappop(self._expiries)
            entry = self._entries.get(identity)
            if entry and entry.deadline is not None and entry.deadline <= now:
                due[identity] = entry
        return list(due.values())

    def digests(self) -> bytes:
        """Return one 64-bit digest per bucket."""
        return struct.pack(f"!{BUCKET_COUNT}Q", *self._digests)

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from another node's.

        Raises
        ------
        ProtocolError
            If the other node uses another number of buckets.
        """
        if len(digests) != 8 * BUCKET_COUNT:
            raise ProtocolError(
                f"digest has {len(digests)} bytes instead of {8 * BUCKET_COUNT}",
                "run compatible versions on all hosts",
            )
        other = struct.unpack(f"!{BUCKET_COUNT}Q", digests)
        return [i for i in range(BUCKET_COUNT) if self._digests[i] != other[i]]

    def bucket(self, index: int) -> dict[int, Entry]:
        """Return the entries of a bucket by key hash."""
        return self._buckets[index]

    def _remove_from_digest(self, identity: Identity) -> None:
        old = self._entries.get(identity)
        if old is not None and old.record.kind not in EPHEMERAL_KINDS:
            bucket = old.key_hash % BUCKET_COUNT
            self._digests[bucket] ^= old.version_hash
            self._buckets[bucket].pop(old.key_hash, None)


def pack_record(record: Record) -> Any:
    """Return the thrift struct of a record."""
    # Fields that are None are not sent; the receiver fills in the same defaults.
    return load_structs("membership").RecordDelta(
        kind=record.kind,
        owner=record.owner or None,
        key=record.key or None,
        major=record.major or None,
        minor=record.minor or None,
        state=record.state or None,
        origin=record.origin or None,
        value=record.value or None,
        lifetime_ms=int(record.lifetime_s * 1000) or None,
    )


def unpack_record(delta: Any) -> Record:
    """Validate a thrift struct and return the record.

    Raises
    ------
    ProtocolError
        If a field is missing or out of range.
    """
    texts = (delta.kind, delta.owner, delta.key, delta.origin)
    # The default of a binary field that is absent is an empty str in thriftpy2.
    value = delta.value or b""
    numbers = (delta.major, delta.minor, delta.state, delta.lifetime_ms)
    valid = (
        all(isinstance(text, str) and len(text) <= MAX_TEXT_LENGTH for text in texts)
        and bool(delta.kind)
        and all(isinstance(number, int) and number >= 0 for number in numbers)
        and isinstance(value, bytes)
        and len(value) <= MAX_VALUE_BYTES
    )
    if not valid:
        raise ProtocolError(
            "record of a peer has a missing or out-of-range field",
            "run compatible versions on all hosts",
        )
    lifetime = min(delta.lifetime_ms / 1000, MAX_LIFETIME_S)
    return Record(
        delta.kind,
        delta.owner,
        delta.key,
        delta.major,
        delta.minor,
        delta.state,
        delta.origin,
        value,
        lifetime,
    )


def unpack_records(deltas: Iterable[Any] | None) -> list[Record]:
    """Return the records of a message; malformed ones are left out."""
    records = []
    for delta in deltas or []:
        try:
            records.append(unpack_record(delta))
        except ProtocolError:
            log_event(809, kind=str(delta.kind)[:60], key=str(delta.key)[:120])
    return records
