"""Warm-ups that follow from announcements, health responses and evacuations."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from geraniumbend.model import BackendServer, Configuration
    from geraniumbend.timers import TimerService

# Servers that appear within this time after the first update, in seconds, are assumed
# to have run before this gateway started, unless they announce that they are cold.
STARTUP_GRACE_S = 5.0
# Servers remembered besides the announced ones, so that a server that was missing for
# some seconds does not count as started.
MAX_REMEMBERED = 1000
# Time for which a statement about a server that no group with a warm-up selects is
# kept, in seconds. A change of the configuration may arrive later than its servers.
KEEP_S = 60.0


class WarmupPort(Protocol):
    """Limits of cold servers."""

    def observe_warmup(
        self,
        server: BackendServer,
        left_s: float,
        per_s: float,
        source: str = "announcement",
        stated_at: float | None = None,
    ) -> None:
        """Record a statement about the warm-up of a server."""
        ...


class _GroupWarmup(NamedTuple):
    duration_s: float
    per_s: float


class _Statement(NamedTuple):
    """Statement about a server that is in no group with a warm-up yet."""

    server: BackendServer
    left_s: float | None
    source: str
    heard_at: float


def uses_warmups(configuration: Configuration) -> bool:
    """Tell whether any group limits the requests to cold servers."""
    return any(group.warmup_per_s for group in configuration.groups.values())


class WarmupTracker:
    """Tells the limits which backend servers are cold.

    A server is cold for the duration of its group after the start of a new incarnation
    and after the end of an evacuation, until it states otherwise; and whenever it
    states so.

    Parameters
    ----------
    limits : ServerLimits
        Limits of cold servers.
    timers : TimerService
        Clock.
    check : callable or None, default=None
        Asks a server of a domain whose evacuation has ended whether it is cold.
    """

    def __init__(
        self,
        limits: WarmupPort,
        timers: TimerService,
        check: Callable[[BackendServer], None] | None = None,
    ) -> None:
        self._check = check
        self._limits = limits
        self._timers = timers
        self._groups: dict[str, _GroupWarmup] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._seen: dict[str, BackendServer] = {}
        self._grouped: dict[str, tuple[str, ...]] = {}
        self._ungrouped: dict[str, _Statement] = {}
        self._first_update = math.inf

    def is_active(self) -> bool:
        """Tell whether any group limits the requests to cold servers."""
        return bool(self._groups)

    def update(
        self,
        servers: Mapping[str, BackendServer],
        groups_of: Mapping[str, tuple[str, ...]],
        configuration: Configuration,
    ) -> None:
        """Apply the announced servers and the active configuration.

        Parameters
        ----------
        servers : mapping of str to BackendServer
            Servers by id.
        groups_of : mapping of str to tuple of str
            Groups by server id.
        configuration : Configuration
            Groups, and failure domains that are evacuated.
        """
        self._groups = {
            name: _GroupWarmup(group.warmup_s, group.warmup_per_s)
            for name, group in configuration.groups.items()
            if group.warmup_per_s
        }
        evacuated = frozenset(configuration.evacuated)
        ended, self._evacuated = self._evacuated - evacuated, evacuated
        if not self._groups:
            self._seen.clear()
            self._ungrouped.clear()
            self._grouped = {}
            self._first_update = math.inf
            return
        now = self._timers.now()
        self._first_update = min(self._first_update, now)
        self._grouped = dict(groups_of)
        is_settled = now - self._first_update > STARTUP_GRACE_S
        for server_id, server in servers.items():
            previous = self._seen.get(server_id)
            if previous is server and server.failure_domain not in ended:
                continue
            self._seen[server_id] = server
            self._apply(server, previous, ended, is_settled)
        if self._ungrouped:
            self._apply_ungrouped(servers, now)
        if len(self._seen) > len(servers) + MAX_REMEMBERED:
            self._seen = dict(servers)

    def observe_response(
        self, server: BackendServer, left_s: float, sent_at: float
    ) -> None:
        """Record the statement of a health response.

        Parameters
        ----------
        server : BackendServer
            Server that responded.
        left_s : float
            How much longer it is cold, in seconds; 0 if the response names no time.
        sent_at : float
            Reading of the clock when the health request was sent. The server is warm
            only if that was after the last other statement.
        """
        if not self._groups:
            return
        stated_at = self._timers.now() if left_s > 0 else sent_at
        self._observe(server, left_s, "probe", stated_at)

    def _apply_ungrouped(
        self, servers: Mapping[str, BackendServer], now: float
    ) -> None:
        """Apply the statements about servers that a group selects by now."""
        for server_id, statement in list(self._ungrouped.items()):
            server = servers.get(server_id)
            age_s = now - statement.heard_at
            is_same = (
                server is not None
                and server.incarnation == statement.server.incarnation
            )
            if not is_same or age_s > KEEP_S:
                del self._ungrouped[server_id]
                continue
            self._observe(*statement[:3], age_s=age_s)

    def _apply(
        self,
        server: BackendServer,
        previous: BackendServer | None,
        ended: Iterable[str],
        is_settled: bool,
    ) -> None:
        is_new = previous is None or previous.incarnation != server.incarnation
        announced_s = 0.0 if is_new or previous is None else previous.warmup_left_s
        if server.warmup_left_s > 0 and server.warmup_left_s != announced_s:
            self._observe(server, server.warmup_left_s, "announcement")
        elif is_new and (previous is not None or is_settled):
            self._observe(server, None, "start")
        elif server.failure_domain in ended:
            self._observe(server, None, "evacuation")
            if self._check is not None:
                self._check(server)
        elif announced_s > 0 and server.warmup_left_s == 0:
            self._observe(server, 0.0, "announcement")

    def _observe(
        self,
        server: BackendServer,
        left_s: float | None,
        source: str,
        stated_at: float | None = None,
        age_s: float = 0.0,
    ) -> None:
        """Pass on a statement; a time of None stands for the duration of the group."""
        server_id = server.server_id
        names = self._grouped.get(server_id, ())
        warmups = [self._groups[name] for name in names if name in self._groups]
        if not warmups:
            heard_at = self._timers.now() - age_s
            self._ungrouped[server_id] = _Statement(server, left_s, source, heard_at)
            return
        self._ungrouped.pop(server_id, None)
        if left_s is None:
            left_s = max(warmup.duration_s for warmup in warmups)
        if age_s:
            left_s -= age_s
            if left_s <= 0:
                return
        per_s = min(warmup.per_s for warmup in warmups)
        self._limits.observe_warmup(server, left_s, per_s, source, stated_at)
