"""File operations on the local disk."""

from __future__ import annotations

import errno
import os
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from geraniumbend.adapters._worker_pool import WorkerPool

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class LocalDisk:
    """Operations on local files, run one task at a time off the event loop.

    Implements `replication.Disk`.

    Parameters
    ----------
    pool : WorkerPool or None, default=None
        Threads that run the tasks; a thread of its own if None.
    """

    def __init__(self, pool: WorkerPool | None = None) -> None:
        used_pool = WorkerPool(1) if pool is None else pool
        self._own_pool = used_pool if pool is None else None
        # A queue of width 1 keeps the order of tasks, so that a sync covers all earlier
        # writes.
        self._queue = used_pool.create_queue()

    async def run(self, task: Callable[[], T]) -> T:
        """Run blocking operations after those of earlier calls.

        Parameters
        ----------
        task : callable
            Function without arguments; it calls the other methods of this class.

        Returns
        -------
        object
            Result of the task.

        Raises
        ------
        OSError
            If an operation fails, or if memory or threads for it are missing.
        """
        return await self._queue.run(partial(_convert_memory_errors, task))

    def close(self) -> None:
        """Stop a thread of its own after the tasks that are already queued."""
        if self._own_pool is not None:
            self._own_pool.close()

    def list_files(self, folder: str) -> list[str]:
        """Return the names of the files in a folder, sorted; empty if absent."""
        path = Path(folder)
        if not path.is_dir():
            return []
        return sorted(entry.name for entry in path.iterdir() if entry.is_file())

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        return Path(path).read_bytes()

    def create_folder(self, folder: str) -> None:
        """Create a folder and missing parents, and sync each folder that changed."""
        path = Path(folder)
        if path.is_dir():
            return
        self.create_folder(str(path.parent))
        path.mkdir(exist_ok=True)
        self.sync_folder(str(path.parent))

    def append(self, path: str, data: bytes) -> None:
        """Append to a file, which is created if absent."""
        self._write(path, data, os.O_APPEND)

    def write(self, path: str, data: bytes) -> None:
        """Replace the content of a file in place."""
        self._write(path, data, os.O_TRUNC)

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.truncate(path, size)

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        self._sync(path, os.O_RDWR)

    def rename(self, source: str, target: str) -> None:
        """Rename a file; an existing target is replaced."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Delete a file."""
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and deletions in a folder durable."""
        self._sync(folder, os.O_RDONLY)

    @staticmethod
    def _write(path: str, data: bytes, flag: int) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | flag, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
        finally:
            os.close(descriptor)

    @staticmethod
    def _sync(path: str, flag: int) -> None:
        descriptor = os.open(path, flag)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _convert_memory_errors(task: Callable[[], T]) -> T:
    try:
        return task()
    except MemoryError as error:
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM)) from error
