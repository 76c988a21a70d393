"""Copy of the backend server records on disk."""

from __future__ import annotations

import asyncio
import os
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import xxhash

from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._records import Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.replication import Disk
    from geraniumbend.timers import Subscription, TimerService

FILE_NAME = "backend-servers"
STORE_PERIOD_S = 0.2
DIGEST_BYTES = 8

declare_event(
    819,
    "directory_restored",
    "info",
    "No peer had records of backend servers, so those stored on this host are used "
    "until the servers announce themselves again or their leases end.",
)
declare_event(
    820,
    "directory_not_stored",
    "warning",
    "The file of backend server records cannot be read or written; check the data "
    "folder.",
)
declare_event(
    821,
    "directory_stored_again",
    "info",
    "The file of backend server records is written again after failures.",
)


class ServerRecordsFile:
    """Copy of the backend server records on disk.

    If all processes fail at once, servers would otherwise be unknown until each has
    announced itself again. The file serves this case only: it is used when no peer
    knows any server.

    Parameters
    ----------
    disk : Disk
        Runs the writes off the event loop.
    folder : str
        Data folder of the process.
    list_records : callable
        Returns the current records of backend servers.
    timers : TimerService
        Clock and periodic callbacks.
    """

    def __init__(
        self,
        disk: Disk,
        folder: str,
        list_records: Callable[[], list[Record]],
        timers: TimerService,
    ) -> None:
        self._disk = disk
        self._path = Path(folder) / FILE_NAME
        self._list_records = list_records
        self._timers = timers
        self._stored: list[Record] = []
        self._write_task: asyncio.Task[None] | None = None
        self._failed_writes = 0
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Write changed records periodically."""
        self._subscription = self._timers.every(STORE_PERIOD_S, self._store_changes)

    def stop(self) -> None:
        """Stop writing changed records."""
        if self._subscription is not None:
            self._subscription.cancel()

    def load(self) -> list[Record]:
        """Return the stored records; none when the file is absent or damaged."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            log_event(820, path=str(self._path), error=str(error))
            return []
        digest, body = content[:DIGEST_BYTES], content[DIGEST_BYTES:]
        if xxhash.xxh64_digest(body) != digest:
            log_event(820, path=str(self._path), error="checksum mismatch")
            return []
        try:
            return msgspec.msgpack.decode(body, type=list[Record])
        except msgspec.MsgspecError as error:
            # Another release may have written other fields.
            log_event(820, path=str(self._path), error=str(error))
            return []

    def _store_changes(self) -> None:
        if self._write_task is not None and not self._write_task.done():
            return
        records = self._list_records()
        if records != self._stored:
            self._stored = records
            self._write_task = asyncio.ensure_future(self._write(records))

    async def _write(self, records: list[Record]) -> None:
        try:
            body = msgspec.msgpack.encode(records)
            # A slow or hanging disk must not block the event loop.
            await self._disk.run(partial(self._replace_file, body))
        except (OSError, MemoryError) as error:
            self._stored = []
            self._failed_writes += 1
            if self._failed_writes == 1:
                log_event(820, path=str(self._path), error=str(error))
        else:
            if self._failed_writes:
                log_event(821, path=str(self._path), failed_writes=self._failed_writes)
            self._failed_writes = 0

    def _replace_file(self, body: bytes) -> None:
        draft = self._path.with_suffix(".draft")
        draft.parent.mkdir(parents=True, exist_ok=True)
        with open(draft, "wb") as file:
            file.write(xxhash.xxh64_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        draft.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
