"""Limits that a gateway knows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.limits._limited_server import LimitedServer
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.timers import TimerService

# Time for which statements from before a withdrawal may still arrive, in seconds.
WITHDRAWAL_MEMORY_S = 30.0

declare_event(
    310,
    "server_limit_heard",
    "info",
    "A backend server names another limit on the requests a second that it takes.",
)
declare_event(
    311,
    "server_limit_withdrawn",
    "info",
    "A backend server no longer limits the requests a second that it takes.",
)


class LimitTable:
    """The limits that this gateway knows, and those withdrawn lately.

    Parameters
    ----------
    timers : TimerService
        Clock.
    on_end : callable
        Called with the id of a server whose limit is no longer known.
    """

    def __init__(self, timers: TimerService, on_end: Callable[[str], None]) -> None:
        self._timers = timers
        self._on_end = on_end
        self._servers: dict[str, LimitedServer] = {}
        self._withdrawn_at: dict[str, float] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._servers))

    def __len__(self) -> int:
        return len(self._servers)

    def __contains__(self, server_id: str) -> bool:
        return server_id in self._servers

    def get(self, server_id: str) -> LimitedServer | None:
        """Return a limited server, None if it names no limit."""
        return self._servers.get(server_id)

    def items(self) -> list[tuple[str, LimitedServer]]:
        """Return the limited servers with their ids."""
        return list(self._servers.items())

    def withdrawn_at(self, server_id: str) -> float:
        """Return the clock's reading at the last withdrawal, -inf if not lately."""
        return self._withdrawn_at.get(server_id, -math.inf)

    def set_limit(
        self, server_id: str, incarnation: int, per_s: float, source: str
    ) -> bool:
        """Set the limit of a server; return whether it is another one than before.

        Parameters
        ----------
        server_id : str
            Backend server.
        incarnation : int
            Its incarnation. The limit of an earlier one ends.
        per_s : float
            Limit in requests a second.
        source : str
            Kind of the response that named it, or name of the gateway that told it.
        """
        known = self._servers.get(server_id)
        if known is not None and known.incarnation < incarnation:
            self.forget(server_id)
            known = None
        if known is not None:
            known.confirmed_at = self._timers.now()
            if known.per_s == per_s:
                return False
        log_event(
            310,
            server=server_id,
            limit=per_s,
            previous=None if known is None else known.per_s,
            source=source,
        )
        if known is None:
            known = LimitedServer(server_id, incarnation, per_s, self._timers)
            self._servers[server_id] = known
        known.change_limit(per_s)
        return True

    def withdraw(self, server_id: str, source: str) -> None:
        """End the limit of a server that no longer names one."""
        previous = self._servers[server_id].per_s
        log_event(311, server=server_id, previous=previous, source=source)
        self.forget(server_id)
        self._withdrawn_at[server_id] = self._timers.now()

    def forget(self, server_id: str) -> None:
        """End the limit of a server that is gone or has restarted."""
        known = self._servers.pop(server_id, None)
        if known is not None:
            known.end_wait()
            self._on_end(server_id)

    def update_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Forget the limits of servers that are gone or have restarted.

        A limit may be known before its server, since records arrive in any order.
        """
        for server_id, known in self.items():
            server = servers.get(server_id)
            if server is None:
                is_current = not known.announced
            else:
                known.announced = True
                is_current = server.incarnation <= known.incarnation
            if not is_current:
                self.forget(server_id)

    def prune(self) -> None:
        """Forget withdrawals from which no earlier statement can be on its way."""
        now = self._timers.now()
        for server_id, withdrawn_at in list(self._withdrawn_at.items()):
            if now - withdrawn_at > WITHDRAWAL_MEMORY_S:
                del self._withdrawn_at[server_id]
