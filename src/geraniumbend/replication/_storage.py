"""Durable storage of one replica."""

from __future__ import annotations

import asyncio
import errno
import os
from functools import partial
from itertools import takewhile
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import StorageError
from geraniumbend.replication._entries import Entry, encode_entry
from geraniumbend.replication._files import (
    Segment,
    Snapshot,
    StoredState,
    VoteState,
    load_folder,
    load_snapshot,
    pack_snapshot,
    pack_vote_state,
    replace_file,
)
from geraniumbend.replication._records import (
    HEADER,
    SEGMENT_MAGIC,
    ReadError,
    file_header,
    pack_record,
)
from geraniumbend.replication._repair import repair_folder
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.replication._ports import Disk

SEGMENT_BYTES = 1024 * 1024


class LogStorage:
    """Log segments, vote file and snapshot of one replica.

    Entries queued during a sync are written together by the next one (group commit).
    An entry whose index is not above the last one overrides all entries from that
    index on, so segments are append-only.

    Parameters
    ----------
    disk : Disk
        File operations.
    folder : str
        Folder of the replica.
    on_written : callable
        Called on the event loop after each sync of entries.
    on_failure : callable
        Called with a StorageError when a write fails; later writes fail as well.
    """

    def __init__(
        self,
        disk: Disk,
        folder: str,
        on_written: Callable[[], None],
        on_failure: Callable[[StorageError], None],
    ) -> None:
        # Number of the last durable write and number of syncs.
        self.last_written = 0
        self.syncs = 0
        self._disk = disk
        self._folder = folder
        self._on_written = on_written
        self._on_failure = on_failure
        self._failure: StorageError | None = None
        # Set in the disk's thread right after a failed operation, before the event loop
        # hears of it, so that operations queued behind it do not run.
        self._is_broken = False
        self._segments: list[Segment] = []
        self._pending: list[Entry] = []
        self._last_queued = 0
        self._writer: asyncio.Task[None] | None = None
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._vote_lock = asyncio.Lock()
        self._snapshot_lock = asyncio.Lock()

    async def load(self) -> StoredState:
        """Read the files of the replica and truncate a torn tail.

        Raises
        ------
        ReadError
            If the system refuses an operation, so that nothing is known of the files.
        StorageError
            If anything but the tail of the newest segment is damaged, or if sectors
            are unreadable.
        """
        try:
            stored, self._segments = await self._disk.run(
                partial(load_folder, self._disk, self._folder)
            )
            return stored
        except OSError as error:
            is_damage = error.errno == errno.EIO
            raise (StorageError if is_damage else ReadError)(
                f"{self._folder} cannot be read: {error}",
                "check the disk, the permissions of the data folder and the limits on "
                "memory and descriptors",
            ) from error

    async def create(self, vote_state: VoteState) -> None:
        """Create the files of a new replica."""
        segment = Segment(1)

        def write() -> None:
            self._disk.create_folder(self._folder)
            path = f"{self._folder}/{segment.name}"
            self._disk.write(path, file_header(SEGMENT_MAGIC))
            self._disk.sync(path)
            replace_file(self._disk, self._folder, "vote", pack_vote_state(vote_state))

        await self._run(write)
        segment.size = segment.synced_bytes = HEADER.size
        self._segments = [segment]

    async def save_vote_state(
        self, read_vote_state: Callable[[], VoteState]
    ) -> VoteState:
        """Write the vote state that `read_vote_state` returns, and return it.

        Calls run one after the other.
        """
        async with self._vote_lock:
            vote_state = read_vote_state()
            data = pack_vote_state(vote_state)
            await self._run(
                partial(replace_file, self._disk, self._folder, "vote", data)
            )
            return vote_state

    def enqueue(self, entry: Entry) -> int:
        """Queue an entry for the next write and return the number of that write."""
        self._last_queued += 1
        self._pending.append(entry)
        self._start_writer()
        return self._last_queued

    async def wait_written(self, number: int) -> None:
        """Wait until a write is durable.

        Raises
        ------
        StorageError
            If a write failed.
        """
        if self._failure is not None:
            raise self._failure
        if number > self.last_written:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append((number, future))
            await future

    def roll(self) -> None:
        """Start a new segment for later entries."""
        if self._segments[-1].size > HEADER.size:
            self._segments.append(Segment(self._segments[-1].number + 1))

    async def save_snapshot(self, snapshot: Snapshot, is_reset: bool) -> None:
        """Write a snapshot and delete the segments that it covers.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot to store.
        is_reset : bool
            Whether entries after the snapshot are deleted as well.
        """
        async with self._snapshot_lock:
            data = pack_snapshot(snapshot)
            name = f"snapshot-{snapshot.index:016d}.snap"
            if is_reset:
                self._pending.clear()
            # The folder always holds a segment, even if a snapshot covers all entries.
            segment = Segment(self._segments[-1].number + 1)
            if self._segments[-1].size == 0:
                segment = self._segments.pop()
            segment.size = HEADER.size
            self._segments.append(segment)
            covered = list(
                takewhile(
                    lambda old: is_reset or old.last_index <= snapshot.index,
                    self._segments[:-1],
                )
            )
            await self._run(partial(self._write_snapshot, name, data, segment, covered))
            segment.synced_bytes = max(segment.synced_bytes, HEADER.size)
            self._segments = [kept for kept in self._segments if kept not in covered]

    async def read_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot on disk."""
        return await self._run(partial(load_snapshot, self._disk, self._folder))

    async def move_to_damaged(self) -> None:
        """Move all files of a damaged replica to the folder ``damaged``."""

        def move() -> None:
            damaged_folder = f"{self._folder}/damaged"
            self._disk.create_folder(damaged_folder)
            file_count = len(self._disk.list_files(damaged_folder))
            # The vote file is moved last: a folder that holds it without the other
            # files counts as damaged, so a crash in between repeats the move.
            names = self._disk.list_files(self._folder)
            for name in sorted(names, key=lambda name: name == "vote"):
                file_count += 1
                self._disk.rename(
                    f"{self._folder}/{name}",
                    f"{damaged_folder}/{file_count:06d}-{name}",
                )
            self._disk.sync_folder(damaged_folder)
            self._disk.sync_folder(self._folder)

        self._segments = []
        await self._run(move)

    async def recover(
        self,
        read_unwritten: Callable[[], list[Entry]],
        read_vote_state: Callable[[], VoteState],
    ) -> VoteState:
        """Make the files complete again after a failed write, and accept writes again.

        Bytes that no sync has covered are cut off and their entries are written anew:
        a later sync that succeeds would not prove that they are durable.

        Parameters
        ----------
        read_unwritten : callable
            Returns the entries in memory that `last_written` does not cover.
        read_vote_state : callable
            Returns the vote state.

        Returns
        -------
        VoteState
            Vote state that was written.

        Raises
        ------
        OSError
            If the disk still refuses writes.
        """
        await self.close()
        async with self._vote_lock, self._snapshot_lock:
            number = self._last_queued
            entries, vote_state = read_unwritten(), read_vote_state()
            self._pending.clear()
            self._segments = await self._disk.run(
                partial(
                    repair_folder,
                    self._disk,
                    self._folder,
                    self._segments,
                    entries,
                    vote_state,
                )
            )
            self.last_written = number
            self._is_broken = False
            self._failure = None
        if self._pending:
            self._start_writer()
        return vote_state

    async def close(self) -> None:
        """Wait until the running write has ended."""
        if self._writer is not None:
            await asyncio.gather(self._writer, return_exceptions=True)

    def is_writing(self) -> bool:
        """Return whether entries are being written."""
        return self._writer is not None and not self._writer.done()

    def size(self) -> int:
        """Return the size of all segments in bytes."""
        return sum(segment.size for segment in self._segments)

    def _start_writer(self) -> None:
        if self._writer is None or self._writer.done():
            self._writer = spawn_task(self._write_pending())

    async def _run(self, task: Callable[[], Any]) -> Any:
        if self._failure is not None:
            raise self._failure
        try:
            return await self._disk.run(partial(self._run_unless_broken, task))
        except OSError as error:
            raise self._fail(error) from error

    def _run_unless_broken(self, task: Callable[[], Any]) -> Any:
        if self._is_broken:
            raise OSError(errno.EIO, "an earlier write failed")
        try:
            return task()
        except OSError:
            self._is_broken = True
            raise
        except MemoryError as error:
            self._is_broken = True
            raise _memory_error() from error

    def _fail(self, error: OSError) -> StorageError:
        # After a failed sync the kernel may have dropped the dirty pages, so a later
        # sync may succeed although their content is lost.
        if self._failure is None:
            self._failure = StorageError(
                f"{self._folder} cannot be written: {error}",
                "check the disk; the replica takes part again once it can be written",
            )
            for _, future in self._waiters:
                if not future.done():
                    future.set_exception(self._failure)
            self._waiters.clear()
            self._on_failure(self._failure)
        return self._failure

    async def _write_pending(self) -> None:
        while self._pending and self._failure is None:
            batch, self._pending = self._pending, []
            number = self._last_queued
            try:
                data = b"".join(pack_record(encode_entry(entry)) for entry in batch)
            except MemoryError:
                # The batch is in no file, so later ones must not count as written.
                self._fail(_memory_error())
                return
            segment = self._segments[-1]
            if segment.size > SEGMENT_BYTES:
                segment = Segment(segment.number + 1)
                self._segments.append(segment)
            is_new = segment.size == 0
            if is_new:
                data = file_header(SEGMENT_MAGIC) + data
            segment.size += len(data)
            highest = max(entry.index for entry in batch)
            segment.last_index = max(segment.last_index, highest)
            try:
                await self._run(partial(self._append, segment.name, data, is_new))
            except StorageError:
                return
            segment.synced_bytes += len(data)
            self.syncs += 1
            self.last_written = number
            self._release_waiters()
            self._on_written()

    def _append(self, name: str, data: bytes, is_new: bool) -> None:
        path = f"{self._folder}/{name}"
        self._disk.append(path, data)
        self._disk.sync(path)
        if is_new:
            self._disk.sync_folder(self._folder)

    def _release_waiters(self) -> None:
        waiting = []
        for number, future in self._waiters:
            if number > self.last_written:
                waiting.append((number, future))
            elif not future.done():
                future.set_result(None)
        self._waiters = waiting

    def _write_snapshot(
        self, name: str, data: bytes, segment: Segment, covered: list[Segment]
    ) -> None:
        path = f"{self._folder}/{segment.name}"
        self._disk.write(path, file_header(SEGMENT_MAGIC))
        self._disk.sync(path)
        replace_file(self._disk, self._folder, name, data)
        for old in covered:
            # The folder is synced after each removal: a crash must not keep an older
            # segment and lose a newer one.
            self._disk.remove(f"{self._folder}/{old.name}")
            self._disk.sync_folder(self._folder)
        for other in self._disk.list_files(self._folder):
            if other.endswith(".snap") and other < name:
                self._disk.remove(f"{self._folder}/{other}")
        self._disk.sync_folder(self._folder)


def _memory_error() -> OSError:
    return OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
