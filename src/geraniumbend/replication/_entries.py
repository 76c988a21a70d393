from __future__ import annotations

import struct
from typing import Any, NamedTuple

from geraniumbend.wire import load_structs

COMMAND = 0
MEMBERS = 1
# Opens the term of a leader, which commits earlier entries only through one of its
# own term (Raft, section 5.4.2).
OPENING = 2
# Index, term and kind in front of the data of a disk record. A thrift struct took
# most of the time of a restart.
ENTRY_HEAD = struct.Struct("!QQB")


class Entry(NamedTuple):
    """One entry of the log.

    Parameters
    ----------
    index : int
        Position, from 1.
    term : int
        Term of the leader that created it.
    kind : int
        `COMMAND`, `MEMBERS` or `OPENING`.
    data : bytes
        Command or encoded member list.
    """

    index: int  # type: ignore[assignment]
    term: int
    kind: int
    data: bytes


def entry_to_wire(entry: Entry) -> Any:
    """Return the thrift struct of an entry."""
    return load_structs("replication").WireEntry(
        index=entry.index, term=entry.term, kind=entry.kind, data=entry.data
    )


def entry_from_wire(wire: Any) -> Entry:
    """Return the entry of a thrift struct."""
    return Entry(wire.index, wire.term, wire.kind or 0, wire.data or b"")


def encode_entry(entry: Entry) -> bytes:
    """Return the payload of a disk record."""
    return ENTRY_HEAD.pack(entry.index, entry.term, entry.kind) + entry.data


def decode_entry(data: bytes) -> Entry:
    """Return the entry of a disk record."""
    index, term, kind = ENTRY_HEAD.unpack_from(data)
    return Entry(index, term, kind, data[ENTRY_HEAD.size :])


class EntryLog:
    """Entries in memory behind a base that a snapshot covers.

    Parameters
    ----------
    base_index, base_term : int
        Last entry that is not held any more.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._writes: list[int] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def get(self, index: int) -> Entry:
        """Return a held entry."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry, write: int) -> None:
        """Append an entry; `write` numbers the disk write that holds it."""
        self._entries.append(entry)
        self._writes.append(write)

    def write_of(self, index: int) -> int:
        """Return the number of the disk write that holds an entry."""
        if index <= self.base_index:
            return 0
        return self._writes[index - self.base_index - 1]

    def durable_index(self, written: int) -> int:
        """Return the last index held by disk writes up to `written`."""
        index = self.last_index
        while index > self.base_index and self.write_of(index) > written:
            index -= 1
        return index

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]
        del self._writes[index - self.base_index - 1 :]

    def discard(self, index: int) -> None:
        """Drop the entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        count = index - self.base_index
        del self._entries[:count]
        del self._writes[:count]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Start behind a snapshot, without entries."""
        self._entries.clear()
        self._writes.clear()
        self.base_index, self.base_term = index, term

    def slice(self, start: int, count: int, size: int) -> list[Entry]:
        """Return entries from an index on, bounded in count and bytes."""
        chosen: list[Entry] = []
        position = start - self.base_index - 1
        for entry in self._entries[position : position + count]:
            size -= len(entry.data)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return chosen

    def first_of_term(self, index: int) -> int:
        """Return the first held index of the run of equal terms around an index."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
