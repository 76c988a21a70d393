"""Limits that a gateway knows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.limits._limited_server import LimitedServer, Warmup
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.timers import TimerService

# Time for which statements from before a withdrawal may still arrive, in seconds.
WITHDRAWAL_MEMORY_S = 30.0
# Change of the end of a warm-up, in seconds, that other gateways are told.
WARMUP_TOLERANCE_S = 0.25

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
declare_event(
    315,
    "cold_server_heard",
    "info",
    "A backend server is cold; it gets requests at the rate of its group's warm-up.",
)
declare_event(
    316, "cold_server_warm", "info", "A backend server states that it is warm."
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
        self._warm_since: dict[str, tuple[float, bool]] = {}

    def __iter__(self) -> Iterator[str]:
        return iter([name for name, _ in self.items()])

    def __len__(self) -> int:
        return len(self._servers)

    def __contains__(self, server_id: str) -> bool:
        return self.get(server_id) is not None

    def get(self, server_id: str) -> LimitedServer | None:
        """Return a limited server, None if it names no limit and is not cold."""
        known = self._servers.get(server_id)
        if known is not None and known.has_ended:
            self.forget(server_id)
            return None
        return known

    def items(self) -> list[tuple[str, LimitedServer]]:
        """Return the limited servers with their ids."""
        return [
            (name, known)
            for name, known in self._servers.items()
            if not known.has_ended
        ]

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
        known = self.get(server_id)
        if known is not None and known.incarnation < incarnation:
            self.forget(server_id)
            known = None
        if known is not None:
            known.confirmed_at = self._timers.now()
            if known.named_per_s == per_s:
                return False
        log_event(
            310,
            server=server_id,
            limit=per_s,
            previous=None if known is None else known.named_per_s,
            source=source,
        )
        if known is None:
            known = LimitedServer(server_id, incarnation, per_s, self._timers)
            self._servers[server_id] = known
        known.change_limit(per_s)
        return True

    def withdraw(self, server_id: str, source: str) -> None:
        """End the limit of a server that no longer names one."""
        known = self._servers[server_id]
        previous = known.named_per_s
        log_event(311, server=server_id, previous=previous, source=source)
        known.change_limit(None)
        if known.has_ended:
            self.forget(server_id)
        self._withdrawn_at[server_id] = self._timers.now()

    def set_warmup(
        self,
        server_id: str,
        incarnation: int,
        left_s: float,
        per_s: float,
        stated_at: float,
        is_exact: bool,
        source: str,
    ) -> bool:
        """Record a statement about the warm-up of a server, unless a later is known.

        Parameters
        ----------
        server_id : str
            Backend server.
        incarnation : int
            Its incarnation. Statements about an earlier one end.
        left_s : float
            How much longer it is cold after the statement, in seconds; 0 if it is warm.
        per_s : float
            Requests a second that it takes while it is cold.
        stated_at : float
            Reading of the clock at the statement.
        is_exact : bool
            Whether that time is exact, since a health response made the statement.
        source : str
            Where the statement is from, or name of the gateway that told it.

        Returns
        -------
        bool
            Whether the statement changes by more than `WARMUP_TOLERANCE_S` how long the
            server is known to be cold.
        """
        known = self.get(server_id)
        if known is not None and known.incarnation != incarnation:
            if known.incarnation > incarnation:
                return False
            self.forget(server_id)
            known = None
        before = None if known is None else known.warmup
        last = self.warm_since(server_id) if before is None else before.stated_at
        if stated_at < last:
            return False
        warm_at = stated_at + left_s
        if warm_at <= self._timers.now():
            self._warm_since[server_id] = stated_at, is_exact
            return self._end_warmup(server_id, known, source)
        if known is None:
            known = LimitedServer(server_id, incarnation, None, self._timers)
            self._servers[server_id] = known
        if before is None:
            log_event(
                315,
                server=server_id,
                seconds=round(left_s, 3),
                per_s=per_s,
                source=source,
            )
        known.change_warmup(Warmup(per_s, warm_at, stated_at, is_exact))
        self._warm_since.pop(server_id, None)
        return before is None or abs(before.warm_at - warm_at) > WARMUP_TOLERANCE_S

    def _end_warmup(
        self, server_id: str, known: LimitedServer | None, source: str
    ) -> bool:
        if known is None or known.warmup is None:
            return False
        log_event(316, server=server_id, source=source)
        known.change_warmup(None)
        if known.has_ended:
            self.forget(server_id)
        return True

    def warm_since(self, server_id: str) -> float:
        """Return the clock's reading at the last statement that a server is warm."""
        return self._warm_since.get(server_id, (-math.inf, False))[0]

    def is_warm_exactly(self, server_id: str) -> bool:
        """Tell whether a health response made the statement that a server is warm."""
        return self._warm_since.get(server_id, (-math.inf, False))[1]

    def forget(self, server_id: str) -> None:
        """End the limit of a server that is gone or has restarted."""
        known = self._servers.pop(server_id, None)
        if known is not None:
            known.end_wait()
            self._on_end(server_id)

    def update_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Forget the limits of servers that are gone or have restarted.

        A limit may be known before its server, since records arrive in any order. A
        server that is missing while it is cold may come back with the same incarnation
        and not say again that it is cold.
        """
        for server_id, known in self.items():
            server = servers.get(server_id)
            if server is not None:
                known.announced = True
                if server.incarnation > known.incarnation:
                    self.forget(server_id)
            elif known.announced and not known.is_cold:
                self.forget(server_id)
            elif known.announced and known.named_per_s is not None:
                known.change_limit(None)
                self._on_end(server_id)

    def prune(self) -> None:
        """Forget ended limits, and ends from before which no statement can arrive."""
        now = self._timers.now()
        for server_id in list(self._servers):
            self.get(server_id)
        for server_id, (stated_at, _) in list(self._warm_since.items()):
            if now - stated_at > WITHDRAWAL_MEMORY_S:
                del self._warm_since[server_id]
        for server_id, withdrawn_at in list(self._withdrawn_at.items()):
            if now - withdrawn_at > WITHDRAWAL_MEMORY_S:
                del self._withdrawn_at[server_id]
