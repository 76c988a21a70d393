"""Ports of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Disk(Protocol):
    """File operations of a replica; a write is durable only after its sync.

    All operations except `run` block; they are called only from a task of `run`.
    Paths are strings with ``/`` between folders. Failures raise OSError.
    """

    async def run(self, task: Callable[[], T]) -> T:
        """Run blocking operations off the event loop, one task at a time."""
        ...

    def list_files(self, folder: str) -> list[str]:
        """Return the names of the files in a folder, sorted; empty if absent."""
        ...

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        ...

    def create_folder(self, folder: str) -> None:
        """Create a folder and its parents and sync the parent."""
        ...

    def append(self, path: str, data: bytes) -> None:
        """Append to a file, which is created if absent; durable after a sync."""
        ...

    def write(self, path: str, data: bytes) -> None:
        """Replace the content of a file in place; durable after a sync."""
        ...

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes; durable after a sync."""
        ...

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        ...

    def rename(self, source: str, target: str) -> None:
        """Rename a file over another; durable after a sync of the folder."""
        ...

    def remove(self, path: str) -> None:
        """Delete a file; durable after a sync of the folder."""
        ...

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and deletions in a folder durable."""
        ...
