from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.admission._demand import CallerDemand
from geraniumbend.admission._levels import AdmissionLevel
from geraniumbend.admission._queues import RankedQueue, Waiting
from geraniumbend.admission._ranks import OpenMemory, rank_open
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.routing import Outcome, ServerTable
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

# Requests in flight may exceed this gateway's part of the slots by this factor. With
# short queues on the servers nearly all slots are busy although the gateways see only
# old loads.
ELASTICITY = 1.6
SWEEP_PERIOD_S = 0.05
# Reported requests per slot of a group below which a gateway may exceed its part.
ROOM_UTILIZATION = 0.8
# One caller may offer this share of the capacity before its opens rank lower, and
# hold this share of the queue before its requests rank last.
CALLER_SHARE = 0.0625
RETRY_AFTER_S = 2.0
# Requests seen of a class before its cost is trusted for refusals.
TRUSTED_COUNT = 10

declare_event(
    400,
    "admission_started",
    "warning",
    "Demand exceeds the capacity of a group; requests above the level are refused.",
)
declare_event(
    401, "admission_ended", "info", "Demand of a group is below its capacity again."
)


class SharePort(Protocol):
    """Share of this gateway in the demand for a group."""

    def demand_share(self, group: str) -> float:
        """Return this gateway's share of the demand."""
        ...

    def record_demand(self, group: str, amount: float) -> None:
        """Count offered work, in seconds."""
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
        Identifier of the open of a sheet; empty when the request belongs to none.
    caller : str
        Identity of the caller.
    deadline : float
        Time of the timer service by which the response must be complete.
    """

    group: str
    request_class: str
    sheet: str
    caller: str
    deadline: float


class Ticket:
    """Permission to run one request; to be released exactly when it has ended."""

    def __init__(self, admission: Admission, lane: _Lane) -> None:
        self._admission = admission
        self._lane: _Lane | None = lane

    def release(self, outcome: Outcome | None = None) -> None:
        """Let the next request run; further calls have no effect."""
        lane, self._lane = self._lane, None
        if lane is not None:
            self._admission._finish(lane)


class _Lane:
    def __init__(self, group: str, long: bool) -> None:
        self.group = group
        self.long = long
        self.running = 0
        self.limit = 1
        self.slots = 1.0
        self.level = AdmissionLevel()
        self.callers = CallerDemand()
        self.queue = RankedQueue()
        self.refusing = False
        self.refused = 0
        self.admitted = 0


class Admission:
    """Admits requests up to the capacity of their group.

    Parameters
    ----------
    table : ServerTable
        Slots, lanes and learned costs.
    shares : SharePort
        This gateway's share of the demand.
    timers : TimerService
        Clock.
    queue_limit : int, default=512
        Requests queued per group at most.
    seed : int or None, default=None
        Seed of the ranks of requests that belong to no sheet.
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
        self._opens = OpenMemory()
        self._lanes: dict[tuple[str, bool], _Lane] = {}
        self._random = random.Random(seed)
        self._sweeping: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
    ) -> Admission:
        """Build the admission of a gateway."""
        return cls(table, shares, timers, settings.gateway.queue_limit)

    async def admit(self, request: AdmissionRequest) -> Ticket:
        """Wait until a request may run.

        Parameters
        ----------
        request : AdmissionRequest
            Request.

        Returns
        -------
        Ticket
            To be released when the request has ended.

        Raises
        ------
        RefusedError
            If the request ranks above the level or cannot finish in time. It was
            not run.
        """
        lane = self._find_lane(request)
        now = self._timers.now()
        service_s = self._table.costs.mean_s(request.group, request.request_class, 0.0)
        rank = self._judge(lane, request, service_s, now)
        if now + service_s > request.deadline:
            raise self._refuse(lane, "too little time is left before the deadline")
        if lane.running < lane.limit and not len(lane.queue):
            lane.running += 1
            lane.admitted += 1
            lane.level.observe_wait(0.0, 1.0)
            return Ticket(self, lane)
        await self._wait(lane, request, rank, service_s, now)
        lane.admitted += 1
        return Ticket(self, lane)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state of all lanes by group."""
        return {
            f"{lane.group}/{'long' if lane.long else 'short'}": {
                "running": lane.running,
                "limit": lane.limit,
                "queued": len(lane.queue),
                "level": lane.level.value,
                "correction": lane.level.correction,
                "admitted": lane.admitted,
                "refused": lane.refused,
            }
            for lane in self._lanes.values()
        }

    def _find_lane(self, request: AdmissionRequest) -> _Lane:
        long = self._table.costs.is_long(request.group, request.request_class)
        lane = self._lanes.get((request.group, long))
        if lane is None:
            lane = self._lanes[(request.group, long)] = _Lane(request.group, long)
        return lane

    def _judge(
        self, lane: _Lane, request: AdmissionRequest, service_s: float, now: float
    ) -> float:
        """Return the effective rank of a request or refuse it."""
        if lane.level.is_due(now):
            self._refresh(lane, now)
        slots = lane.slots
        level = lane.level.choose(request.sheet)
        bound = CALLER_SHARE * max(slots, 1e-9)
        offered, counted_s = lane.callers.record(request.caller, service_s, bound, now)
        self._shares.record_demand(request.group, service_s)
        lane.level.demand.record(counted_s, now)
        sheet = request.sheet
        rank = rank_open(sheet) if sheet else self._random.random()
        rank *= max(1.0, offered / bound)
        known = self._table.costs.cost(request.group, request.request_class)
        if known is None or known.count < TRUSTED_COUNT:
            return rank
        decision = self._opens.recall(lane.group, sheet, now) if sheet else None
        admitted = rank <= level if decision is None else decision
        if sheet and decision is None:
            self._opens.remember(lane.group, sheet, admitted, now)
        if not admitted:
            raise self._refuse(lane, "demand exceeds the capacity of the group")
        places = max(8, int(self._queue_limit * CALLER_SHARE))
        robust_utilization = lane.queue.count_caller(request.caller) >= places
        return rank + 1 if robust_utilization else rank

    def _refresh(self, lane: _Lane, now: float) -> None:
        lane.slots = self._own_slots(lane)
        utilization = self._table.utilization(lane.group)
        lane.limit = max(1, math.ceil(lane.slots * ELASTICITY))
        if 0 < utilization < ROOM_UTILIZATION:
            # Callers are spread unevenly over gateways, and shares follow seconds
            # later; while the servers report room, nobody has to wait for a share.
            lane.limit = max(lane.limit, self._table.slots(lane.group))
        robust_utilization = self._table.robust_utilization(lane.group)
        level = lane.level.update(
            lane.slots, utilization, lane.running, now, robust_utilization
        )
        level = min(level, lane.level.choose(""))
        refusing = level < 1 if not lane.refusing else level < 1.1
        if refusing != lane.refusing:
            lane.refusing = refusing
            log_event(
                400 if refusing else 401,
                group=lane.group,
                long=lane.long,
                level=round(level, 3),
                guard=round(lane.level.guard, 3),
                utilization=round(utilization, 3),
                crowding=round(robust_utilization, 3),
                slots=round(lane.slots, 2),
            )

    def _own_slots(self, lane: _Lane) -> float:
        lanes = self._table.pools.pools(lane.group)
        if not lane.long:
            slots = sum(view.slots for view in lanes.short)
        elif lanes.long:
            slots = sum(view.slots for view in lanes.long)
        else:
            # A group too small for a lane lets long requests hold half of its slots.
            slots = max(1, self._table.slots(lane.group) // 2)
        return slots * self._shares.demand_share(lane.group)

    async def _wait(
        self,
        lane: _Lane,
        request: AdmissionRequest,
        rank: float,
        service_s: float,
        now: float,
    ) -> None:
        wait_s = (lane.queue.count_before(rank) + 1) * service_s / lane.limit
        if now + wait_s + service_s > request.deadline:
            cause = "the queue is too long for the deadline"
            raise self._refuse(lane, cause, wait_s)
        entry = Waiting(
            rank,
            lane.queue.next_number(),
            request.caller,
            request.deadline,
            now,
            service_s,
            asyncio.get_running_loop().create_future(),
        )
        lane.queue.add(entry)
        if len(lane.queue) > self._queue_limit:
            self._drop(lane, lane.queue.pop_last(), "the queue is full")
        if self._sweeping is None:
            self._sweeping = self._timers.after(SWEEP_PERIOD_S, self._sweep)
        try:
            await entry.woken
        except asyncio.CancelledError:
            if entry.woken.done() and not entry.woken.cancelled():
                if entry.woken.exception() is None:
                    self._finish(lane)
            else:
                lane.queue.remove(entry)
            raise

    def _finish(self, lane: _Lane) -> None:
        lane.running -= 1
        self._dispatch(lane)

    def _dispatch(self, lane: _Lane) -> None:
        now = self._timers.now()
        while lane.running < lane.limit and len(lane.queue):
            entry = lane.queue.pop_first()
            allowed_s = entry.deadline - entry.since - entry.service_s
            lane.level.observe_wait(now - entry.since, allowed_s)
            if not entry.can_finish(now):
                self._drop(lane, entry, "too little time is left before the deadline")
            elif not entry.woken.done():
                lane.running += 1
                entry.woken.set_result(None)

    def _sweep(self) -> None:
        now = self._timers.now()
        for lane in self._lanes.values():
            for entry in lane.queue.pop_hopeless(now):
                lane.level.observe_wait(1.0, 1.0)
                self._drop(lane, entry, "too little time is left before the deadline")
            if lane.level.is_due(now):
                self._refresh(lane, now)
            self._dispatch(lane)
        self._sweeping = None
        if any(len(lane.queue) for lane in self._lanes.values()):
            self._sweeping = self._timers.after(SWEEP_PERIOD_S, self._sweep)

    def _drop(self, lane: _Lane, entry: Waiting, cause: str) -> None:
        if not entry.woken.done():
            entry.woken.set_exception(self._refuse(lane, cause))

    def _refuse(
        self, lane: _Lane, cause: str, retry_after_s: float = RETRY_AFTER_S
    ) -> RefusedError:
        lane.refused += 1
        return RefusedError(
            f"request to group {lane.group!r} refused: {cause}",
            "retry after the stated delay",
            retry_after_s=retry_after_s,
        )
