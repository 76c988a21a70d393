"""Admission by rank and tenant for all groups of a gateway."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Any

from geraniumbend.admission._demand_exchange import DemandExchange
from geraniumbend.admission._rank_gate import (
    DEMAND_S,
    GateDecision,
    GateInputs,
    GateRequest,
    RankGate,
)
from geraniumbend.admission._ranked_demand import (
    Cell,
    RankedDemand,
    Rates,
    clamp_rank,
    number_group,
    number_tenant,
)
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.routing import MAX_CROWDING, SlotTurn

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.admission._admission import AdmissionRequest, SharePort
    from geraniumbend.admission._demand_exchange import MembershipPort
    from geraniumbend.routing import ServerTable
    from geraniumbend.timers import TimerService

# Time constants of the demand that decides without sums, and of the usual mix of ranks
# of a tenant, in seconds.
USUAL_S = 8.0
MIX_S = 30.0
# Work of a request of a class that was not measured yet, in seconds.
DEFAULT_WORK_S = 0.1
# Age in seconds up to which an own refusal shows that requests find no slot in time.
REFUSAL_AGE_S = 0.3

declare_event(
    402,
    "ranking_started",
    "warning",
    "A group is crowded; requests are admitted by rank and tenant.",
)
declare_event(
    403, "ranking_ended", "info", "A group that was crowded has room for all again."
)


class Ranking:
    """Decides by rank and tenant who is admitted to crowded groups.

    Parameters
    ----------
    table : ServerTable
        Slots and reported load of the groups.
    shares : SharePort
        Number of gateways.
    membership : MembershipPort or None
        Messages between gateways; None decides by own observations only.
    timers : TimerService
        Clock.
    seed : int or None, default=None
        Seed of the random draws.
    is_limited : callable or None, default=None
        Tells by id which servers get requests by rate and not by slots.
    """

    def __init__(
        self,
        table: ServerTable,
        shares: SharePort,
        membership: MembershipPort | None,
        timers: TimerService,
        seed: int | None = None,
        is_limited: Callable[[str], bool] | None = None,
    ) -> None:
        self._is_limited = is_limited
        self._refused_at: dict[str, float] = {}
        self._table = table
        self._shares = shares
        self._timers = timers
        self._random = random.Random(seed)
        self._demand = RankedDemand(DEMAND_S)
        self._usual = RankedDemand(USUAL_S)
        self._mix = RankedDemand(MIX_S)
        self._gates: dict[str, RankGate] = {}
        self._counts: dict[tuple[str, int, str], int] = {}
        self._exchange = None
        if membership is not None:
            self._exchange = DemandExchange(
                membership, timers, self._list_own, self._is_crowded
            )

    def start(self) -> None:
        """Begin to exchange demand with the other gateways."""
        if self._exchange is not None:
            self._exchange.start()

    def stop(self) -> None:
        """Exchange demand no longer."""
        if self._exchange is not None:
            self._exchange.stop()

    def decide(self, request: AdmissionRequest, work_s: float) -> GateDecision:
        """Record the demand of a request and decide whether it is admitted.

        Parameters
        ----------
        request : AdmissionRequest
            Request.
        work_s : float
            Mean service time of its class in seconds; 0 when unknown.
        """
        now = self._timers.now()
        cell = _find_cell(request.group, request.rank, request.tenant)
        for demand in (self._demand, self._usual, self._mix):
            demand.record(cell, work_s or DEFAULT_WORK_S, now)
        gate = self._find_gate(request.group)
        was_active = gate.control.active
        decision = GateDecision("admit")
        crowding, _ = self._measure_crowding(request.group, now)
        is_short = self._is_short(request.group, now)
        if gate.control.may_start(crowding, self._is_informed(), is_short):
            gate_request = GateRequest(cell, self._find_mix(cell, now))
            inputs = self._read_inputs(request.group, cell.group, now)
            decision = gate.decide(gate_request, inputs)
            self._report_change(request.group, gate, was_active, inputs)
        key = (request.group, request.rank, decision.action)
        self._counts[key] = self._counts.get(key, 0) + 1
        return decision

    def _report_change(
        self, group: str, gate: RankGate, was_active: bool, inputs: GateInputs
    ) -> None:
        """Log that a group has become crowded or is no longer, and tell the others."""
        is_active = gate.control.active
        if is_active == was_active:
            return
        if is_active and self._exchange is not None:
            self._exchange.send_first_round()
        log_event(
            402 if is_active else 403,
            group=group,
            share=round(gate.control.share, 3),
            crowding=round(inputs.crowding or 0.0, 3),
            demand=round(sum(inputs.own.values()), 2),
            others=round(sum(inputs.others.values()), 2),
            slots=inputs.slots,
        )

    def observe_refusal(self, group: str) -> None:
        """Record that an admitted request found no slot in its caller's time."""
        self._refused_at[group] = self._timers.now()

    def find_turn(
        self, group: str, rank: int, tenant: str, arrived_s: float
    ) -> SlotTurn:
        """Return the place of a request among those that wait for a slot.

        Parameters
        ----------
        group : str
            Name of the group.
        rank : int
            Rank of the request.
        tenant : str
            Name of its tenant.
        arrived_s : float
            Reading of the clock when it arrived.
        """
        gate = self._find_gate(group)
        served = gate.estimate_served(_find_cell(group, rank, tenant))
        return SlotTurn(rank, served, arrived_s)

    def read_counts(self) -> dict[tuple[str, ...], float]:
        """Return the decisions by group, rank and action, for the metrics."""
        return {
            (group, str(rank), action): float(count)
            for (group, rank, action), count in self._counts.items()
        }

    def read_shares(self) -> dict[tuple[str, ...], float]:
        """Return the admitted share of the offered work by group, for the metrics."""
        return {(name,): gate.control.share for name, gate in self._gates.items()}

    def dump(self) -> dict[str, Any]:
        """Return the state of all groups."""
        now = self._timers.now()
        groups: dict[str, Any] = {}
        for name, gate in self._gates.items():
            inputs = self._read_inputs(name, number_group(name), now)
            groups[name] = {
                "crowded": gate.control.active,
                "share": gate.control.share,
                "crowding": inputs.crowding,
                "crowding_age_s": _limit_age(inputs.crowding_age_s),
                "slots": inputs.slots,
                "own_work": sum(inputs.own.values()),
                "others_work": sum(inputs.others.values()),
                "others_age_s": _limit_age(inputs.others_age_s),
            }
        sent = 0 if self._exchange is None else self._exchange.sent
        return {"groups": groups, "messages_sent": sent}

    def _find_gate(self, group: str) -> RankGate:
        gate = self._gates.get(group)
        if gate is None:
            gate = self._gates[group] = RankGate(self._random)
        return gate

    def _read_inputs(self, group: str, number: int, now: float) -> GateInputs:
        crowding, crowding_age_s = self._measure_crowding(group, now)
        others: Rates = {}
        others_age_s = math.inf
        if self._exchange is not None:
            others, others_age_s = self._exchange.sum_others()
        return GateInputs(
            now,
            crowding,
            crowding_age_s,
            self._table.slots(group),
            _select(self._demand.list_rates(now), number),
            _select(self._usual.list_rates(now), number),
            _select(others, number),
            others_age_s,
            self._shares.gateway_share(),
            self._is_informed(),
            self._is_short(group, now),
        )

    def _measure_crowding(self, group: str, now: float) -> tuple[float | None, float]:
        """Return the requests per slot of a group, and the age of that in seconds."""
        measured = self._table.measure_crowding(group, self._is_limited)
        if measured[0] is None and self._is_short(group, now):
            # All servers are limited by rate, so none is asked for its slots.
            return MAX_CROWDING, now - self._refused_at[group]
        return measured

    def _is_short(self, group: str, now: float) -> bool:
        """Tell whether a request found no slot in its caller's time lately."""
        return now - self._refused_at.get(group, -math.inf) <= REFUSAL_AGE_S

    def _is_informed(self) -> bool:
        return self._exchange is not None and self._exchange.is_informed()

    def _find_mix(self, cell: Cell, now: float) -> dict[int, float]:
        return {
            known.rank: rate
            for known, rate in self._mix.list_rates(now).items()
            if known.group == cell.group and known.tenant == cell.tenant
        }

    def _list_own(self) -> Rates:
        return self._demand.list_rates(self._timers.now())

    def _is_crowded(self) -> bool:
        now = self._timers.now()
        for name, gate in self._gates.items():
            if gate.control.end_idle(now):
                inputs = self._read_inputs(name, number_group(name), now)
                self._report_change(name, gate, True, inputs)
        return any(gate.control.active for gate in self._gates.values())


def build_refusal(
    request: AdmissionRequest, decision: GateDecision, inputs: dict[str, float]
) -> RefusedError:
    """Return the refusal of a request whose rank or tenant has no share left.

    Parameters
    ----------
    request : AdmissionRequest
        Request.
    decision : GateDecision
        Decision to refuse it.
    inputs : dict of str to float
        State of the group for the log.
    """
    return RefusedError(
        f"request to group {request.group!r} refused: requests of earlier rank or of "
        "tenants below their share use its capacity",
        "retry after the stated delay",
        kind="outranked",
        retry_after_s=decision.delay_s,
        inputs={
            **inputs,
            "rank": request.rank,
            "admitted_share": round(decision.share, 3),
        },
    )


def _find_cell(group: str, rank: int, tenant: str) -> Cell:
    return Cell(number_group(group), clamp_rank(rank), number_tenant(tenant))


def _select(rates: Rates, group: int) -> Rates:
    return {cell: rate for cell, rate in rates.items() if cell.group == group}


def _limit_age(age_s: float) -> float | None:
    """Return an age for JSON, which has no infinity."""
    return round(age_s, 3) if math.isfinite(age_s) else None
