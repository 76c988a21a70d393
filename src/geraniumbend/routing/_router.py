"""Choice of a backend server for each attempt."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.caller_waits import estimate_wait
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.routing._free_slot_finder import FreeSlotFinder, SlotSearch
from geraniumbend.routing._hanging_servers import HangingServers
from geraniumbend.routing._limited_servers import LimitedServers
from geraniumbend.routing._policies import (
    Policy,
    SelectionContext,
    add_jitter,
    policies,
    score,
)
from geraniumbend.routing._server_views import Outcome
from geraniumbend.routing._slot_line import SlotTurn
from geraniumbend.routing._subsets import choose_subset, count_subset
from geraniumbend.routing._trial_requests import TrialRequests

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from geraniumbend.model import BackendServer
    from geraniumbend.routing._limited_servers import LimitsPort
    from geraniumbend.routing._load_reports import LoadReport
    from geraniumbend.routing._on_demand_probes import OnDemandProbes
    from geraniumbend.routing._server_table import ServerTable
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# A short request goes to a server of the long pool only when the score there is this
# many times lower, because a long request may queue behind it on the same server.
SPILL_FACTOR = 4.0
# Mean response length above which requests of a class prefer servers in the gateway's
# own failure domain.
LARGE_RESPONSE_BYTES = 32 * 1024

declare_event(
    302,
    "server_gone",
    "info",
    "A different backend server responded at this server's address.",
)
declare_event(
    303,
    "server_full",
    "info",
    "A backend server reset a connection while it was full.",
)


class SharePort(Protocol):
    """Share of this gateway in the budgets that all gateways have in common."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class _Subset(NamedTuple):
    members: list[ServerView]
    views: list[ServerView]


