"""Decision by rank and tenant whether a request is admitted to a crowded group."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.admission._crowding_control import CrowdingControl
from geraniumbend.admission._ranked_demand import REST, Cell, Rates
from geraniumbend.admission._share_filling import ALL, RankShare, divide_capacity
from geraniumbend.caller_waits import spread_return

if TYPE_CHECKING:
    import random

# Sums of the fleet count up to this age, in seconds.
MAX_SUMS_AGE_S = 4.0
# Reports of servers count up to this age, in seconds.
MAX_REPORT_AGE_S = 1.0
# Share of the slots that is planned to be busy.
PLANNED_UTILIZATION = 0.85
# A tenant is admitted at least this often in relation to all requests together. The
# users are promised a quarter; the rest is a margin for the error of the estimates.
FLOOR_SHARE = 0.3
# Time constant in seconds of the demand that decides. A caller that returns sooner is
# likely to meet the same decision.
DEMAND_S = 2.0


class GateInputs(NamedTuple):
    """What a gateway knows about a group when it decides.

    Parameters
    ----------
    now : float
        Present time, in seconds.
    crowding : float or None
        Requests per slot of the servers by reports; None without reports.
    crowding_age_s : float
        Age of the newest report, in seconds.
    slots : int
        Slots of the group.
    own : dict of Cell to float
        Work offered to this gateway lately, in seconds of service time per second.
    own_usual : dict of Cell to float
        The same over a longer time. It is used where `others` is too old, since one
        gateway gets too few requests in a short time to tell the parts of the demand.
    others : dict of Cell to float
        Work offered to the other gateways.
    others_age_s : float
        Age of `others`, in seconds.
    gateway_share : float
        One divided by the number of gateways.
    is_informed : bool, default=False
        Whether other gateways have found a group crowded lately.
    is_short : bool, default=False
        Whether a request found no slot in its caller's time lately.
    """

    now: float
    crowding: float | None
    crowding_age_s: float
    slots: int
    own: Rates
    own_usual: Rates
    others: Rates
    others_age_s: float
    gateway_share: float
    is_informed: bool = False
    is_short: bool = False


class GateRequest(NamedTuple):
    """A request that asks for admission.

    Parameters
    ----------
    cell : Cell
        Group, rank and tenant.
    mix : dict of int to float
        Usual work of its tenant by rank, as seen by this gateway.
    """

    cell: Cell
    mix: dict[int, float]


class GateDecision(NamedTuple):
    """Decision about a request.

    Parameters
    ----------
    action : {"admit", "wait", "refuse"}
        ``admit`` while the group has room; ``wait`` if the request may wait for a slot
        of the crowded group; ``refuse`` if others have the capacity.
    delay_s : float, default=0.0
        Time after which a refused caller should return, in seconds.
    share : float, default=1.0
        Admitted share of the requests of this rank and tenant.
    """

    action: str
    delay_s: float = 0.0
    share: float = 1.0


class RankGate:
    """Decides which requests are admitted to one group while it is crowded.

    The control by load reports says how much of the offered work is admitted. The
    offered work by rank and tenant says whose it is.

    Parameters
    ----------
    rng : random.Random
        Draws of requests and delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self.control = CrowdingControl()
        self._shares: dict[int, RankShare] = {}
        self._tenants: dict[int, dict[int, float]] = {}

    def decide(self, request: GateRequest, inputs: GateInputs) -> GateDecision:
        """Decide about one request.

        Parameters
        ----------
        request : GateRequest
            Request.
        inputs : GateInputs
            Present knowledge about its group.
        """
        self.update(inputs)
        if not self.control.active:
            return GateDecision("admit")
        share = self.find_share(request)
        if self._random.random() < share:
            return GateDecision("wait", share=share)
        delay_s = spread_return(DEMAND_S, self._random.random())
        return GateDecision("refuse", delay_s, share)

    def update(self, inputs: GateInputs) -> None:
        """Take in what is known about the group."""
        is_fresh = inputs.others_age_s <= MAX_SUMS_AGE_S
        rates = dict(inputs.own if is_fresh else inputs.own_usual)
        if is_fresh:
            for cell, rate in inputs.others.items():
                rates[cell] = rates.get(cell, 0.0) + rate
        total = sum(rates.values())
        fleet_total = total if is_fresh else total / max(inputs.gateway_share, 1e-6)
        capacity = PLANNED_UTILIZATION * inputs.slots
        model_share = capacity / fleet_total if fleet_total > 0 else None
        has_reports = inputs.crowding_age_s <= MAX_REPORT_AGE_S
        crowding = inputs.crowding if has_reports else None
        self.control.update(
            inputs.now, crowding, model_share, inputs.is_informed, inputs.is_short
        )
        if not self.control.active:
            self._shares = {}
            return
        self._tenants = {}
        for cell, rate in rates.items():
            self._tenants.setdefault(cell.rank, {})[cell.tenant] = rate
        self._shares = divide_capacity(self._tenants, self.control.share * total)

    def find_share(self, request: GateRequest) -> float:
        """Return the share of the requests of a rank and tenant that is admitted."""
        cell = request.cell
        share = self._find_cell_share(cell.rank, cell.tenant)
        floor = FLOOR_SHARE * self.control.share
        if cell.tenant == REST or share >= floor:
            return share
        # The floor holds for all requests of a tenant together, whatever their rank.
        total = sum(request.mix.values())
        served = sum(
            rate * self._find_cell_share(rank, cell.tenant)
            for rank, rate in request.mix.items()
        )
        return floor if served < floor * total else share

    def estimate_served(self, cell: Cell) -> float:
        """Return the work that a tenant gets at a rank, in seconds per second."""
        rate = self._tenants.get(cell.rank, {}).get(cell.tenant, 0.0)
        return rate * self._find_cell_share(cell.rank, cell.tenant)

    def _find_cell_share(self, rank: int, tenant: int) -> float:
        rank_share = self._shares.get(rank, ALL)
        rate = self._tenants.get(rank, {}).get(tenant)
        if tenant == REST or rate is None:
            return rank_share.rest_share
        return rank_share.find_share(rate)
