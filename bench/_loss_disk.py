"""Simulated disk that loses unsynced content with the power."""

from __future__ import annotations

import asyncio
import copy
from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

T = TypeVar("T")
# Share of the power losses at which nothing survives that was not synced.
CLEAN_LOSS_SHARE = 0.3


class _File:
    def __init__(self) -> None:
        self.content = b""
        self.durable = b""


class _View(NamedTuple):
    """Names and contents at the moment at which a sync began."""

    names: dict[str, _File]
    contents: dict[str, bytes]


class _FileSync(NamedTuple):
    view: _View
    path: str


class _FolderSync(NamedTuple):
    view: _View
    folder: str


class LossDisk:
    """Disk of a simulated control host; a loss of power may take what was not synced.

    A task runs at once and its syncs end one after the other. If power is lost during
    one of them, what the task did after that sync has not happened.

    Parameters
    ----------
    sync_s : float
        Time of one sync, in seconds.
    """

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s
        self.is_full = False
        self.is_off = False
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._syncs: list[_FileSync | _FolderSync] = []
        self._lock = asyncio.Lock()

    def copy(self) -> LossDisk:
        """Return a disk with the same content, without the running task."""
        state = (self._names, self._durable_names, self._syncs)
        other = LossDisk(self.sync_s)
        other._names, other._durable_names, other._syncs = copy.deepcopy(state)
        return other

    async def run(self, task: Callable[[], T]) -> T:
        """Run a task of the replica; see `replication.Disk.run`."""
        async with self._lock:
            self._check_power()
            try:
                result = task()
            except OSError:
                self._apply_syncs(len(self._syncs))
                raise
            while self._syncs:
                await asyncio.sleep(self.sync_s)
                self._check_power()
                self._apply_syncs(1)
            return result

    def lose_power(self, rng: random.Random) -> None:
        """Keep what was synced, and any part of the rest."""
        self._apply_syncs(rng.randint(0, len(self._syncs)))
        if self._syncs:
            view = self._syncs[0].view
            self._names = dict(view.names)
            for path, content in view.contents.items():
                self._names[path].content = content
        self._syncs.clear()
        is_clean = rng.random() < CLEAN_LOSS_SHARE
        survivors: dict[str, _File] = {}
        for path in sorted({*self._names, *self._durable_names}):
            views = [self._durable_names]
            if not is_clean:
                views.append(self._names)
            file = rng.choice(views).get(path)
            if file is None:
                continue
            file.content = file.durable if is_clean else _tear(file, rng)
            file.durable = file.content
            survivors[path] = file
        self._names, self._durable_names = survivors, dict(survivors)
        self._lock = asyncio.Lock()
        self.is_full = self.is_off = False

    def list_files(self, folder: str) -> list[str]:
        """Return the names of the files in a folder, sorted."""
        prefix = f"{folder}/"
        rest = [path[len(prefix) :] for path in self._names if path.startswith(prefix)]
        return sorted(name for name in rest if "/" not in name)

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        return self._get(path).content

    def create_folder(self, folder: str) -> None:
        """Do nothing: folders exist once a file in them does."""

    def append(self, path: str, data: bytes) -> None:
        """Append to a file, which is created if absent."""
        file = self._names.setdefault(path, _File())
        file.content += self._fit(data)
        self._check_space()

    def write(self, path: str, data: bytes) -> None:
        """Replace the content of a file in place."""
        file = self._names.setdefault(path, _File())
        file.content = self._fit(data)
        self._check_space()

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        file = self._get(path)
        file.content = file.content[:size]

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        self._get(path)
        self._syncs.append(_FileSync(self._take_view(), path))

    def rename(self, source: str, target: str) -> None:
        """Rename a file over another."""
        self._names[target] = self._names.pop(source)

    def remove(self, path: str) -> None:
        """Delete a file."""
        if self._names.pop(path, None) is None:
            raise FileNotFoundError(path)

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and deletions in a folder durable."""
        self._syncs.append(_FolderSync(self._take_view(), folder))

    def _apply_syncs(self, count: int) -> None:
        for _ in range(count):
            sync = self._syncs.pop(0)
            view = sync.view
            if isinstance(sync, _FileSync):
                view.names[sync.path].durable = view.contents[sync.path]
                continue
            for path in list(self._durable_names):
                if path.rpartition("/")[0] == sync.folder:
                    del self._durable_names[path]
            for path, file in view.names.items():
                if path.rpartition("/")[0] == sync.folder:
                    self._durable_names[path] = file

    def _take_view(self) -> _View:
        contents = {path: file.content for path, file in self._names.items()}
        return _View(dict(self._names), contents)

    def _get(self, path: str) -> _File:
        if path not in self._names:
            raise FileNotFoundError(path)
        return self._names[path]

    def _fit(self, data: bytes) -> bytes:
        return data[: len(data) // 2] if self.is_full else data

    def _check_space(self) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")

    def _check_power(self) -> None:
        if self.is_off:
            raise OSError(5, "the host has lost power")


def _tear(file: _File, rng: random.Random) -> bytes:
    """Return what is left of a file: its synced bytes and a part of the others."""
    if not file.content.startswith(file.durable):
        return rng.choice([file.content, file.durable])
    added = file.content[len(file.durable) :]
    return file.durable + added[: rng.randint(0, len(added))]
