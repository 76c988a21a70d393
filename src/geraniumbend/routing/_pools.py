from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.routing._subsets import order_by_rendezvous

if TYPE_CHECKING:
    from geraniumbend.routing._table import ServerTable
    from geraniumbend.routing._views import ServerView
    from geraniumbend.timers import TimerService

PERIOD_S = 0.2
STEPS = (1 / 8, 1 / 4, 1 / 2)
SHRINK_MARGIN = 1.3


class GroupPools(NamedTuple):
    """Members of a group by the kind of request that they run.

    Parameters
    ----------
    short : list of ServerView
        Servers that short requests prefer.
    long : list of ServerView
        Servers that long requests are restricted to; empty without long requests.
    """

    short: list[ServerView]
    long: list[ServerView]


class PoolTable:
    """Long lanes of all groups.

    The lane is a prefix of the rendezvous order in steps of its size, so gateways
    whose learned shares differ a little use the same servers.

    Parameters
    ----------
    table : ServerTable
        Members and learned costs.
    timers : TimerService
        Clock.
    """

    def __init__(self, table: ServerTable, timers: TimerService) -> None:
        self._table = table
        self._timers = timers
        self._sizes: dict[str, int] = {}
        self._pools: dict[str, tuple[float, int, GroupPools]] = {}

    def pools(self, group: str) -> GroupPools:
        """Return the lanes of a group."""
        now = self._timers.now()
        known = self._pools.get(group)
        if (
            known is not None
            and now - known[0] < PERIOD_S
            and known[1] == self._table.version
        ):
            return known[2]
        members = self._table.available(group)
        size = self._size(group, len(members))
        ordered = order_by_rendezvous(group, members) if size else members
        pools = GroupPools(ordered[size:], ordered[:size])
        self._pools[group] = (now, self._table.version, pools)
        return pools

    def _size(self, group: str, count: int) -> int:
        share = self._table.costs.long_share(group)
        if share <= 0 or count < 2:
            self._sizes.pop(group, None)
            return 0
        size = size_lane(share, count)
        before = self._sizes.get(group, 0)
        # The lane shrinks only when the share is well below the boundary; a share that
        # lies on the boundary would move servers to and fro.
        if size < before and size_lane(SHRINK_MARGIN * share, count) >= before:
            size = min(before, count // 2)
        self._sizes[group] = size
        return size


def size_lane(share: float, count: int) -> int:
    """Return the number of servers in a long lane.

    Parameters
    ----------
    share : float
        Share of long requests in the work of the group.
    count : int
        Members of the group, at least 2.

    Returns
    -------
    int
        One server, or an eighth, a quarter or half of the group. Gateways that see
        few long requests learn different shares, and steps keep their lanes equal.
    """
    for part in STEPS:
        if share <= part:
            return max(1, math.ceil(part * count)) if part < 0.5 else count // 2
    return count // 2
