"""Search for servers with a free slot by on-demand probes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.caller_waits import spread_return
from geraniumbend.errors import RefusedError
from geraniumbend.routing._on_demand_probes import LIGHT_LOAD_SLOWDOWN
from geraniumbend.routing._policies import SelectionContext, score
from geraniumbend.routing._slot_line import SlotLine, SlotTurn

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from geraniumbend.routing._on_demand_probes import OnDemandProbes
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

# Largest random increase of a score, as a fraction of it, when servers are ordered for
# probing. Without it, all gateways would probe, and then load, the same servers.
PROBE_ORDER_JITTER = 1.0
# Factor on the score of a server without an open connection, when servers are ordered
# for probing. A gateway that gets few requests would otherwise open a connection for
# nearly every probe, since servers close idle connections after seconds.
NEW_CONNECTION_FACTOR = 2.0
# Most sets of servers of one list that are probed one after the other.
PROBE_ROUNDS = 2
# Pause before servers are probed again, in seconds; about the time in which one of a
# few dozen busy slots becomes free.
PROBE_PAUSE_S = 0.015
# Share of the requests that waited and go to a server when it becomes lightly loaded,
# where servers may hang. Requests of all gateways wait for the same servers; if all of
# them went there at once, they would fill slots and queue within milliseconds.
ACCEPTED_SHARE = 0.25


class SlotSearch(NamedTuple):
    """Search for a server with a free slot for one request.

    Parameters
    ----------
    group : str
        Name of the group.
    list_members : callable
        Returns the servers that may get the request.
    build_context : callable
        Returns the request and the state of its group at the present time.
    count_slots : callable
        Returns how many slots of the group serve the requests of this gateway.
    estimate_room : callable
        Returns the time until a new request would have a slot, in seconds.
    service_s : float
        Mean service time of the request in seconds; 0 when unknown.
    turn : SlotTurn or None, default=None
        Place of the request among those that wait; None if it does not wait.
    max_wait_s : float, default=0.0
        Longest wait in seconds, besides that for the first probes.
    """

    group: str
    list_members: Callable[[], list[ServerView]]
    build_context: Callable[[], SelectionContext]
    count_slots: Callable[[], float]
    estimate_room: Callable[[], float]
    service_s: float
    turn: SlotTurn | None = None
    max_wait_s: float = 0.0


class FreeSlotFinder:
    """Finds servers with a free slot for a request, by on-demand probes.

    Parameters
    ----------
    on_demand_probes : OnDemandProbes
        Sends the probes.
    count : int
        Servers probed at the same time.
    timers : TimerService
        Clock.
    rng : random.Random or None, default=None
        Draws which of the waiting requests go to a server that becomes lightly loaded;
        None if all of them do.
    """

    def __init__(
        self,
        on_demand_probes: OnDemandProbes,
        count: int,
        timers: TimerService,
        rng: random.Random | None = None,
    ) -> None:
        self._random = rng
        self._on_demand_probes = on_demand_probes
        self._count = count
        self._timers = timers
        self._line = SlotLine(timers)

    async def find(self, search: SlotSearch) -> bool:
        """Probe servers until one of them has room for a request.

        While others wait, the request waits for its turn. It goes to a lightly loaded
        server, or after a short wait to any server that may have a free slot.

        Returns
        -------
        bool
            Whether a lightly loaded server was found.

        Raises
        ------
        RefusedError
            If the request will have no slot in time.
        """
        if search.turn is None:
            return await self._probe_all(search)
        if not self._line.count(search.group):
            if await self._probe_all(search):
                return True
            if search.max_wait_s <= 0:
                return False
        elif search.max_wait_s <= 0:
            raise self._refuse(search)
        return await self._wait(search, search.turn)

    def estimate_room(self, group: str, service_s: float, slots: float) -> float:
        """Return the time until a new request would have a slot, in seconds."""
        return self._line.estimate_room(group, service_s, slots)

    async def _wait(self, search: SlotSearch, turn: SlotTurn) -> bool:
        """Wait for the turn of a request and then for a server with room."""
        line, group = self._line, search.group
        started_s = self._timers.now()
        latest_s = started_s + search.max_wait_s
        waiting = line.join(group, turn, search.service_s, latest_s)
        has_slot = False
        try:
            line.review(group, search.count_slots(), is_due=True)
            while True:
                if waiting.refused_after_s is not None:
                    raise build_saturated_refusal(
                        search.build_context(), waiting.refused_after_s
                    )
                if not line.is_first(group, waiting):
                    await waiting.wait_for_change()
                    continue
                is_found = await self._probe_all(search)
                if not line.is_first(group, waiting):
                    continue
                if is_found:
                    has_slot = self.accepts(started_s, latest_s)
                else:
                    has_slot = self._takes_any_slot(search, turn)
                if has_slot:
                    return is_found
                if self._timers.now() + PROBE_PAUSE_S > latest_s:
                    if self._are_full(search.list_members()):
                        raise self._refuse(search)
                    return False
                await self._timers.sleep(PROBE_PAUSE_S)
                line.review(group, search.count_slots())
        finally:
            line.leave(group, waiting, has_slot)

    def _takes_any_slot(self, search: SlotSearch, turn: SlotTurn) -> bool:
        """Tell whether a request goes to a server that is not lightly loaded.

        It holds out for a lightly loaded one as long as its work takes longer on the
        fastest server with a free slot.
        """
        context = search.build_context()
        now = context.now
        members = search.list_members()
        slowdowns = [
            view.estimate_slowdown(now, context.slowdown)
            for view in members
            if self._may_have_slot(view, context)
        ]
        if not slowdowns:
            # Nothing to wait for if there are no servers; the choice says why.
            return not members
        slowdown = min(slowdowns)
        if self._line.count(search.group) == 1:
            # Nobody else loses time. The last free slots slow down all of a server.
            slowdown = max(slowdown, LIGHT_LOAD_SLOWDOWN)
        return now >= turn.arrived_s + (slowdown - 1) * search.service_s

    def _may_have_slot(self, view: ServerView, context: SelectionContext) -> bool:
        """Tell whether a server has a free slot by its last report or by the others."""
        if self._on_demand_probes.has_fresh_report(view):
            return self._on_demand_probes.has_free_slot(view)
        load = view.estimate_in_flight(context.now, context.utilization)
        return load + 1 <= view.slots

    def _refuse(self, search: SlotSearch) -> RefusedError:
        return build_saturated_refusal(search.build_context(), search.estimate_room())

    async def _probe_all(self, search: SlotSearch) -> bool:
        """Probe servers once; tell whether one of them is lightly loaded.

        Servers of other failure domains are probed only if no server of the gateway's
        own domain is lightly loaded, since bandwidth between domains is scarce. A
        server that fails some requests is probed if a request would wait otherwise, as
        it still serves more than a refusal does.
        """
        context = search.build_context()
        members = search.list_members()
        healthy = self._prefer_healthy(members)
        local = _list_local(healthy, context)
        remote = [view for view in healthy if view not in local]
        if await self._probe_members(local, context):
            return True
        if await self._probe_members(remote, search.build_context()):
            return True
        if search.max_wait_s <= 0 or self._may_have_free_slot(healthy):
            return False
        failing = [view for view in members if view not in healthy]
        return await self._probe_members(failing, search.build_context())

    def accepts(self, started_s: float, end_s: float) -> bool:
        """Tell whether a request goes to a server that was found lightly loaded.

        Parameters
        ----------
        started_s, end_s : float
            Start and latest end of its wait, by the clock.
        """
        now = self._timers.now()
        has_waited = now - started_s > PROBE_PAUSE_S
        if self._random is None or not has_waited or now + PROBE_PAUSE_S > end_s:
            return True
        return self._random.random() < ACCEPTED_SHARE

    def list_usable(
        self,
        members: list[ServerView],
        context: SelectionContext,
        estimate_room: Callable[[], float],
    ) -> list[ServerView]:
        """Return the servers that are fit for a request by their fresh reports.

        These are the lightly loaded servers, else those with a free slot; of these, the
        servers in the gateway's own failure domain if there are any. The list is empty
        if there are too few fresh reports or none shows a free slot.

        Parameters
        ----------
        members : list of ServerView
            Servers that may get the request.
        context : SelectionContext
            Request and present state of its group.
        estimate_room : callable
            Returns the time until the request would have a slot, in seconds.

        Raises
        ------
        RefusedError
            If fresh reports show that as many servers as are probed for one request
            are all full. One more request would slow down all others on its server
            and would itself be late.
        """
        lightly_loaded = [
            view for view in members if self._on_demand_probes.is_lightly_loaded(view)
        ]
        if lightly_loaded:
            usable = self._prefer_healthy(lightly_loaded)
            return _list_local(usable, context) or usable
        if self._are_full(members):
            raise build_saturated_refusal(context, estimate_room())
        fresh = self._list_fresh(members)
        # Two servers with fresh reports are a better choice than four with old ones,
        # which the routing policy would sample.
        if len(fresh) < 2:
            return []
        usable = self._prefer_healthy(self._list_free(fresh))
        return _list_local(usable, context) or usable

    def _are_full(self, members: list[ServerView]) -> bool:
        """Tell whether fresh reports of as many servers as are probed show no slot."""
        fresh = self._list_fresh(members)
        probed = min(len(members), PROBE_ROUNDS * self._count)
        return bool(fresh) and len(fresh) >= probed and not self._list_free(fresh)

    def _list_fresh(self, views: list[ServerView]) -> list[ServerView]:
        return [view for view in views if self._on_demand_probes.has_fresh_report(view)]

    def _list_free(self, views: list[ServerView]) -> list[ServerView]:
        return [view for view in views if self._on_demand_probes.has_free_slot(view)]

    def _may_have_free_slot(self, views: list[ServerView]) -> bool:
        """Tell whether a fresh report shows a free slot on one of the servers."""
        return bool(self._list_free(self._list_fresh(views)))

    def _prefer_healthy(self, views: list[ServerView]) -> list[ServerView]:
        """Leave out failing servers, which may seem idle, unless all are failing."""
        now = self._timers.now()
        return [view for view in views if not view.is_failing(now)] or views

    async def _probe_members(
        self, members: list[ServerView], context: SelectionContext
    ) -> bool:
        lightly_loaded = [
            view for view in members if self._on_demand_probes.is_lightly_loaded(view)
        ]
        if lightly_loaded or not members:
            return bool(lightly_loaded)
        scored = sorted(
            (self._score_for_probe(view, context), index)
            for index, view in enumerate(members)
        )
        ordered = [members[index] for _, index in scored]
        for first in range(0, PROBE_ROUNDS * self._count, self._count):
            # If all servers of the first round are busy, those of the next may not be.
            chosen = ordered[first : first + self._count]
            if chosen and await self._on_demand_probes.probe_candidates(chosen):
                return True
        return False

    def _score_for_probe(self, view: ServerView, context: SelectionContext) -> float:
        """Return a randomized score, which spreads probes over similar servers.

        A server that has joined recently is not moved back for its missing connection,
        or it would get no requests while the others are lightly loaded.
        """
        factor = 1 + PROBE_ORDER_JITTER * context.random.random()
        has_joined_recently = view.ramp_weight(context.now) < 1
        if not has_joined_recently and self._on_demand_probes.needs_connection(view):
            factor *= NEW_CONNECTION_FACTOR
        return score(view, context) * factor


def build_saturated_refusal(context: SelectionContext, room_s: float) -> RefusedError:
    """Return the refusal of a request for which no server has a free slot.

    Parameters
    ----------
    context : SelectionContext
        Request and present state of its group.
    room_s : float
        Time until it would have had a slot, in seconds.
    """
    return RefusedError(
        "all backend servers that were probed are full",
        "retry after the stated delay",
        kind="saturated",
        retry_after_s=spread_return(room_s, context.random.random()),
        inputs={"room_s": round(room_s, 3)},
    )


def _list_local(views: list[ServerView], context: SelectionContext) -> list[ServerView]:
    """Return the servers in the gateway's own failure domain."""
    domain = context.failure_domain
    return [view for view in views if view.server.failure_domain == domain]
