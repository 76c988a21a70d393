"""Entries of the log, in memory and encoded."""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from geraniumbend.wire import load_structs

COMMAND = 0
MEMBERS = 1
# Entry without data that a new leader appends: it commits entries of earlier terms only
# through an entry of its own term (Raft, section 5.4.2).
NO_OP = 2
# Header of an entry in a disk record: index, term, kind. It is not a thrift struct,
# because decoding one for each entry took most of the time of a restart.
ENTRY_HEADER = struct.Struct("!QQB")


class Entry(NamedTuple):
    """One entry of the log.

    Parameters
    ----------
    index : int
        Position, from 1.
    term : int
        Term of the leader that created it.
    kind : int
        `COMMAND`, `MEMBERS` or `NO_OP`.
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
    """Return the payload of the disk record of an entry."""
    return ENTRY_HEADER.pack(entry.index, entry.term, entry.kind) + entry.data


def decode_entry(data: bytes) -> Entry:
    """Return the entry in the payload of a disk record."""
    index, term, kind = ENTRY_HEADER.unpack_from(data)
    return Entry(index, term, kind, data[ENTRY_HEADER.size :])


class EntryLog:
    """Entries of the log in memory; those up to a base index were discarded.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last entry that is no longer in memory. A snapshot
        covers it.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._write_numbers: list[int] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is unknown."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def get(self, index: int) -> Entry:
        """Return an entry in memory."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry, write_number: int) -> None:
        """Append an entry with the number of the disk write that stores it."""
        self._entries.append(entry)
        self._write_numbers.append(write_number)

    def write_number_of(self, index: int) -> int:
        """Return the number of the disk write that stores an entry."""
        if index <= self.base_index:
            return 0
        return self._write_numbers[index - self.base_index - 1]

    def durable_index(self, last_written: int) -> int:
        """Return the last index that is durable after disk write `last_written`."""
        index = self.last_index
        while index > self.base_index and self.write_number_of(index) > last_written:
            index -= 1
        return index

    def list_unwritten(self, last_written: int) -> list[Entry]:
        """Return the entries that disk write `last_written` does not cover."""
        start = self.durable_index(last_written) - self.base_index
        return self._entries[start:]

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]
        del self._write_numbers[index - self.base_index - 1 :]

    def discard(self, index: int) -> None:
        """Drop the entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        count = index - self.base_index
        del self._entries[:count]
        del self._write_numbers[:count]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Discard all entries and start after the last entry of a snapshot."""
        self._entries.clear()
        self._write_numbers.clear()
        self.base_index, self.base_term = index, term

    def slice(self, start: int, count: int, size: int) -> list[Entry]:
        """Return entries from index `start` on: at most `count`, of about `size` bytes.

        At least one entry is returned, even if it is longer.
        """
        chosen: list[Entry] = []
        position = start - self.base_index - 1
        for entry in self._entries[position : position + count]:
            size -= len(entry.data)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return chosen

    def first_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as an entry."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
