"""Parts of a start that run beside the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundStarts:
    """Runs parts of a start in tasks and keeps the first failure of one of them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self._has_failed = asyncio.Event()

    def spawn(self, part: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a part in a task.

        Parameters
        ----------
        part : coroutine
            The part; it ends once its listener is open.

        Returns
        -------
        asyncio.Task
            Task of the part.
        """
        task = asyncio.ensure_future(part)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    async def wait_failed(self) -> None:
        """Wait until a part fails, and raise its exception."""
        await self._has_failed.wait()
        assert self._error is not None
        raise self._error

    async def stop(self) -> None:
        """Cancel the parts that still run."""
        running = list(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and self._error is None:
            self._error = error
            self._has_failed.set()
