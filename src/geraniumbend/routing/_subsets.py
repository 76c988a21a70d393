from __future__ import annotations

import math
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.routing._views import ServerView

# Servers that one gateway uses at least. Enough to find a quiet host with room among
# them at a crest, and few enough that a gateway of a large deployment, which sends a
# group a few requests a second, uses its connections again before they are closed.
SUBSET_SIZE = 32
# Gateways that each server is expected to be in the subset of. With 8, a server is
# left out by every gateway with a probability of about exp(-8).
COVERAGE = 8.0


def order_by_rendezvous(key: str, views: Iterable[ServerView]) -> list[ServerView]:
    """Order servers by rendezvous hashing, the same on every process.

    Parameters
    ----------
    key : str
        What the order is for.
    views : iterable of ServerView
        Servers.

    Returns
    -------
    list of ServerView
        Servers by falling weight. A server that comes or goes does not change the
        order of the others.
    """
    return sorted(
        views,
        key=lambda view: (
            -xxh64_intdigest(f"{key}\0{view.server_id}".encode()),
            view.server_id,
        ),
    )


def choose_subset(
    node: str, group: str, views: list[ServerView], gateway_share: float
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
    gateway_share : float
        One divided by the number of live gateways.

    Returns
    -------
    list of ServerView
        All members of a group of up to `SUBSET_SIZE`; else a deterministic subset of
        at least that many, large enough for every server to be used by some gateway.
    """
    if len(views) <= SUBSET_SIZE:
        return views
    covering = math.ceil(len(views) * min(1.0, COVERAGE * gateway_share))
    size = max(SUBSET_SIZE, covering)
    return order_by_rendezvous(f"{node}\0{group}", views)[:size]
