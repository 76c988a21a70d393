"""Division of a capacity by rank, and within a rank by tenant."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.admission._ranked_demand import REST

if TYPE_CHECKING:
    from collections.abc import Mapping


class RankShare(NamedTuple):
    """Part of the demand of one rank that is admitted.

    Parameters
    ----------
    level : float
        Work that each tenant may have, in seconds of service time per second; infinite
        when all of the rank is admitted.
    rest_share : float
        Admitted share of the work that is not listed by tenant, from 0 to 1.
    """

    level: float
    rest_share: float

    def find_share(self, rate: float) -> float:
        """Return the admitted share of a tenant with the given rate, from 0 to 1."""
        if rate <= self.level:
            return 1.0
        return self.level / rate


ALL = RankShare(math.inf, 1.0)


def divide_capacity(
    demand: Mapping[int, Mapping[int, float]], capacity: float
) -> dict[int, RankShare]:
    """Divide a capacity by rank, and evenly among the tenants of a rank.

    Parameters
    ----------
    demand : mapping of int to mapping of int to float
        Offered work by rank and tenant, in seconds of service time per second.
    capacity : float
        Work that can be done, in the same unit.

    Returns
    -------
    dict of int to RankShare
        Admitted part of each rank. The lowest rank is served first. A tenant gets what
        it asks for up to a level that is the same for all tenants of the rank.
    """
    shares: dict[int, RankShare] = {}
    left = capacity
    for rank in sorted(demand):
        total = sum(demand[rank].values())
        shares[rank] = ALL if total <= left else _fill(demand[rank], max(0.0, left))
        left -= total
    return shares


def _fill(tenants: Mapping[int, float], capacity: float) -> RankShare:
    """Return the level at which the tenants of one rank use up a capacity."""
    listed = sorted(rate for tenant, rate in tenants.items() if tenant != REST)
    rest = tenants.get(REST, 0.0)
    if not listed:
        return RankShare(0.0, capacity / rest if rest else 0.0)
    # Tenants that are not listed are at most as large as the smallest one listed.
    smallest = listed[0]
    unlisted = math.ceil(rest / smallest) if smallest > 0 else 0
    size = rest / unlisted if unlisted else 0.0
    rates = sorted([*listed, *[size] * min(unlisted, 1000)])
    left, remaining = capacity, len(rates)
    level = 0.0
    for rate in rates:
        level = left / remaining
        if rate > level:
            break
        left -= rate
        remaining -= 1
    return RankShare(level, min(1.0, level / size) if size else 1.0)
