"""Backend servers that may receive requests."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._server_records import EXPIRED, LIVE, Announcement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.membership._records import Record
    from geraniumbend.model import BackendServer
    from geraniumbend.timers import TimerService

    ServersCallback = Callable[[dict[str, BackendServer]], None]
    Grouping = Callable[[BackendServer], Iterable[str]]

FLAP_WINDOW_S = 60.0
FLAP_LIMIT = 5
INITIAL_HOLD_S = 10.0
MAX_HOLD_S = 300.0
# After this time without state changes the next hold has the initial length again.
HOLD_RESET_S = 600.0
# Subscribers rebuild their tables on each notification, so changes within this time are
# delivered together. A rebuild of 15,000 servers takes some ten milliseconds.
COALESCE_S = 0.02
COALESCE_LARGE_S = 0.25
LARGE_CLUSTER_SERVERS = 1_000

declare_event(
    813,
    "backend_server_held_out",
    "warning",
    "A backend server changed state too often and gets no requests until its hold "
    "ends.",
)
declare_event(
    814,
    "backend_servers_stale",
    "error",
    "Most servers of a group stopped announcing themselves at once and are kept as "
    "stale; check the network from the backend servers to the announce listeners.",
)


class _LostServer(NamedTuple):
    at: float
    lease_s: float
    server: BackendServer


class _FlapState:
    __slots__ = ("changes", "delay_s", "held_until")

    def __init__(self) -> None:
        self.changes: deque[float] = deque()
        self.delay_s = INITIAL_HOLD_S
        self.held_until = 0.0


def group_by_app(server: BackendServer) -> Iterable[str]:
    """Return the group of a server when the configuration is not known."""
    return (server.labels.get("app", ""),)


class EligibleServers:
    """Backend servers that may get requests, with flap and mass-loss protection.

    A server that changes state too often is held out: it gets no requests for a time
    that grows with each hold. When more than half of a group expires at once, its lost
    servers are kept as stale.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._live: dict[str, BackendServer] = {}
        self._lost: dict[str, _LostServer] = {}
        self._stale: dict[str, float] = {}
        self._flaps: dict[str, _FlapState] = {}
        self._grouping: Grouping = group_by_app
        self._groups: dict[str, tuple[BackendServer, frozenset[str]]] = {}
        self._callbacks: list[ServersCallback] = []
        self._visible: dict[str, BackendServer] = {}
        self._last_delivered: dict[str, BackendServer] = {}
        self._dirty = False
        self._scheduled = False

    def subscribe(self, callback: ServersCallback) -> None:
        """Call back with all servers after each change."""
        self._callbacks.append(callback)

    def set_grouping(self, grouping: Grouping) -> None:
        """Set the function from a server to the names of its groups."""
        self._grouping = grouping
        self._groups.clear()
        self._schedule_update()

    def servers(self) -> dict[str, BackendServer]:
        """Return the servers by id; the dict is replaced, never changed."""
        if self._dirty:
            self._rebuild()
        return self._visible

    def apply(self, record: Record, announcement: Announcement | None) -> None:
        """Apply a new version of a backend server record."""
        server_id = record.key
        now = self._timers.now()
        before = self._live.pop(server_id, None)
        if record.state == LIVE and announcement is not None:
            server = announcement.server
            self._live[server_id] = server
            self._lost.pop(server_id, None)
            self._stale.pop(server_id, None)
            if before is None or before.incarnation != server.incarnation:
                self._count_change(server_id, now)
        elif record.state == EXPIRED:
            if before is not None and announcement is not None:
                self._lost[server_id] = _LostServer(now, announcement.lease_s, before)
                self._count_change(server_id, now)
        else:
            self._lost.pop(server_id, None)
            self._stale.pop(server_id, None)
            self._groups.pop(server_id, None)
            if before is not None:
                self._count_change(server_id, now)
        self._schedule_update()

    def report_failed(self, server_id: str) -> None:
        """Remove a stale server after requests to it have failed."""
        if self._stale.pop(server_id, None) is not None:
            self._lost.pop(server_id, None)
            self._schedule_update()

    def tick(self) -> None:
        """End holds that are over and schedule the updates that depend on time."""
        if self._lost or any(f.held_until for f in self._flaps.values()):
            self._schedule_update()
        now = self._timers.now()
        for server_id, flaps in list(self._flaps.items()):
            if flaps.held_until and flaps.held_until <= now:
                flaps.held_until = 0.0
            idle = not flaps.changes or now - flaps.changes[-1] > HOLD_RESET_S
            if idle and not flaps.held_until:
                del self._flaps[server_id]

    def counts(self) -> dict[str, int]:
        """Return the number of live, stale and held-out servers."""
        now = self._timers.now()
        held_out = sum(1 for f in self._flaps.values() if f.held_until > now)
        return {
            "live": len(self._live),
            "stale": len(self._stale),
            "held_out": held_out,
        }

    def _count_change(self, server_id: str, now: float) -> None:
        flaps = self._flaps.setdefault(server_id, _FlapState())
        flaps.changes.append(now)
        while flaps.changes and flaps.changes[0] < now - FLAP_WINDOW_S:
            flaps.changes.popleft()
        if len(flaps.changes) > FLAP_LIMIT and flaps.held_until <= now:
            flaps.held_until = now + flaps.delay_s
            log_event(813, server=server_id, seconds=flaps.delay_s)
            flaps.delay_s = min(2 * flaps.delay_s, MAX_HOLD_S)
            flaps.changes.clear()
            flaps.changes.append(now)

    def _schedule_update(self) -> None:
        self._dirty = True
        if not self._scheduled:
            self._scheduled = True
            large = len(self._live) > LARGE_CLUSTER_SERVERS
            delay = COALESCE_LARGE_S if large else COALESCE_S
            self._timers.after(delay, self._notify)

    def _notify(self) -> None:
        self._scheduled = False
        self.deliver()

    def deliver(self) -> None:
        """Call back with all servers if they have changed since the last call."""
        if self._dirty:
            self._rebuild()
        if self._visible != self._last_delivered:
            self._last_delivered = self._visible
            for callback in self._callbacks:
                callback(self._visible)

    def _rebuild(self) -> None:
        self._dirty = False
        self._detect_mass_loss()
        now = self._timers.now()
        held_out = {s for s, f in self._flaps.items() if f.held_until > now}
        visible = {s: v for s, v in self._live.items() if s not in held_out}
        if held_out:
            visible |= self._list_needed(held_out, visible)
        for server_id in self._stale:
            visible[server_id] = self._lost[server_id].server._replace(stale=True)
        self._visible = visible

    def _list_needed(
        self, held_out: set[str], visible: dict[str, BackendServer]
    ) -> dict[str, BackendServer]:
        """Return the held-out servers of groups that have no other server."""
        populated = {group for v in visible.values() for group in self._find_groups(v)}
        return {
            server_id: self._live[server_id]
            for server_id in held_out & self._live.keys()
            if populated.isdisjoint(self._find_groups(self._live[server_id]))
        }

    def _find_groups(self, server: BackendServer) -> frozenset[str]:
        """Return the groups of a server; the grouping is called once for each."""
        known = self._groups.get(server.server_id)
        if known is not None and known[0] is server:
            return known[1]
        groups = frozenset(self._grouping(server))
        self._groups[server.server_id] = (server, groups)
        return groups

    def _detect_mass_loss(self) -> None:
        """Mark expired servers as stale in groups that lost more than half at once."""
        now = self._timers.now()
        if not self._lost:
            return
        live = Counter(g for v in self._live.values() for g in self._find_groups(v))
        lost: dict[str, list[str]] = {}
        for server_id, loss in self._lost.items():
            if server_id in self._stale or now - loss.at <= loss.lease_s:
                for group in self._find_groups(loss.server):
                    lost.setdefault(group, []).append(server_id)
        stale: set[str] = set()
        for group, ids in lost.items():
            if len(ids) > live[group]:
                stale.update(ids)
        for server_id in stale - self._stale.keys():
            self._stale[server_id] = now
        if stale and not any(at < now for at in self._stale.values()):
            log_event(814, servers=sorted(stale)[:20], count=len(stale))
        self._drop_lost(stale, now)

    def _drop_lost(self, stale: set[str], now: float) -> None:
        for server_id in stale:
            self._stale[server_id] = now
        for server_id, loss in list(self._lost.items()):
            # Once most of a group has announced again, the others get one more lease.
            if now - self._stale.get(server_id, loss.at) > loss.lease_s:
                self._stale.pop(server_id, None)
                self._groups.pop(server_id, None)
                del self._lost[server_id]
