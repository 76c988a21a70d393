"""Admission of requests up to the capacity of their group."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.admission._demand import BIN_S, SHORT_WINDOW_BINS, CallerDemand
from geraniumbend.admission._ranked_queue import QueuedRequest, RankedQueue
from geraniumbend.admission._ranking import build_refusal
from geraniumbend.admission._sheet_opens import SheetDecisionCache, shedding_rank
from geraniumbend.admission._threshold import AdmissionThreshold
from geraniumbend.caller_waits import (
    compute_max_wait,
    estimate_wait,
    may_begin_to_wait,
    spread_return,
)
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.admission._ranking import Ranking
    from geraniumbend.routing import Outcome, ServerTable
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

# Limit of requests in flight, as a multiple of this gateway's share of the slots. The
# excess forms short queues on the servers, which keep nearly all slots busy although
# the gateways see only outdated load reports.
IN_FLIGHT_FACTOR = 1.6
SWEEP_PERIOD_S = 0.05
# Reported requests per slot of a group below which a gateway may exceed its share of
# the slots.
SPARE_CAPACITY_UTILIZATION = 0.8
# Share of the capacity that each of many callers may offer before its requests get a
# higher rank, and share of the queue that a caller may hold before its requests are
# queued last. Few callers share the capacity equally.
MAX_CALLER_SHARE = 0.0625
# Rank in the queue of requests that belong to no sheet open. Among them, the order of
# arrival decides.
ARRIVAL_RANK = 0.5
# Shortest delay in seconds of a caller that is refused because demand exceeds capacity.
# A change of the demand is not seen sooner.
MIN_RETURN_S = SHORT_WINDOW_BINS * BIN_S
# Identities of callers that are remembered of one connection, until it ends.
MAX_REMEMBERED_CALLERS = 8
# The level is infinite while there is no demand, which JSON cannot express.
MAX_LOGGED_LEVEL = 1000.0
# Requests of a class that must have been measured before the threshold may refuse
# requests of that class.
MIN_COST_SAMPLES = 10

declare_event(
    400,
    "admission_started",
    "warning",
    "Demand exceeds the capacity of a group; requests above the threshold are refused.",
)
declare_event(
    401, "admission_ended", "info", "Demand of a group is below its capacity again."
)


class SharePort(Protocol):
    """Provides this gateway's shares of capacity and demand."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...

    def demand_share(self, group: str) -> float:
        """Return this gateway's share of the demand."""
        ...

    def record_demand(self, group: str, amount: float) -> None:
        """Record offered work, in seconds of service time."""
        ...


class AdmissionRequest(NamedTuple):
    """A request that asks to be admitted.

    Parameters
    ----------
    group : str
        Name of the group.
    request_class : str
        Class of the request.
    sheet : str
        Identifier of the sheet open; empty when the request belongs to none.
    caller : str
        Identity of the caller.
    deadline : float
        Time of the timer service by which the response must be complete.
    rank : int, default=0
        Priority under overload; lower numbers are served first.
    tenant : str, default=""
        Name of the caller's tenant; empty without one.
    connection : int, default=0
        Number of the caller's connection; 0 if it is not known.
    """

    group: str
    request_class: str
    sheet: str
    caller: str
    deadline: float
    rank: int = 0
    tenant: str = ""
    connection: int = 0


class Ticket:
    """Permission to run one request; the holder releases it when the request ends."""

    def __init__(self, admission: Admission, pool: _PoolState) -> None:
        self._admission = admission
        self._pool: _PoolState | None = pool

    def observe_refusal(self) -> None:
        """Record that the request found no slot in its caller's time."""
        if self._pool is not None:
            self._admission._observe_refusal(self._pool)

    def release(self, outcome: Outcome | None = None) -> None:
        """Free the slot for the next request; further calls have no effect."""
        pool, self._pool = self._pool, None
        if pool is not None:
            self._admission._release_slot(pool)


