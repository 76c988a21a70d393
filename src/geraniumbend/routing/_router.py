from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.routing._policies import Choice, Policy, policies, score
from geraniumbend.routing._rooms import RoomFinder
from geraniumbend.routing._subsets import SUBSET_SIZE, choose_subset
from geraniumbend.routing._trials import Trials

if TYPE_CHECKING:
    from collections.abc import Collection

    from geraniumbend.routing._on_demand_probes import OnDemandProbes
    from geraniumbend.routing._reports import LoadReport
    from geraniumbend.routing._table import ServerTable
    from geraniumbend.routing._views import Outcome, ServerView
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# Short requests leave their lane for a server of the long lane only when it looks
# this many times better, because a long request may follow it there.
SPILL_FACTOR = 4.0
# Mean length of answers above which a request stays in its failure domain.
LARGE_ANSWER_BYTES = 32 * 1024

declare_event(
    302,
    "server_gone",
    "info",
    "Another backend server answered at the address of this one.",
)


class SharePort(Protocol):
    """Share of this gateway in common budgets."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class Router:
    """Chooses backend servers and learns from their responses.

    Parameters
    ----------
    table : ServerTable
        Members of the groups.
    shares : SharePort
        Share of this gateway.
    timers : TimerService
        Clock.
    node : str, default=""
        Name of this gateway.
    failure_domain : str, default=""
        Failure domain of this gateway.
    seed : int or None, default=None
        Seed of the sampling.
    on_demand_probes : OnDemandProbes or None, default=None
        Asks servers for their load before a request is sent.
    look_candidates : int, default=0
        Servers that are asked.
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
    ) -> None:
        self._rooms = None
        if on_demand_probes is not None and look_candidates:
            self._rooms = RoomFinder(on_demand_probes, look_candidates, timers)
        self._table = table
        self._shares = shares
        self._timers = timers
        self._node = node
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._policies: dict[tuple[str, str], Policy] = {}
        self._subsets: dict[str, tuple[int, float, frozenset[str]]] = {}
        self._trials = Trials()

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
        on_demand_probes: OnDemandProbes | None = None,
    ) -> Router:
        """Build the router of a gateway."""
        node = settings.node
        return cls(
            table,
            shares,
            timers,
            node.name,
            node.failure_domain,
            on_demand_probes=on_demand_probes,
            look_candidates=settings.gateway.look_candidates,
        )

    async def probe_candidates(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        patience_s: float = 0.0,
    ) -> bool:
        """Ask some servers for their load, so that the next choice knows it.

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
        patience_s : float, default=0.0
            Longest wait for a server with room, in seconds. Servers that are filled
            to the last slot slow down, so a crest is passed sooner when requests wait
            here than when they wait there.

        Returns
        -------
        bool
            Whether a server has room on a quiet host; True when none is asked.
        """
        if self._rooms is None:
            return True

        def list_stages() -> list[list[ServerView]]:
            members = self._find_members(group, excluded)
            return [self._list_near(group, request_class, members), members]

        return await self._rooms.find(
            list_stages,
            lambda: self._build_choice(group, request_class, deadline_s),
            patience_s,
        )

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
            Whether the request may serve to try a server that failed before. False
            for requests that must not be repeated.

        Returns
        -------
        ServerView
            Server to send the request to.

        Raises
        ------
        RefusedError
            If the group has no member that takes new work and was not tried.
        """
        members = self._find_members(group, excluded)
        if not members:
            raise RefusedError(
                f"group {group!r} has no backend server left to try",
                "retry later; the operator checks the group's selector and servers",
                kind="no_backend_server",
                retry_after_s=1.0,
            )
        if len(members) == 1:
            return members[0]
        choice = self._build_choice(group, request_class, deadline_s)
        policy = self._policy(group)
        if not policy.ranks_servers:
            return policy.choose(members, choice)
        if trial and not excluded:
            due = self._trials.find(group, members, choice)
            if due is not None:
                return due
        near = self._list_near(group, request_class, members)
        if self._rooms is not None:
            known = self._rooms.list_known(members, choice)
            known = [view for view in known if view in near] or known
            if known:
                return min(known, key=lambda view: score(view, choice))
        members = near or members
        return self._choose_in_lane(group, members, choice, policy)

    def expect_service(self, group: str, request_class: str) -> float:
        """Return the mean time that a request of a class takes, in seconds."""
        return self._table.costs.mean_s(group, request_class, 0.0)

    def start_request(self, view: ServerView, request_class: str) -> None:
        """Count a request that is sent to a server."""
        view.start(request_class, self._timers.now())

    def finish_request(
        self, view: ServerView, request_class: str, outcome: Outcome
    ) -> None:
        """Learn from the end of a request.

        Parameters
        ----------
        view : ServerView
            Server that ran the request.
        request_class : str
            Class of the request.
        outcome : Outcome
            What happened.
        """
        now = self._timers.now()
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
        self._trials.finish(view, failed)

    def observe_report(self, view: ServerView, report: LoadReport) -> None:
        """Take the load report of a response.

        To be called before `finish_request` of the same request.
        """
        view.observe_report(report, self._timers.now(), response=True)

    def report_gone(self, view: ServerView) -> None:
        """Send nothing more to a server whose address another one has.

        A new announcement of the server ends it.
        """
        view.gone = True
        log_event(302, server=view.server_id)

    def _find_members(self, group: str, excluded: Collection[str]) -> list[ServerView]:
        return [
            view
            for view in self._members(group)
            if view.server_id not in excluded and not view.gone
        ]

    def _list_near(
        self, group: str, request_class: str, members: list[ServerView]
    ) -> list[ServerView]:
        """Return members of this failure domain for requests with large answers.

        Bytes between failure domains are scarce, so these go first while one of them
        has room and does not fail; none for other requests.
        """
        cost = self._table.costs.cost(group, request_class)
        if cost is None or cost.response_bytes < LARGE_ANSWER_BYTES:
            return []
        now = self._timers.now()
        return [
            view
            for view in members
            if view.server.failure_domain == self._failure_domain
            and view.estimate_in_flight(now) < view.slots
            and not view.is_failing(now)
        ]

    def _members(self, group: str) -> list[ServerView]:
        members = self._table.available(group)
        if len(members) <= SUBSET_SIZE:
            return members
        share = self._shares.gateway_share()
        known = self._subsets.get(group)
        if known is None or known[:2] != (self._table.version, share):
            subset = choose_subset(self._node, group, members, share)
            names = frozenset(view.server_id for view in subset)
            known = self._subsets[group] = (self._table.version, share, names)
        return [view for view in members if view.server_id in known[2]]

    def _policy(self, group: str) -> Policy:
        configuration = self._table.configuration
        known = configuration.groups.get(group) if configuration else None
        key = (group, known.policy if known else "default")
        if key not in self._policies:
            self._policies[key] = policies.get(key[1])()
        return self._policies[key]

    def _build_choice(
        self, group: str, request_class: str, deadline_s: float
    ) -> Choice:
        cost = self._table.costs.cost(group, request_class)
        return Choice(
            request_class=request_class,
            deadline_s=deadline_s,
            now=self._timers.now(),
            mean_s=cost.mean_s if cost else 0.1,
            tail_s=1.5 * cost.tail_s if cost else 1.0,
            utilization=self._table.typical_utilization(group),
            failure_domain=self._failure_domain,
            random=self._random,
            slowdown=self._table.typical_slowdown(group),
        )

    def _choose_in_lane(
        self, group: str, members: list[ServerView], choice: Choice, policy: Policy
    ) -> ServerView:
        pools = self._table.pools.pools(group)
        if not pools.long:
            return policy.choose(members, choice)
        in_lane = {view.server_id for view in pools.long}
        long = [view for view in members if view.server_id in in_lane]
        short = [view for view in members if view.server_id not in in_lane]
        classes = self._table.costs.long_classes(group)
        if choice.request_class in classes:
            free = [
                view
                for view in long
                if view.count_in_flight(classes) < max(1, view.slots // 2)
            ]
            return policy.choose(free or long or members, choice)
        if not short:
            return policy.choose(members, choice)
        best = policy.choose(short, choice)
        if long and best.estimate_in_flight(choice.now) >= best.slots:
            other = policy.choose(long, choice)
            if SPILL_FACTOR * score(other, choice) < score(best, choice):
                return other
        return best
