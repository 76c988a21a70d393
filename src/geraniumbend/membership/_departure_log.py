"""Departures on the disk of one control host."""

from __future__ import annotations

import asyncio
import errno
import struct
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from geraniumbend.errors import StorageError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._records import Record
from geraniumbend.tasks import spawn_task
from geraniumbend.timers import LoopTimers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.replication import Disk
    from geraniumbend.timers import TimerService

FILE_NAME = "departures"
# Length and checksum of the record that follows.
HEADER = struct.Struct("!IQ")
# The file is written anew, without outdated records, when it has reached this size and
# has doubled since it was last written anew.
MIN_COMPACT_BYTES = 256 * 1024
# Largest number of records that wait for a disk that does not respond.
MAX_PENDING = 4_096
# Time in seconds for which a start tries to read the file, and between two attempts.
READ_LIMIT_S = 10.0
READ_RETRY_S = 0.5

declare_event(
    823,
    "departures_not_stored",
    "warning",
    "The file of departures cannot be read or written; check the data folder.",
)


class _Waiting(NamedTuple):
    record: Record
    stored: asyncio.Future[None]


class DepartureLog:
    """Durable list of the backend servers that drain or have left.

    Records are appended to one file. Those that arrive while the disk is busy share the
    next sync, so the number of syncs does not grow with the number of departures.

    Parameters
    ----------
    disk : Disk
        File operations.
    folder : str
        Data folder of the process.
    list_departures : callable
        Returns the records that are still needed, when the file is written anew.
    timers : TimerService or None, default=None
        Clock; that of the event loop if None.
    """

    def __init__(
        self,
        disk: Disk,
        folder: str,
        list_departures: Callable[[], list[Record]],
        timers: TimerService | None = None,
    ) -> None:
        self._timers = timers or LoopTimers()
        self._disk = disk
        self._folder = folder
        self._path = f"{folder}/{FILE_NAME}"
        self._list_departures = list_departures
        self._waiting: list[_Waiting] = []
        self._writer: asyncio.Task[None] | None = None
        # Size in bytes; None if the end of the file is unknown.
        self._size: int | None = None
        self._compacted_size = 0

    async def load(self) -> list[Record]:
        """Return the stored records, the older ones of a server first.

        A file that cannot be read at present is read again for `READ_LIMIT_S`; the
        records of one that is damaged are those before the damage.

        Raises
        ------
        StorageError
            If the file cannot be read. It is left as it is.
        """
        begin_s = self._timers.now()
        while True:
            try:
                content = await self._disk.run(self._read)
            except OSError as error:
                log_event(823, path=self._path, error=str(error))
                if error.errno == errno.EIO:
                    return []
                if self._timers.now() - begin_s >= READ_LIMIT_S:
                    raise self._read_error(error) from error
            else:
                return list(_unpack_records(content))
            await self._timers.sleep(READ_RETRY_S)

    def _read_error(self, error: OSError) -> StorageError:
        return StorageError(
            f"{self._path} cannot be read: {error}",
            "check the permissions of the data folder and the limits on memory and "
            "descriptors",
        )

    async def append(self, record: Record) -> None:
        """Store a record; return when it is durable.

        Parameters
        ----------
        record : Record
            Record of a backend server that drains or has left.

        Raises
        ------
        StorageError
            If the disk refuses the record, or too many records wait for it.
        """
        if len(self._waiting) >= MAX_PENDING:
            raise StorageError(
                f"{len(self._waiting)} departures wait for the disk",
                f"check the disk that holds {self._folder}",
            )
        stored = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(record, stored))
        if self._writer is None or self._writer.done():
            self._writer = spawn_task(self._write_waiting())
        await stored

    async def _write_waiting(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            error = await self._write([waiting.record for waiting in batch])
            for waiting in batch:
                if waiting.stored.done():
                    continue
                if error is None:
                    waiting.stored.set_result(None)
                else:
                    waiting.stored.set_exception(error)

    async def _write(self, records: list[Record]) -> StorageError | None:
        try:
            await self._store(records)
        except (OSError, MemoryError) as error:
            self._size = None
            problem = str(error) or "out of memory"
            log_event(823, path=self._path, error=problem)
            return StorageError(
                f"{self._path} cannot be written: {problem}",
                "make room on the disk or replace it, or raise the limit on memory",
            )
        return None

    async def _store(self, records: list[Record]) -> None:
        data = _pack_records(records)
        is_compaction = self._size is None or self._size + len(data) > max(
            MIN_COMPACT_BYTES, 2 * self._compacted_size
        )
        if is_compaction:
            data = _pack_records([*self._list_departures(), *records])
        write = self._replace if is_compaction else self._append
        await self._disk.run(lambda: write(data))
        if is_compaction:
            self._compacted_size = len(data)
        self._size = len(data) + (0 if is_compaction else self._size or 0)

    def _read(self) -> bytes:
        if FILE_NAME not in self._disk.list_files(self._folder):
            return b""
        return self._disk.read(self._path)

    def _append(self, data: bytes) -> None:
        self._disk.append(self._path, data)
        self._disk.sync(self._path)

    def _replace(self, data: bytes) -> None:
        draft = f"{self._path}.draft"
        self._disk.create_folder(self._folder)
        self._disk.write(draft, data)
        self._disk.sync(draft)
        self._disk.rename(draft, self._path)
        self._disk.sync_folder(self._folder)


def _pack_records(records: Iterable[Record]) -> bytes:
    parts = []
    for record in records:
        body = msgspec.msgpack.encode(record)
        parts.append(HEADER.pack(len(body), xxhash.xxh64_intdigest(body)) + body)
    return b"".join(parts)


def _unpack_records(content: bytes) -> Iterable[Record]:
    """Yield the records up to the first that was not written whole."""
    position = 0
    while position + HEADER.size <= len(content):
        length, checksum = HEADER.unpack_from(content, position)
        position += HEADER.size
        body = content[position : position + length]
        if not body or xxhash.xxh64_intdigest(body) != checksum:
            return
        position += length
        try:
            yield msgspec.msgpack.decode(body, type=Record)
        except msgspec.MsgspecError as error:
            # Another release may have written other fields.
            log_event(823, path=FILE_NAME, error=str(error))
            return