class _PoolState:
    """Admission state of the long or the short pool of a group."""

    def __init__(self, group: str, long: bool) -> None:
        self.group = group
        self.long = long
        self.running = 0
        self.limit = 1
        self.slots = 1.0
        # Slots that may work on the requests of this gateway.
        self.usable_slots = 1.0
        # Reading of the clock since which all slots are busy.
        self.busy_since = 0.0
        # Whether a request found no slot in its caller's time, until there is room.
        self.is_short = False
        self.caller_share = 1.0
        self.share = 0.0
        self.utilization = 0.0
        self.updated_at = 0.0
        self.threshold = AdmissionThreshold()
        self.callers = CallerDemand()
        self.queue = RankedQueue()
        self.shedding = False
        self.refused = 0
        self.admitted = 0

    def list_inputs(self, now: float) -> dict[str, float]:
        """Return what the limits were computed from, for the log of a refusal."""
        return {
            "share": round(self.share, 4),
            "caller_share": round(self.caller_share, 4),
            "slots": round(self.slots, 2),
            "level": round(min(self.threshold.value_for(""), MAX_LOGGED_LEVEL), 3),
            "utilization": round(self.utilization, 3),
            "inputs_age_s": round(now - self.updated_at, 3),
        }


class Admission:
    """Admits requests up to the capacity of their group.

    The long and the short pool of a group have separate limits, thresholds and queues.

    Parameters
    ----------
    table : ServerTable
        Slots, pools and learned costs of the groups.
    shares : SharePort
        This gateway's share of the demand.
    timers : TimerService
        Clock.
    queue_limit : int, default=512
        Maximum number of queued requests per pool of a group.
    seed : int or None, default=None
        Seed of the random ranks of requests that belong to no sheet open.
    """

    def __init__(
        self,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
        queue_limit: int = 512,
        seed: int | None = None,
    ) -> None:
        self._table = table
        self._shares = shares
        self._timers = timers
        self._queue_limit = queue_limit
        self._sheet_decisions = SheetDecisionCache()
        self._pools: dict[tuple[str, bool], _PoolState] = {}
        # Pools that open connections asked for requests of, with their callers.
        self._connections: dict[int, set[tuple[_PoolState, str]]] = {}
        self._random = random.Random(seed)
        self._sweep_timer: Subscription | None = None
        self._ranking: Ranking | None = None

    def set_ranking(self, ranking: Ranking | None) -> None:
        """Decide by rank and tenant; None decides by demand and sheet open."""
        self._ranking = ranking

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
    ) -> Admission:
        """Create the admission control of a gateway from its settings."""
        return cls(table, shares, timers, settings.gateway.queue_limit)

    async def admit(self, request: AdmissionRequest) -> Ticket:
        """Wait until a request may run.

        Parameters
        ----------
        request : AdmissionRequest
            Request to admit.

        Returns
        -------
        Ticket
            Permission to run; the caller releases it when the request has ended.

        Raises
        ------
        RefusedError
            If the rank of the request is above the admission threshold, the queue is
            full, or the request cannot finish before its deadline. It was not run.
        """
        pool = self._find_pool(request)
        now = self._timers.now()
        service_s = self._table.costs.mean_s(request.group, request.request_class, 0.0)
        if self._ranking is None:
            rank = self._rank_or_refuse(pool, request, service_s, now)
        else:
            rank = self._decide_by_rank(self._ranking, pool, request, service_s, now)
        if now + service_s > request.deadline:
            raise self._refuse(pool, "too little time is left before the deadline")
        if pool.running < pool.limit and not len(pool.queue):
            self._take_slot(pool, now)
            pool.admitted += 1
            pool.threshold.observe_wait(0.0, 1.0)
            return Ticket(self, pool)
        await self._wait_in_queue(pool, request, rank, service_s, now)
        pool.admitted += 1
        return Ticket(self, pool)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state of all pools, keyed by ``group/long`` or ``group/short``."""
        return {
            f"{pool.group}/{'long' if pool.long else 'short'}": {
                "running": pool.running,
                "limit": pool.limit,
                "queued": len(pool.queue),
                "level": pool.threshold.value,
                "correction": pool.threshold.correction,
                "admitted": pool.admitted,
                "refused": pool.refused,
            }
            for pool in self._pools.values()
        }

    def forget_connection(self, connection: int) -> None:
        """Forget what a caller's connection that has ended asked for."""
        for pool, caller in self._connections.pop(connection, ()):
            pool.callers.forget_connection(caller, connection)

    def _note_connection(self, pool: _PoolState, request: AdmissionRequest) -> None:
        if not request.connection:
            return
        asked = self._connections.setdefault(request.connection, set())
        if len(asked) < MAX_REMEMBERED_CALLERS:
            asked.add((pool, request.caller))

    def _find_pool(self, request: AdmissionRequest) -> _PoolState:
        long = self._table.costs.is_long(request.group, request.request_class)
        pool = self._pools.get((request.group, long))
        if pool is None:
            pool = self._pools[(request.group, long)] = _PoolState(request.group, long)
        return pool

    def _rank_or_refuse(
        self, pool: _PoolState, request: AdmissionRequest, service_s: float, now: float
    ) -> float:
        """Record the demand of a request and return its effective rank.

        Raises
        ------
        RefusedError
            If the rank is above the admission threshold.
        """
        if pool.threshold.is_due(now):
            self._update_limits(pool, now)
        slots = pool.slots
        threshold = pool.threshold.value_for(request.sheet)
        caller_limit = pool.caller_share * max(slots, 1e-9)
        offered = pool.callers.record(
            request.caller, service_s, caller_limit, now, request.connection
        )
        self._note_connection(pool, request)
        self._shares.record_demand(request.group, service_s)
        pool.threshold.demand.record(offered.counted_s, now)
        sheet = request.sheet
        rank = shedding_rank(sheet) if sheet else ARRIVAL_RANK
        draw = rank if sheet else self._random.random()
        excess = offered.rate / caller_limit
        if excess > 1:
            weight = _weigh_connection(excess, offered.connection_share)
            rank, draw = weight * rank, weight * draw
        cost = self._table.costs.cost(request.group, request.request_class)
        if cost is None or cost.count < MIN_COST_SAMPLES:
            return rank
        recorded = self._sheet_decisions.find(pool.group, sheet, now) if sheet else None
        admitted = draw <= threshold if recorded is None else recorded
        # A sheet is refused as a whole as soon as demand exceeds the capacity. Other
        # requests wait while they find slots in their callers' time, unless their
        # caller asks for more than its share or they would wait at the servers.
        may_wait = not (sheet or pool.is_short or excess > 1)
        if may_wait and draw <= pool.threshold.utilization_cap:
            admitted = True
        return_s = 0.0 if admitted else self._estimate_return(pool)
        if sheet and recorded is None:
            self._sheet_decisions.record(pool.group, sheet, admitted, now, return_s)
        if not admitted:
            cause = "demand exceeds the capacity of the group"
            raise self._refuse(pool, cause, return_s)
        max_queued = max(8, int(self._queue_limit * MAX_CALLER_SHARE))
        exceeds_queue_share = pool.queue.count_caller(request.caller) >= max_queued
        asks_for_little = excess > 1 and offered.connection_share < 1
        return rank + 1 if exceeds_queue_share and not asks_for_little else rank

    def _decide_by_rank(
        self,
        ranking: Ranking,
        pool: _PoolState,
        request: AdmissionRequest,
        service_s: float,
        now: float,
    ) -> float:
        """Record the demand of a request and return its rank in the queue.

        Raises
        ------
        RefusedError
            If its rank or tenant has no share of the capacity left.
        """
        if pool.threshold.is_due(now):
            self._update_limits(pool, now)
        self._shares.record_demand(request.group, service_s)
        decision = ranking.decide(request, service_s)
        if decision.action == "refuse":
            pool.refused += 1
            raise build_refusal(request, decision, pool.list_inputs(now))
        # Requests of one rank whose tenants are cut back the most are queued last.
        return request.rank + 0.5 * (1.0 - decision.share)

    def _update_limits(self, pool: _PoolState, now: float) -> None:
        utilization = self._table.utilization(pool.group)
        pool.utilization = utilization
        pool.updated_at = now
        pool.slots = self._own_slots(pool, utilization)
        active = pool.callers.count_active(now)
        pool.caller_share = max(MAX_CALLER_SHARE, 1 / max(1, active))
        pool.limit = max(1, math.ceil(pool.slots * IN_FLIGHT_FACTOR))
        pool.usable_slots = max(1.0, pool.slots)
        if 0 < utilization < SPARE_CAPACITY_UTILIZATION:
            # Callers are spread unevenly over gateways, and shares adapt only after
            # seconds. While servers report spare capacity, no request has to wait.
            pool.limit = max(pool.limit, self._table.slots(pool.group))
            pool.usable_slots = max(pool.slots, self._table.slots(pool.group))
        if self._ranking is not None:
            # Gate and line decide who runs. They know rank and tenant, which the share
            # of this gateway does not.
            pool.limit = max(pool.limit, self._table.slots(pool.group))
        robust_utilization = self._table.robust_utilization(pool.group)
        threshold = pool.threshold.update(
            pool.slots, utilization, pool.running, now, robust_utilization
        )
        threshold = min(threshold, pool.threshold.value_for(""))
        shedding = threshold < 1 if not pool.shedding else threshold < 1.1
        pool.is_short = pool.is_short and shedding
        if shedding != pool.shedding:
            pool.shedding = shedding
            log_event(
                400 if shedding else 401,
                group=pool.group,
                long=pool.long,
                level=round(threshold, 3),
                guard=round(pool.threshold.utilization_cap, 3),
                utilization=round(utilization, 3),
                crowding=round(robust_utilization, 3),
                slots=round(pool.slots, 2),
            )

    def _own_slots(self, pool: _PoolState, utilization: float) -> float:
        """Return this gateway's share of the slots of a pool.

        The share of the demand follows seconds after callers have moved here. Until the
        servers report that they are busy, the gateway may use at least an equal share.
        """
        share = self._shares.demand_share(pool.group)
        if utilization < SPARE_CAPACITY_UTILIZATION:
            share = max(share, self._shares.gateway_share())
        pool.share = share
        pools = self._table.pools.pools(pool.group)
        if not pool.long:
            slots = sum(view.slots for view in pools.short)
        elif pools.long:
            slots = sum(view.slots for view in pools.long)
        else:
            # A group without a long pool lets long requests use half of its slots.
            slots = max(1, self._table.slots(pool.group) // 2)
        return slots * share

    async def _wait_in_queue(
        self,
        pool: _PoolState,
        request: AdmissionRequest,
        rank: float,
        service_s: float,
        now: float,
    ) -> None:
        work_s = pool.queue.sum_work_before(rank) + service_s
        work_s += self._sum_waiting(pool, service_s)
        busy_s = now - pool.busy_since
        wait_s = estimate_wait(work_s, pool.usable_slots, service_s, busy_s)
        response_s = self._table.costs.response_s(request.group, request.request_class)
        max_wait_s = compute_max_wait(request.deadline - now, response_s)
        if not may_begin_to_wait(wait_s, max_wait_s):
            self._observe_refusal(pool)
            cause = "the queue is too long for the deadline"
            raise self._refuse(pool, cause)
        entry = QueuedRequest(
            rank,
            pool.queue.next_sequence_number(),
            request.caller,
            request.deadline,
            now,
            service_s,
            response_s,
            asyncio.get_running_loop().create_future(),
        )
        pool.queue.add(entry)
        if len(pool.queue) > self._queue_limit:
            self._drop(pool, pool.queue.pop_last(), "the queue is full")
        if self._sweep_timer is None:
            self._sweep_timer = self._timers.after(SWEEP_PERIOD_S, self._sweep)
        try:
            await entry.grant
        except asyncio.CancelledError:
            if entry.grant.done() and not entry.grant.cancelled():
                if entry.grant.exception() is None:
                    self._release_slot(pool)
            else:
                pool.queue.remove(entry)
            raise

    def _observe_refusal(self, pool: _PoolState) -> None:
        pool.is_short = True
        if self._ranking is not None:
            self._ranking.observe_refusal(pool.group)

    def _release_slot(self, pool: _PoolState) -> None:
        pool.running -= 1
        pool.busy_since = self._timers.now()
        self._dispatch(pool)

    @staticmethod
    def _take_slot(pool: _PoolState, now: float) -> None:
        pool.running += 1
        if pool.running == pool.limit:
            pool.busy_since = now

    def _dispatch(self, pool: _PoolState) -> None:
        now = self._timers.now()
        while pool.running < pool.limit and len(pool.queue):
            entry = pool.queue.pop_first()
            allowed_s = entry.deadline - entry.queued_at - entry.service_s
            pool.threshold.observe_wait(now - entry.queued_at, allowed_s)
            if entry.compute_max_wait(now) <= 0:
                self._drop(pool, entry, "too little time is left before the deadline")
            elif not entry.grant.done():
                pool.running += 1
                entry.grant.set_result(None)

    def _sweep(self) -> None:
        now = self._timers.now()
        for pool in self._pools.values():
            waiting_s = self._sum_waiting(pool, pool.queue.mean_service_s())
            busy_s = now - pool.busy_since
            hopeless = pool.queue.pop_hopeless(
                now, pool.usable_slots, waiting_s, busy_s
            )
            for entry in hopeless:
                self._observe_refusal(pool)
                pool.threshold.observe_wait(1.0, 1.0)
                self._drop(pool, entry, "too little time is left before the deadline")
            if pool.threshold.is_due(now):
                self._update_limits(pool, now)
            self._dispatch(pool)
        self._sweep_timer = None
        if any(len(pool.queue) for pool in self._pools.values()):
            self._sweep_timer = self._timers.after(SWEEP_PERIOD_S, self._sweep)

    def _drop(self, pool: _PoolState, entry: QueuedRequest, cause: str) -> None:
        if not entry.grant.done():
            entry.grant.set_exception(self._refuse(pool, cause))

    @staticmethod
    def _sum_waiting(pool: _PoolState, service_s: float) -> float:
        """Return the work of admitted requests that wait for a slot, in seconds."""
        return max(0.0, pool.running - pool.usable_slots) * service_s

    def _estimate_return(self, pool: _PoolState) -> float:
        """Return the time until a new request is likely to be admitted, in seconds."""
        service_s = pool.queue.mean_service_s()
        work_s = self._sum_waiting(pool, service_s) + pool.queue.sum_work()
        return max(MIN_RETURN_S, estimate_wait(work_s, pool.usable_slots))

    def _refuse(
        self, pool: _PoolState, cause: str, return_s: float | None = None
    ) -> RefusedError:
        pool.refused += 1
        if return_s is None:
            return_s = self._estimate_return(pool)
        return RefusedError(
            f"request to group {pool.group!r} refused: {cause}",
            "retry after the stated delay",
            retry_after_s=spread_return(return_s, self._random.random()),
            inputs=pool.list_inputs(self._timers.now()),
        )


def _weigh_connection(excess: float, share: float) -> float:
    """Return the factor of the ranks of one connection of a caller above its share.

    Connections that ask for as much as the others of the caller are cut back by its
    excess, and those that ask for more by more. Those that ask for little keep their
    ranks or get lower ones, so that callers behind one address are not cut back alike.

    Parameters
    ----------
    excess : float
        Offered work of the caller as a multiple of its share, above 1.
    share : float
        Offered work of the connection as a multiple of an equal part of the caller's.
    """
    return float(share * excess ** min(1.0, share))
