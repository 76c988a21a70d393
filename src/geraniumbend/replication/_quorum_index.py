"""Highest entry of a leader's term that a majority of the voters holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.errors import UnavailableError

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService


class QuorumIndex:
    """Highest index of the current term that a majority of the voters holds on disk.

    Member lists take effect by it. Commands wait for `Core.commit_index`, which may
    ask for more copies than a majority.

    Parameters
    ----------
    timers : TimerService
        Clock.

    Attributes
    ----------
    value : int
        The index; 0 if a majority holds no entry of the term.
    """

    def __init__(self, timers: TimerService) -> None:
        self.value = 0
        self._timers = timers
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def reset(self) -> None:
        """Begin a term."""
        self.value = 0

    def advance(self, index: int) -> None:
        """Raise the index and wake those who wait for it."""
        if index <= self.value:
            return
        self.value = index
        waiting = []
        for awaited, future in self._waiters:
            if awaited > index:
                waiting.append((awaited, future))
            elif not future.done():
                future.set_result(None)
        self._waiters = waiting

    async def wait(self, index: int, timeout_s: float) -> None:
        """Wait until a majority holds an entry.

        Parameters
        ----------
        index : int
            Index of the entry.
        timeout_s : float
            Longest wait in seconds.

        Raises
        ------
        UnavailableError
            After the timeout, or if the leader steps down.
        """
        if index <= self.value:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((index, future))
        timer = self._timers.after(
            timeout_s, lambda: _fail(future, "no majority holds the entry in time")
        )
        try:
            await future
        finally:
            timer.cancel()

    def release(self) -> None:
        """End all waits with an error; the leader steps down."""
        waiters, self._waiters = self._waiters, []
        for _, future in waiters:
            _fail(future, "leadership was lost")


def _fail(future: asyncio.Future[None], reason: str) -> None:
    if not future.done():
        future.set_exception(
            UnavailableError(
                f"{reason}; the outcome of the change is unknown",
                "list the members and retry the change",
            )
        )