class Router:
    """Chooses backend servers and updates their statistics from each response.

    Parameters
    ----------
    table : ServerTable
        Members of the groups.
    shares : SharePort
        This gateway's share of common budgets.
    timers : TimerService
        Clock.
    node : str, default=""
        Name of this gateway.
    failure_domain : str, default=""
        Failure domain of this gateway.
    seed : int or None, default=None
        Seed of the random sampling; None for an unpredictable one.
    on_demand_probes : OnDemandProbes or None, default=None
        Probes servers for their load before a request is sent; None turns on-demand
        probes off.
    look_candidates : int, default=0
        Servers probed at the same time; 0 turns on-demand probes off.
    limits : ServerLimits or None, default=None
        Limits that servers name; None if they name none.
    servers_may_hang : bool, default=False
        Whether servers may hang in place of refusing requests.
    announce_full : callable or None, default=None
        Tells the other gateways that a server is full.
    """

    def __init__(
        self,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
        node: str = "",
        failure_domain: str = "",
        seed: int | None = None,
        on_demand_probes: OnDemandProbes | None = None,
        look_candidates: int = 0,
        limits: LimitsPort | None = None,
        servers_may_hang: bool = False,
        announce_full: Callable[[BackendServer], None] | None = None,
    ) -> None:
        self.hanging = HangingServers(timers, servers_may_hang, announce_full)
        self._limited = LimitedServers(limits)
        self._free_slot_finder = None
        if on_demand_probes is not None and look_candidates:
            self._free_slot_finder = FreeSlotFinder(
                on_demand_probes,
                look_candidates,
                timers,
                random.Random(seed) if servers_may_hang else None,
            )
        self._table = table
        self._shares = shares
        self._timers = timers
        self._node = node
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._policies: dict[tuple[str, str], Policy] = {}
        self._subsets: dict[str, _Subset] = {}
        self._trial_requests = TrialRequests()
        self._withheld = 0

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
        on_demand_probes: OnDemandProbes | None = None,
        limits: LimitsPort | None = None,
        announce_full: Callable[[BackendServer], None] | None = None,
    ) -> Router:
        """Build the router of a gateway from its settings."""
        node = settings.node
        return cls(
            table,
            shares,
            timers,
            node.name,
            node.failure_domain,
            on_demand_probes=on_demand_probes,
            look_candidates=settings.gateway.look_candidates,
            limits=limits,
            servers_may_hang=settings.gateway.servers_may_hang,
            announce_full=announce_full,
        )

    async def probe_candidates(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        max_wait_s: float = 0.0,
        turn: SlotTurn | None = None,
    ) -> bool:
        """Probe some servers, so that `choose` has fresh load reports.

        Parameters
        ----------
        group : str
            Name of the group.
        request_class : str
            Class of the request.
        excluded : collection of str
            Ids of servers already tried.
        deadline_s : float
            Time left for the response, in seconds.
        max_wait_s : float, default=0.0
            Longest wait for a server with a free slot, in seconds. Servers slow down
            when all of their slots are busy, so an overload ends sooner when requests
            wait in the gateway than when they queue on the servers.
        turn : SlotTurn or None, default=None
            Place of the request among those that wait for a slot; by its arrival now
            when None.

        Returns
        -------
        bool
            Whether a lightly loaded server was found; True when on-demand probes are
            off.

        Raises
        ------
        RefusedError
            If all servers ask for time during the wait, or if the request will have no
            slot in time.
        """
        if self._table.asked.are_any() and not self._table.available(group):
            return False
        if self._limited.are_any():
            known = self._list_known(group, excluded)
            await self._limited.request_permits(known, self._timers.now())
            context = self._build_context(group, request_class, deadline_s)
            if self._limited.list_permitted(known, context):
                return True
            unlimited = self._limited.exclude_limited(known)
            if not unlimited or self._limited.needs_cold(known, context):
                # No probe tells more than the permits at hand.
                return False
        if self._free_slot_finder is None:
            return True

        def list_members() -> list[ServerView]:
            known = self._list_known(group, excluded)
            if not known and max_wait_s > 0:
                # All servers may have asked for time during the wait.
                self.check_asked_time(group)
            # A probe would count as a request at a limited server.
            return self._limited.exclude_limited(
                self._table.asked.thin(known, self._random)
            )

        def build_context() -> SelectionContext:
            return self._build_context(group, request_class, deadline_s)

        if turn is None and max_wait_s > 0:
            turn = SlotTurn(0, 0.0, self._timers.now())
        search = SlotSearch(
            group,
            list_members,
            build_context,
            lambda: self._count_slots(group),
            lambda: self.estimate_room_s(group, request_class),
            self.estimate_service_s(group, request_class),
            turn,
            max_wait_s,
        )
        return await self._free_slot_finder.find(search)

    def choose(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        trial: bool = True,
    ) -> ServerView:
        """Choose a backend server for a request.

        Parameters
        ----------
        group : str
            Name of the group.
        request_class : str
            Class of the request.
        excluded : collection of str
            Ids of servers already tried.
        deadline_s : float
            Time left for the response, in seconds.
        trial : bool, default=True
            Whether the request may be sent to an avoided server as a trial request.
            False for requests that must not be retried.

        Returns
        -------
        ServerView
            Server to send the request to.

        Raises
        ------
        RefusedError
            If every member of the group is draining, evacuated, was tried already, has
            asked for time or lost its address to another server; or if all probed
            servers are full.
        """
        members = self._list_candidates(group, excluded)
        if not members:
            self._limited.check_blocked(group, self._list_known(group, excluded))
            self.check_asked_time(group)
            raise RefusedError(
                f"group {group!r} has no backend server left to try",
                "retry later; the operator checks the group's selector and servers",
                kind="no_backend_server",
                retry_after_s=1.0,
            )
        members = self._table.asked.thin(members, self._random)
        members = self.hanging.list_with_room(members, trial)
        if len(members) == 1:
            return members[0]
        context = self._build_context(group, request_class, deadline_s)

        def estimate_room() -> float:
            return self.estimate_room_s(group, request_class)

        permitted = self._limited.list_permitted(members, context)
        if permitted:
            return min(permitted, key=lambda view: score(view, context))
        members = self._limited.prefer_warm(members, context)
        policy = self._get_policy(group)
        if not policy.uses_scores:
            return policy.choose(members, context)
        if trial and not excluded:
            due = self._trial_requests.find_due(group, members, context)
            if due is not None:
                return due
        if self._free_slot_finder is not None:
            usable = self._free_slot_finder.list_usable(members, context, estimate_room)
            if usable:
                return min(
                    usable, key=lambda view: add_jitter(score(view, context), context)
                )
            members = self.hanging.exclude_busy(members, context, estimate_room)
        members = self._list_local(group, request_class, members) or members
        return self._choose_from_pools(group, members, context, policy)

    def estimate_service_s(self, group: str, request_class: str) -> float:
        """Return the mean service time of a request class, in seconds."""
        return self._table.costs.mean_s(group, request_class, 0.0)

    def estimate_response_s(self, group: str, request_class: str) -> float:
        """Return the time within which most responses are complete, in seconds."""
        return self._table.costs.response_s(group, request_class)

    def estimate_room_s(self, group: str, request_class: str) -> float:
        """Return the time until a new request would have a slot, in seconds."""
        service_s = self._table.costs.mean_s(group, request_class)
        slots = self._count_slots(group)
        if self._free_slot_finder is None:
            return estimate_wait(service_s, slots)
        return self._free_slot_finder.estimate_room(group, service_s, slots)

    def _count_slots(self, group: str) -> float:
        """Return how many slots of a group serve the requests of this gateway.

        These are its share of all slots, or those that it holds if they are more.
        """
        held = sum(view.in_flight for view in self._table.available(group))
        return max(held, self._shares.gateway_share() * self._table.slots(group))

    def start_request(self, view: ServerView, request_class: str) -> None:
        """Count a request as in flight on a server."""
        view.start(request_class, self._timers.now())

    def finish_request(
        self, view: ServerView, request_class: str, outcome: Outcome
    ) -> None:
        """Update the statistics with the outcome of a request.

        Parameters
        ----------
        view : ServerView
            Server that the request was sent to.
        request_class : str
            Class of the request.
        outcome : Outcome
            Status, latency and size of the response, or the failure.
        """
        now = self._timers.now()
        if (
            outcome.not_run
            and outcome.status
            and (view.resting or self._limited.is_limited(view))
        ):
            # A server that keeps its own limit by refusals is not a failing one.
            outcome = Outcome(latency_s=outcome.latency_s)
        view.finish(request_class, outcome, now)
        if outcome.not_run or (outcome.status == 0 and not outcome.failed):
            return
        failed = outcome.failed or outcome.status >= 500
        if not failed:
            queueing = view.measure_queueing(now)
            for group in view.groups:
                self._table.costs.observe(
                    group, request_class, outcome.latency_s, queueing
                )
                if outcome.response_bytes:
                    self._table.costs.observe_size(
                        group, request_class, outcome.response_bytes
                    )
        self._trial_requests.record_result(view, failed)

    def observe_report(self, view: ServerView, report: LoadReport) -> None:
        """Record the load report of a response.

        Must be called before `finish_request` of the same request, because the report
        is compared with the requests in flight at that time.
        """
        view.observe_report(report, self._timers.now(), response=True)

    def observe_leaving(self, view: ServerView) -> None:
        """Record that a server states in a response that it leaves.

        It gets no more requests until it announces a newer incarnation, or announces
        later that it is ready.
        """
        self._table.observe_leaving(view.server)

    def observe_retry_after(
        self, view: ServerView, delay_s: float, kind: str = "seconds"
    ) -> None:
        """Record that a server asks this gateway to send it nothing for a time.

        Parameters
        ----------
        view : ServerView
            Server.
        delay_s : float
            Time in seconds; see `AskedTimes.observe`.
        kind : str, default="seconds"
            Kind of the value, for the counter.
        """
        draw = self._random.random()
        self._table.observe_asked_time(view.server, delay_s, kind, draw)

    def find_return_delay(self, group: str) -> float | None:
        """Return when callers are served if all servers of a group asked for time.

        Returns
        -------
        float or None
            Seconds; None if a server is usable or none has asked for time.
        """
        asked = self._table.asked
        if not asked.are_any() or self._table.available(group):
            return None
        views = [v for v in self._table.views(group) if not self._table.is_evacuated(v)]
        return asked.find_delay(views, self._random)

    def check_asked_time(self, group: str) -> None:
        """Refuse a request at once if all servers of its group have asked for time.

        Raises
        ------
        RefusedError
            With the time after which it is served.
        """
        delay_s = self.find_return_delay(group)
        if delay_s is not None:
            raise self._table.asked.build_refusal(group, delay_s)

    def is_full(self, view: ServerView) -> bool:
        """Tell whether a server has more requests than slots by its last report."""
        return view.is_full(self._timers.now())

    def accepts_requests(self, view: ServerView) -> bool:
        """Tell whether a server may still get requests.

        A request is written some time after its server was chosen. The server may have
        begun to leave since then, or its failure domain may have been evacuated.
        """
        if self._table.view(view.server_id) is not view:
            return False
        if view.draining or view.address_reused:
            self._table.leaving.withheld += view.leaving
            self._table.asked.withheld += view.resting
            return False
        if self._table.is_evacuated(view):
            self._withheld += 1
            return False
        return True

    def count_withheld(self) -> dict[tuple[str, ...], float]:
        """Return how many writes to evacuated servers were withheld, for a gauge."""
        return {(): float(self._withheld)}

    def has_alternative(self, group: str, excluded: Collection[str]) -> bool:
        """Tell whether a group has servers besides the excluded ones."""
        return bool(self._list_candidates(group, excluded))

    def report_full(self, view: ServerView) -> None:
        """Use a server only when no other is left until it reports free slots.

        Its error rate stays as it is, since a full server is not a failing one.
        """
        view.observe_full(self._timers.now())
        log_event(303, server=view.server_id)

    def may_hang(self, view: ServerView) -> bool:
        """Tell whether a server may have no room; see `HangingServers.may_hang`."""
        return self.hanging.may_hang(view)

    def report_hanging(self, view: ServerView, waited_s: float) -> None:
        """Count a server as full that sent no byte; see `HangingServers.report`."""
        self.hanging.report(view, waited_s)

    def report_address_reused(self, view: ServerView) -> None:
        """Exclude a server whose address is now used by another server.

        The exclusion ends when the server announces another incarnation, or is
        announced again after it was deregistered.
        """
        view.address_reused = True
        log_event(302, server=view.server_id)

    def _list_candidates(
        self, group: str, excluded: Collection[str]
    ) -> list[ServerView]:
        """Return the servers that may get a request now."""
        return self._limited.exclude_blocked(self._list_known(group, excluded))

    def _list_known(self, group: str, excluded: Collection[str]) -> list[ServerView]:
        return [
            view
            for view in self._list_subset(group)
            if view.server_id not in excluded and not view.address_reused
        ]

    def _list_local(
        self, group: str, request_class: str, members: list[ServerView]
    ) -> list[ServerView]:
        """Return the preferred local servers of a request with a large response.

        Bandwidth between failure domains is scarce, so large responses should come
        from the gateway's own failure domain while a server there has a free slot and
        is not failing. The list is empty for requests with small responses.
        """
        cost = self._table.costs.cost(group, request_class)
        if cost is None or cost.response_bytes < LARGE_RESPONSE_BYTES:
            return []
        now = self._timers.now()
        return [
            view
            for view in members
            if view.server.failure_domain == self._failure_domain
            and view.estimate_in_flight(now) < view.slots
            and not view.is_failing(now)
        ]

    def _list_subset(self, group: str) -> list[ServerView]:
        members = self._table.available(group)
        size = count_subset(len(members), self._shares.gateway_share())
        if size == len(members):
            return members
        cached = self._subsets.get(group)
        # The table replaces the list of a group whenever a member changes.
        if cached is None or cached.members is not members or len(cached.views) != size:
            views = choose_subset(
                self._node, group, members, size, self._failure_domain
            )
            cached = self._subsets[group] = _Subset(members, views)
        return cached.views

    def _get_policy(self, group: str) -> Policy:
        configuration = self._table.configuration
        configured = configuration.groups.get(group) if configuration else None
        key = (group, configured.policy if configured else "default")
        if key not in self._policies:
            self._policies[key] = policies.get(key[1])()
        return self._policies[key]

    def _build_context(
        self, group: str, request_class: str, deadline_s: float
    ) -> SelectionContext:
        cost = self._table.costs.cost(group, request_class)
        return SelectionContext(
            request_class=request_class,
            deadline_s=deadline_s,
            now=self._timers.now(),
            mean_s=cost.mean_s if cost else 0.1,
            tail_s=1.5 * cost.tail_s if cost else 1.0,
            utilization=self._table.median_utilization(group),
            failure_domain=self._failure_domain,
            random=self._random,
            slowdown=self._table.mean_slowdown(group),
        )

    def _choose_from_pools(
        self,
        group: str,
        members: list[ServerView],
        context: SelectionContext,
        policy: Policy,
    ) -> ServerView:
        pools = self._table.pools.pools(group)
        if not pools.long:
            return policy.choose(members, context)
        long_ids = {view.server_id for view in pools.long}
        long = [view for view in members if view.server_id in long_ids]
        short = [view for view in members if view.server_id not in long_ids]
        classes = self._table.costs.long_classes(group)
        if context.request_class in classes:
            free = [
                view
                for view in long
                if view.count_in_flight(classes) < max(1, view.slots // 2)
            ]
            return policy.choose(free or long or members, context)
        if not short:
            return policy.choose(members, context)
        best = policy.choose(short, context)
        if long and best.estimate_in_flight(context.now) >= best.slots:
            other = policy.choose(long, context)
            if SPILL_FACTOR * score(other, context) < score(best, context):
                return other
        return best
