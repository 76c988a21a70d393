"""How long a request waits, and when a refused caller returns.

The decisions follow from the time that the caller has, from the work before its request
and from the slots that work on it. They are the same for each attempt of a caller, and
do not depend on the objective of its route, which the operator sets.
"""

from __future__ import annotations

import math

# Part by which the wait of a request that arrives may turn out longer than estimated. A
# caller that is held and then refused has no time left for another gateway.
ARRIVAL_MARGIN = 0.25
# Returns of refused callers are spread over this share of their delay.
RETURN_SPREAD = 0.5


def compute_max_wait(left_s: float, response_s: float) -> float:
    """Return how long a request can wait and still be answered in its caller's time.

    Parameters
    ----------
    left_s : float
        Time that the caller has left, in seconds.
    response_s : float
        Time in seconds within which most responses are complete; 0 when unknown.
    """
    return max(0.0, left_s - response_s)


def may_begin_to_wait(wait_s: float, max_wait_s: float) -> bool:
    """Tell whether a request that arrives waits, or is refused at once.

    Parameters
    ----------
    wait_s : float
        Estimated time until it has a slot, in seconds.
    max_wait_s : float
        As `compute_max_wait` returns it, in seconds.
    """
    return (1 + ARRIVAL_MARGIN) * wait_s <= max_wait_s


def estimate_wait(
    work_s: float, slots: float, service_s: float = 0.0, busy_s: float = 0.0
) -> float:
    """Return the time until slots have taken up some work, in seconds.

    Parameters
    ----------
    work_s : float
        Service time of the waiting requests, the last one included, in seconds.
    slots : float
        Slots that work on them.
    service_s : float, default=0.0
        Mean service time of the requests that hold the slots, in seconds.
    busy_s : float, default=0.0
        Time in seconds since the last of the slots became free. The requests that hold
        them are further on by that. If it exceeds their service time, all slots are
        slower than measured.

    Returns
    -------
    float
        Infinite if no slots work on them.
    """
    if slots <= 0:
        return math.inf
    if service_s and busy_s > service_s:
        work_s *= busy_s / service_s
    return max(0.0, work_s / slots - min(busy_s, service_s))


def spread_return(delay_s: float, draw: float) -> float:
    """Return the delay after which one of many refused callers returns, in seconds.

    Callers that were refused together would otherwise return together.

    Parameters
    ----------
    delay_s : float
        Time until there is room, in seconds.
    draw : float
        Random number from 0 to 1.
    """
    return delay_s * (1 + RETURN_SPREAD * draw)


def limit_return(delay_s: float, longest_s: float, draw: float) -> float:
    """Return a delay that callers honour, in seconds.

    Callers that are told to return later than they will would all return after the
    longest delay that they honour.

    Parameters
    ----------
    delay_s : float
        Delay, in seconds.
    longest_s : float
        Longest delay that the caller honours, in seconds; 0 if its time is over, so
        that it returns with a new time limit at most.
    draw : float
        Random number from 0 to 1.
    """
    if delay_s <= longest_s or longest_s <= 0:
        return delay_s
    return longest_s * (1 - RETURN_SPREAD * draw)
