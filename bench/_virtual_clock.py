"""Event loop and timers whose time passes only while all tasks wait."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from geraniumbend.timers import LoopTimers

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that adds each wait to a clock and returns at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the simulation waits for something that never comes")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        self._clock = _SkippingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now_s


class VirtualTimers(LoopTimers):
    """Timers of one simulated process; they stop while the process is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.running = asyncio.Event()
        self.running.set()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for a delay in seconds, and for the end of a pause."""
        await asyncio.sleep(delay_s)
        await self.running.wait()


def run_virtually(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a `VirtualClockLoop` in a thread that has no running loop."""
    loop = VirtualClockLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
