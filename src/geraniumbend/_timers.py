"""Timer service for production and for tests."""

from __future__ import annotations

import asyncio
import heapq
import inspect
import itertools
import random
import time
from typing import TYPE_CHECKING, Protocol

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Callback = Callable[[], Awaitable[None] | None]

# Iterations of the event loop that ManualTimers runs after each timer, so that the
# tasks woken by it finish their work.
SETTLE_ITERATIONS = 20

declare_event(
    100, "timer_callback_failed", "error", "A periodic task raised an exception."
)

# `LoopTimers.now` when the program was loaded; this process has sent and accepted
# nothing before it.
PROCESS_START_S = time.clock_gettime(time.CLOCK_BOOTTIME)


class Subscription:
    """Handle that cancels a scheduled callback."""

    def __init__(self) -> None:
        self.cancelled = False
        self._task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Stop further calls; a call in progress is cancelled too."""
        self.cancelled = True
        if self._task is not None and self._task is not _current_task():
            self._task.cancel()


def _current_task() -> asyncio.Task[object] | None:
    try:
        return asyncio.current_task()
    except RuntimeError:
        return None


class TimerService(Protocol):
    """Clock, sleeps and periodic callbacks."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Wait for a delay in seconds."""
        ...

    def every(
        self, period_s: float, callback: Callback, jitter: float = 0.0
    ) -> Subscription:
        """Call back once a period; jitter is a fraction of the period."""
        ...

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after a delay in seconds."""
        ...


class _TimerBase:
    async def sleep(self, delay_s: float) -> None:
        raise NotImplementedError

    def every(
        self, period_s: float, callback: Callback, jitter: float = 0.0
    ) -> Subscription:
        """Call back once a period.

        Parameters
        ----------
        period_s : float
            Period in seconds.
        callback : callable
            Function or coroutine function without arguments.
        jitter : float, default=0.0
            Random part of each period, as a fraction of it.

        Returns
        -------
        Subscription
            Handle that cancels the calls.
        """
        subscription = Subscription()
        repeating = self._repeat(subscription, period_s, callback, jitter)
        subscription._task = asyncio.ensure_future(repeating)
        return subscription

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after a delay.

        Parameters
        ----------
        delay_s : float
            Delay in seconds.
        callback : callable
            Function or coroutine function without arguments.

        Returns
        -------
        Subscription
            Handle that cancels the call.
        """
        subscription = Subscription()
        subscription._task = asyncio.ensure_future(self._once(delay_s, callback))
        return subscription

    async def _repeat(
        self,
        subscription: Subscription,
        period_s: float,
        callback: Callback,
        jitter: float,
    ) -> None:
        # The flag is checked because a callback may suppress the CancelledError that is
        # raised in it.
        while not subscription.cancelled:
            spread = period_s * jitter
            await self.sleep(period_s + random.uniform(-spread, spread))
            await _run_callback(callback)

    async def _once(self, delay_s: float, callback: Callback) -> None:
        await self.sleep(delay_s)
        await _run_callback(callback)


async def _run_callback(callback: Callback) -> None:
    try:
        result = callback()
        if inspect.isawaitable(result):
            await result
    except Exception as error:
        log_event(
            100, callback=getattr(callback, "__qualname__", ""), error=repr(error)
        )


class LoopTimers(_TimerBase):
    """Timers of the running event loop."""

    def now(self) -> float:
        """Return monotonic time in seconds, including time the host was suspended.

        Otherwise a leader would trust an expired lease after the host resumes.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s: float) -> None:
        """Wait for a delay in seconds."""
        await asyncio.sleep(delay_s)


class ManualTimers(_TimerBase):
    """Timers whose clock tests advance.

    Parameters
    ----------
    start_s : float, default=1000.0
        Initial time, in seconds.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now = start_s
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Return the current time of the clock in seconds."""
        return self._now

    async def sleep(self, delay_s: float) -> None:
        """Wait until the clock has been advanced by a delay in seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (self._now + delay_s, next(self._sequence), future)
        heapq.heappush(self._waiting, entry)
        await future

    async def advance(self, delay_s: float) -> None:
        """Advance the clock and run all callbacks that are due, in order of time.

        Parameters
        ----------
        delay_s : float
            Time to advance, in seconds.
        """
        target = self._now + delay_s
        await self._settle()
        while self._waiting and self._waiting[0][0] <= target:
            due, _, future = heapq.heappop(self._waiting)
            self._now = max(self._now, due)
            if not future.done():
                future.set_result(None)
            await self._settle()
        self._now = target
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(SETTLE_ITERATIONS):
            await asyncio.sleep(0)
