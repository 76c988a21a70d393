"""Return of a replica whose disk refused a write."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from geraniumbend.logs import log_event
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    from geraniumbend.replication._core import Core

# Period between attempts to write to a disk that has refused a write, in seconds.
DISK_RETRY_S = 0.5


class DiskRecovery:
    """Lets a replica take part again once its disk takes writes again.

    Parameters
    ----------
    core : Core
        State of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._task: asyncio.Task[None] | None = None
        self._is_enabled = False

    def enable(self) -> None:
        """Recover from later failures; memory holds what the files may lack."""
        self._is_enabled = True

    def start(self) -> None:
        """Try to repair the files until it succeeds."""
        if self._is_enabled:
            self._task = spawn_task(self._run())

    async def stop(self) -> None:
        """Try no longer."""
        self._is_enabled = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        core = self._core
        failed_at = core.timers.now()
        attempts = 0
        while core.failure is not None:
            await core.timers.sleep(DISK_RETRY_S)
            attempts += 1
            with suppress(OSError, MemoryError):
                core.saved_vote_state = await core.storage.recover(
                    lambda: core.log.list_unwritten(core.storage.last_written),
                    lambda: core.vote_state,
                )
                core.failure = None
        core.timeout_start = core.timers.now()
        seconds = round(core.timeout_start - failed_at, 3)
        log_event(510, shard=core.shard, attempts=attempts, seconds=seconds)
