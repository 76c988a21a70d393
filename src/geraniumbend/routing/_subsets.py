"""Subsets of large groups."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.routing._server_views import ServerView

# Least number of servers that one gateway uses. It is enough to find a lightly loaded
# server among them at a peak, and small enough that idle connections are reused before
# they are closed: a gateway of a large deployment sends a group only a few requests a
# second.
SUBSET_SIZE = 32
# Share of a subset that comes from the gateway's own failure domain, if that domain has
# so many servers. The others take over what the domain has no free slots for.
LOCAL_SHARE = 0.5
# Mean number of gateways whose subset contains a given server. With 8, the probability
# that a server is in no subset is about exp(-8).
COVERAGE = 8.0


def order_by_rendezvous(key: str, views: Iterable[ServerView]) -> list[ServerView]:
    """Order servers by rendezvous hashing, in the same way in every process.

    Parameters
    ----------
    key : str
        Text that is hashed with each server id; every key gives another order.
    views : iterable of ServerView
        Servers.

    Returns
    -------
    list of ServerView
        Servers by falling hash. Adding or removing a server does not change the order
        of the others.
    """
    return sorted(
        views,
        key=lambda view: (
            -xxh64_intdigest(f"{key}\0{view.server_id}".encode()),
            view.server_id,
        ),
    )


def count_subset(members: int, gateway_share: float) -> int:
    """Return how many members of a group one gateway uses.

    Parameters
    ----------
    members : int
        Number of members of the group.
    gateway_share : float
        One divided by the number of live gateways.

    Returns
    -------
    int
        At least `SUBSET_SIZE`, and enough that almost certainly every server is used by
        some gateway; at most `members`.
    """
    covering = math.ceil(members * min(1.0, COVERAGE * gateway_share))
    return min(members, max(SUBSET_SIZE, covering))


def choose_subset(
    node: str,
    group: str,
    views: list[ServerView],
    size: int,
    failure_domain: str = "",
) -> list[ServerView]:
    """Return the servers of a large group that one gateway uses.

    Parameters
    ----------
    node : str
        Name of the gateway.
    group : str
        Name of the group.
    views : list of ServerView
        Members of the group.
    size : int
        Number of servers to return.
    failure_domain : str, default=""
        Failure domain of the gateway; empty if it prefers none.

    Returns
    -------
    list of ServerView
        Deterministic subset, `LOCAL_SHARE` of it from the failure domain if there are
        so many.
    """
    ordered = order_by_rendezvous(f"{node}\0{group}", views)
    local_limit = int(size * LOCAL_SHARE) if failure_domain else 0
    chosen: list[ServerView] = []
    others: list[ServerView] = []
    for view in ordered:
        is_local = view.server.failure_domain == failure_domain
        if is_local and len(chosen) < local_limit:
            chosen.append(view)
        else:
            others.append(view)
    return chosen + others[: size - len(chosen)]
