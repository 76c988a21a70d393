"""File operations on the local disk."""

from __future__ import annotations

import asyncio
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class LocalDisk:
    """Operations on local files, run in one worker thread.

    Implements `replication.Disk`.
    """

    def __init__(self) -> None:
        # A single thread keeps the order of tasks, so a sync covers all earlier writes.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="disk")

    async def run(self, task: Callable[[], T]) -> T:
        """Run blocking operations in the worker thread.

        Parameters
        ----------
        task : callable
            Function without arguments; it calls the other methods of this class.

        Returns
        -------
        object
            Result of the task.
        """
        return await asyncio.get_running_loop().run_in_executor(self._executor, task)

    def close(self) -> None:
        """Stop the worker thread after the tasks that are already queued."""
        self._executor.shutdown(wait=False)

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
