"""Members of all groups with their statistics."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.logs import declare_event, log_event
from geraniumbend.routing._asked_times import AskedTimes
from geraniumbend.routing._costs import RequestCosts
from geraniumbend.routing._leaving_servers import LeavingServers
from geraniumbend.routing._pools import PoolTable
from geraniumbend.routing._selector_index import SelectorIndex
from geraniumbend.routing._selectors import Selector, parse_selector
from geraniumbend.routing._server_views import ServerView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from geraniumbend.model import BackendServer, Configuration
    from geraniumbend.timers import TimerService

    Labels = Mapping[str, str]

# Servers that appear within this time after the first update, in seconds, are assumed
# to have run before this gateway started: gossip delivers some of them a little later.
STARTUP_GRACE_S = 5.0
# Time for which the computed load of a group is reused, in seconds.
LOAD_CACHE_S = 0.05
# Time constant, in seconds, of the weight of a report in a group's recent mean
# utilization.
RECENT_REPORT_DECAY_S = 0.3
# Reports of at least this age, in seconds, are left out of a group's utilization.
MAX_REPORT_AGE_S = 2.0
# Reported requests per slot of one server are cut to this value in the crowding of a
# group, so that a few servers with long queues do not hide free slots of the others.
MAX_CROWDING = 1.25

declare_event(
    304,
    "evacuation_applied",
    "info",
    "This gateway sends no more requests to the servers of a failure domain.",
)
declare_event(
    305,
    "evacuation_end_applied",
    "info",
    "This gateway sends requests to the servers of a failure domain again.",
)


class _GroupLoad(NamedTuple):
    """Load of a group, computed from the reports of its members.

    Parameters
    ----------
    computed_at : float
        Time of the computation, in seconds.
    utilization, median : float
        Mean and median of the reported requests per slot.
    robust_utilization : float
        The lower of the median and the recent mean, in which the weight of a report
        decays with its age.
    slowdown : float
        Mean reported slowdown (duration of work over its baseline), at least 1.
    """

    computed_at: float
    utilization: float
    median: float
    robust_utilization: float
    slowdown: float


class ServerTable:
    """Members of all groups, with the statistics of each backend server.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self.costs = RequestCosts(timers)
        self.pools = PoolTable(self, timers)
        self.leaving = LeavingServers(timers)
        self.asked = AskedTimes(timers)
        self.version = 0
        self._timers = timers
        self._first_update = math.inf
        self._views: dict[str, ServerView] = {}
        self._selectors: dict[str, tuple[str, Selector]] = {}
        self._selector_index = SelectorIndex()
        self._connection_limits: dict[str, int] = {}
        self._members: dict[str, dict[str, ServerView]] = {}
        self._announced: dict[str, tuple[BackendServer, Labels | None]] = {}
        self._available: dict[str, list[ServerView]] = {}
        self._loads: dict[str, _GroupLoad] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._crowding: dict[str, tuple[float, float | None, float]] = {}
        self.configuration: Configuration | None = None

    def update(
        self, servers: Mapping[str, BackendServer], configuration: Configuration
    ) -> None:
        """Install the announced servers and the active configuration.

        Among 15,000 servers one changes several times a second, so an update repeats as
        little work as it can: it skips servers that are the same object as before, and
        matches selectors only where the labels or the selector changed.

        Parameters
        ----------
        servers : mapping of str to BackendServer
            Servers by id, with the labels that they announced.
        configuration : Configuration
            Groups and label overrides. An override with an empty value removes the
            label.
        """
        now = self._timers.now()
        self._first_update = min(self._first_update, now)
        self.configuration = configuration
        changed_groups = self._update_selectors(configuration)
        affected = set(changed_groups)
        affected.update(self._update_evacuated(configuration))
        for server_id in self._views.keys() - servers.keys():
            view = self._views.pop(server_id)
            del self._announced[server_id]
            affected.update(view.groups)
            for group in view.groups:
                self._members.get(group, {}).pop(server_id, None)
        overrides = configuration.label_overrides
        applied = self._announced
        for server_id, announced in servers.items():
            override = overrides.get(server_id)
            previous = applied.get(server_id)
            is_same = (
                previous is not None
                and previous[0] is announced
                and previous[1] == override
            )
            if is_same and not changed_groups:
                continue
            if self.leaving.are_any():
                before = None if previous is None else previous[0]
                self.leaving.observe_announcement(before, announced)
            if self.asked.are_any():
                self.asked.forget_earlier(announced)
            applied[server_id] = (announced, override)
            server = _apply_override(announced, override)
            view, labels_changed = self._update_view(server, now)
            view.leaving = self.leaving.is_leaving(announced)
            view.resting = self.asked.is_resting(announced)
            affected.update(view.groups)
            groups = self._find_groups(view) if labels_changed else changed_groups
            self._match(view, groups)
            self._limit_connections(view)
            affected.update(view.groups)
        self._list_available(affected)

    def observe_leaving(self, server: BackendServer) -> None:
        """Record that a server states that it leaves; it is no longer available."""
        view = self._views.get(server.server_id)
        if view is not None and view.server.incarnation > server.incarnation:
            return
        if self.leaving.observe(server) and view is not None:
            view.leaving = self.leaving.is_leaving(view.server)
            self._list_available(view.groups)

    def views(self, group: str) -> list[ServerView]:
        """Return all members of a group, draining and evacuated ones included."""
        return list(self._members.get(group, {}).values())

    def available(self, group: str) -> list[ServerView]:
        """Return the members of a group that accept new requests.

        Callers must not change the list.
        """
        if self.leaving.are_any() or self.asked.are_any():
            self._admit_returned()
        return self._available.get(group, [])

    def view(self, server_id: str) -> ServerView | None:
        """Return the view of a server, or None if it is not announced."""
        return self._views.get(server_id)

    def is_evacuated(self, view: ServerView) -> bool:
        """Tell whether the failure domain of a server is evacuated."""
        return view.server.failure_domain in self._evacuated

    def count_evacuated(self) -> dict[tuple[str, ...], float]:
        """Return the number of announced servers by evacuated domain, for a gauge."""
        counts: dict[tuple[str, ...], float] = {
            (domain,): 0.0 for domain in sorted(self._evacuated)
        }
        for view in self._views.values() if counts else ():
            if self.is_evacuated(view):
                counts[(view.server.failure_domain,)] += 1
        return counts

    def all_views(self) -> list[ServerView]:
        """Return the views of all announced servers."""
        return list(self._views.values())

    def groups(self) -> list[str]:
        """Return the names of all groups."""
        return list(self._selectors)

    def slots(self, group: str) -> int:
        """Return the total slots of the members that accept new requests."""
        return sum(view.slots for view in self.available(group))

    def utilization(self, group: str) -> float:
        """Return reported requests per slot over all members with recent reports."""
        return self._measure_load(group).utilization

    def median_utilization(self, group: str) -> float:
        """Return the median reported utilization, at most 1.

        The value is used for servers without a report. The bound keeps false reports
        from making these servers seem overfull.
        """
        return min(1.0, self._measure_load(group).median)

    def robust_utilization(self, group: str) -> float:
        """Return the lower of the median and the recent mean of reported utilization.

        A false report of one server distorts only the mean, so the minimum is robust
        against a single report that is too high.
        """
        return self._measure_load(group).robust_utilization

    def measure_crowding(
        self, group: str, is_limited: Callable[[str], bool] | None = None
    ) -> tuple[float | None, float]:
        """Return the recent reported requests per slot, and the newest report's age.

        The weight of a report decays with its age by `RECENT_REPORT_DECAY_S`. The
        first value is None without recent reports; the age is in seconds.

        Parameters
        ----------
        group : str
            Name of the group.
        is_limited : callable or None, default=None
            Tells by id which servers are left out, since requests to them are limited
            by rate and not by slots.
        """
        now = self._timers.now()
        cached = self._crowding.get(group)
        if cached is None or now - cached[0] >= LOAD_CACHE_S:
            total = weights = 0.0
            newest = -math.inf
            for view in self.available(group):
                reported = view.reported_in_flight()
                age_s = now - view.report_at
                if reported is None or age_s >= MAX_REPORT_AGE_S:
                    continue
                if is_limited is not None and is_limited(view.server_id):
                    continue
                weight = math.exp(-age_s / RECENT_REPORT_DECAY_S)
                total += weight * min(MAX_CROWDING, reported / view.slots)
                weights += weight
                newest = max(newest, view.report_at)
            cached = (now, total / weights if weights else None, newest)
            self._crowding[group] = cached
        return cached[1], now - cached[2]

    def mean_slowdown(self, group: str) -> float:
        """Return the mean reported slowdown of a group's members, at least 1."""
        return self._measure_load(group).slowdown

    def observe_asked_time(
        self, server: BackendServer, delay_s: float, kind: str, draw: float
    ) -> None:
        """Record that a server asks for time; see `AskedTimes.observe`."""
        view = self._views.get(server.server_id)
        if view is not None and view.server.incarnation > server.incarnation:
            return
        if not self.asked.observe(server, delay_s, kind, draw) or view is None:
            return
        if not view.resting and self.asked.is_resting(view.server):
            view.resting = True
            self._list_available(view.groups)

    def _admit_returned(self) -> None:
        """List servers as usable whose departure or time asked for is over."""
        for view in self.leaving.find_announced_since(self._views.get):
            view.leaving = False
            self._list_available(view.groups)
        for server_id in self.asked.take_returned():
            returned = self._views.get(server_id)
            if returned is not None:
                returned.resting = False
                self._list_available(returned.groups)

    def _list_available(self, groups: Iterable[str]) -> None:
        """List the usable members of some groups again."""
        for group in groups:
            members = self._members.get(group)
            if members is None:
                self._available.pop(group, None)
            else:
                self._available[group] = [
                    view
                    for view in members.values()
                    if not (view.draining or self.is_evacuated(view))
                ]
        self._loads.clear()
        self._crowding.clear()
        self.version += 1

    def _measure_load(self, group: str) -> _GroupLoad:
        now = self._timers.now()
        cached = self._loads.get(group)
        if cached is not None and now - cached.computed_at < LOAD_CACHE_S:
            return cached
        loads = []
        slowdowns = []
        reported_total = slots_total = recent = weights = 0.0
        for view in self.available(group):
            if view.report is not None and view.report.slowdown is not None:
                slowdowns.append(view.report.slowdown)
            reported = view.reported_in_flight()
            age_s = now - view.report_at
            if reported is None or age_s >= MAX_REPORT_AGE_S:
                continue
            loads.append(reported / view.slots)
            reported_total += reported
            slots_total += view.slots
            weight = math.exp(-age_s / RECENT_REPORT_DECAY_S)
            recent += weight * reported
            weights += weight * view.slots
        mean = median = robust_utilization = 0.0
        if loads:
            loads.sort()
            mean = reported_total / slots_total
            median = loads[len(loads) // 2]
            robust_utilization = min(median, recent / weights)
        slowdown = max(1.0, sum(slowdowns) / len(slowdowns)) if slowdowns else 1.0
        self._loads[group] = _GroupLoad(now, mean, median, robust_utilization, slowdown)
        return self._loads[group]

    def _update_evacuated(self, configuration: Configuration) -> set[str]:
        """Install the evacuated domains; return the groups whose servers changed."""
        evacuated = frozenset(configuration.evacuated)
        changed = evacuated ^ self._evacuated
        if not changed:
            return set()
        for domain in sorted(changed):
            number = 304 if domain in evacuated else 305
            log_event(number, domain=domain, revision=configuration.revision)
        self._evacuated = evacuated
        return {
            group
            for view in self._views.values()
            if view.server.failure_domain in changed
            for group in view.groups
        }

    def _update_selectors(self, configuration: Configuration) -> dict[str, object]:
        changed: dict[str, object] = {}
        for name in self._selectors.keys() - configuration.groups.keys():
            del self._selectors[name]
            self._connection_limits.pop(name, None)
            self._selector_index.remove(name)
            for view in self._members.pop(name, {}).values():
                view.groups = tuple(group for group in view.groups if group != name)
            self._available.pop(name, None)
        for name, group in configuration.groups.items():
            known = self._selectors.get(name)
            limit_changed = (
                self._connection_limits.get(name, 0) != group.connection_limit
            )
            if limit_changed:
                self._connection_limits[name] = group.connection_limit
                changed[name] = None
            if known is None or known[0] != group.selector:
                selector = parse_selector(group.selector)
                self._selectors[name] = (group.selector, selector)
                self._selector_index.add(name, selector)
                self._members.setdefault(name, {})
                changed[name] = None
        return changed

    def _update_view(
        self, server: BackendServer, now: float
    ) -> tuple[ServerView, bool]:
        view = self._views.get(server.server_id)
        if view is None or view.server.incarnation != server.incarnation:
            already_running = (
                view is None and now - self._first_update <= STARTUP_GRACE_S
            )
            fresh = ServerView(server, now, already_running)
            if view is not None:
                fresh.generation = view.generation + 1
                fresh.groups = view.groups
            self._views[server.server_id] = fresh
            return fresh, True
        labels_changed = view.server.labels != server.labels
        view.server = server
        return view, labels_changed

    def _limit_connections(self, view: ServerView) -> None:
        """Apply the lowest connection limit set for any of the server's groups."""
        limits = [self._connection_limits.get(name, 0) for name in view.groups]
        lowest_limit = min((limit for limit in limits if limit), default=0)
        if lowest_limit and lowest_limit != view.server.connection_limit:
            view.server = view.server._replace(connection_limit=lowest_limit)

    def _find_groups(self, view: ServerView) -> dict[str, None]:
        known = {name: None for name in view.groups if name in self._selectors}
        return known | self._selector_index.find_candidates(view.server.labels)

    def _match(self, view: ServerView, groups: Mapping[str, object]) -> None:
        if not groups:
            return
        labels = view.server.labels
        current = dict.fromkeys(view.groups)
        for name in groups:
            if self._selectors[name][1].matches(labels):
                current[name] = None
                self._members[name][view.server_id] = view
            else:
                current.pop(name, None)
                self._members[name].pop(view.server_id, None)
        view.groups = tuple(current)


def _apply_override(
    server: BackendServer, override: Mapping[str, str] | None
) -> BackendServer:
    if not override:
        return server
    labels = {**server.labels, **override}
    for name, value in override.items():
        if not value:
            del labels[name]
    return server._replace(labels=labels)
