"""Tasks whose exceptions are logged although nothing awaits them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend._exits import name_task, report_exception

if TYPE_CHECKING:
    from collections.abc import Coroutine


def spawn_task(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine in a task; log event 908 if it ends by an exception.

    The event loop reports such a task only once nothing refers to it, which is never
    for a task that its owner cancels at the end.

    Parameters
    ----------
    coroutine : coroutine
        Work that no other task awaits.

    Returns
    -------
    asyncio.Task
        The task.
    """
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(_report_end)
    return task


def _report_end(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        report_exception(name_task(task), error, "a background task has ended")
