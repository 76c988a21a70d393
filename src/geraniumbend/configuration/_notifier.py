"""Notification of waiting tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService


class Notifier:
    """Wakes all tasks that wait for a notification.

    Parameters
    ----------
    timers : TimerService
        Source of time for the time limits of waits.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.waiters = 0
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting; later waits need a new notification."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, limit_s: float) -> None:
        """Wait for the next notification, for at most `limit_s` seconds."""
        notified = asyncio.ensure_future(self._event.wait())
        expired = asyncio.ensure_future(self._timers.sleep(limit_s))
        self.waiters += 1
        try:
            await asyncio.wait([notified, expired], return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiters -= 1
            notified.cancel()
            expired.cancel()
