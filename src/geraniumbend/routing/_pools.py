"""Pools of a group for short and long requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.routing._subsets import order_by_rendezvous

if TYPE_CHECKING:
    from geraniumbend.routing._server_table import ServerTable
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

# Time for which the pools of a group are reused, in seconds.
REFRESH_PERIOD_S = 0.2
# Possible sizes of a long pool, as fractions of the group.
LONG_POOL_FRACTIONS = (1 / 8, 1 / 4, 1 / 2)
# A long pool shrinks only if it would also shrink at a share this many times as high.
SHRINK_MARGIN = 1.3


class GroupPools(NamedTuple):
    """Members of a group, divided by the length of the requests that they run.

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
    """Long and short pools of all groups.

    The long pool is a prefix of the group's rendezvous order and has one of a few
    sizes. Gateways that measured slightly different shares of long requests therefore
    use the same servers, without messages between them.

    Parameters
    ----------
    table : ServerTable
        Members and request costs.
    timers : TimerService
        Clock.
    """

    def __init__(self, table: ServerTable, timers: TimerService) -> None:
        self._table = table
        self._timers = timers
        self._sizes: dict[str, int] = {}
        self._pools: dict[str, tuple[float, int, GroupPools]] = {}

    def pools(self, group: str) -> GroupPools:
        """Return the pools of a group."""
        now = self._timers.now()
        cached = self._pools.get(group)
        if (
            cached is not None
            and now - cached[0] < REFRESH_PERIOD_S
            and cached[1] == self._table.version
        ):
            return cached[2]
        members = self._table.available(group)
        size = self._choose_size(group, len(members))
        ordered = order_by_rendezvous(group, members) if size else members
        pools = GroupPools(ordered[size:], ordered[:size])
        self._pools[group] = (now, self._table.version, pools)
        return pools

    def _choose_size(self, group: str, count: int) -> int:
        share = self._table.costs.long_share(group)
        if share <= 0 or count < 2:
            self._sizes.pop(group, None)
            return 0
        size = size_long_pool(share, count)
        before = self._sizes.get(group, 0)
        # Hysteresis: the pool shrinks only when the share is well below the boundary
        # between two sizes. At the boundary, servers would change pools back and forth.
        if size < before and size_long_pool(SHRINK_MARGIN * share, count) >= before:
            size = min(before, count // 2)
        self._sizes[group] = size
        return size


def size_long_pool(share: float, count: int) -> int:
    """Return the number of servers in a long pool.

    Parameters
    ----------
    share : float
        Share of long requests in the work of the group.
    count : int
        Members of the group, at least 2.

    Returns
    -------
    int
        An eighth, a quarter or half of the group, at least one server. Gateways that
        see few long requests measure different shares; with few possible sizes, their
        long pools are still the same.
    """
    for part in LONG_POOL_FRACTIONS:
        if share <= part:
            return max(1, math.ceil(part * count)) if part < 0.5 else count // 2
    return count // 2
