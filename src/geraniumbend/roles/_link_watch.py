"""Checks of lost links, and their publication."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from geraniumbend.reachability import CHECKED_SERVERS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.model import BackendServer
    from geraniumbend.reachability import LostLinks, Reachability
    from geraniumbend.timers import Subscription, TimerService

# Period and longest wait of the checks whether a lost link works again, in seconds.
CHECK_PERIOD_S = 0.25
CHECK_TIMEOUT_S = 0.25
# Period in which lost links are published again, in checks.
PUBLISH_CHECKS = 20


class LinkWatch:
    """Publishes the lost links of a gateway and checks whether they work again.

    Nothing runs while no link is lost.

    Parameters
    ----------
    reachability : Reachability
        Links to the backend servers.
    lost_links : LostLinks
        Publishes them.
    answers : callable
        Tells whether a server answers on a new connection within a time in seconds.
    list_servers : callable
        Returns the servers of a group.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        reachability: Reachability,
        lost_links: LostLinks,
        answers: Callable[[BackendServer, float], Awaitable[bool]],
        list_servers: Callable[[str], list[BackendServer]],
        timers: TimerService,
    ) -> None:
        self._reachability = reachability
        self._lost_links = lost_links
        self._answers = answers
        self._list_servers = list_servers
        self._timers = timers
        self._checks: Subscription | None = None
        self._check_count = 0

    def update(self) -> None:
        """Publish the lost links and start or stop the checks."""
        lost = self._reachability.list_lost()
        self._lost_links.publish(lost)
        if lost and self._checks is None:
            self._check_count = 0
            self._checks = self._timers.every(CHECK_PERIOD_S, self._check)
        elif not lost:
            self.stop()

    def stop(self) -> None:
        """Stop the checks."""
        if self._checks is not None:
            self._checks.cancel()
            self._checks = None

    async def _check(self) -> None:
        self._check_count += 1
        if self._check_count % PUBLISH_CHECKS == 0:
            self._lost_links.publish(self._reachability.list_lost())
        checks = [
            self._check_server(group, server)
            for group in self._reachability.list_lost()
            for server in self._draw_servers(group)
        ]
        await asyncio.gather(*checks)

    def _draw_servers(self, group: str) -> list[BackendServer]:
        servers = self._list_servers(group)
        return random.sample(servers, min(CHECKED_SERVERS, len(servers)))

    async def _check_server(self, group: str, server: BackendServer) -> None:
        if await self._answers(server, CHECK_TIMEOUT_S):
            self._reachability.record_check(group, server.server_id)
