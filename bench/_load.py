"""Planned request load for gateways within one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from bench._in_process_gateway import InProcessGateway, Result, connect

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from bench._server_pool import ServerPool

GATEWAYS = 13


class PlannedRequest(NamedTuple):
    """One planned request.

    Parameters
    ----------
    at_s : float
        Time since the start of the load, in seconds.
    gateway : int
        Index of the gateway that the platform's load balancer chose.
    request_class : str
        Request class.
    service_s : float
        Time that the request holds a server slot, in seconds.
    deadline_s : float
        Time allowed for the response, in seconds.
    """

    at_s: float
    gateway: int
    request_class: str
    service_s: float
    deadline_s: float


class CompletedRequest(NamedTuple):
    """A planned request and its result.

    Parameters
    ----------
    request : PlannedRequest
        Request.
    result : Result
        What the caller received.
    """

    request: PlannedRequest
    result: Result


def plan_requests(
    rng: random.Random,
    rate: float,
    duration_s: float,
    request_class: str,
    service_s: float,
    deadline_s: float,
) -> list[PlannedRequest]:
    """Plan Poisson arrivals with service times of 0.5 to 1.5 times the mean.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    rate : float
        Requests per second.
    duration_s : float
        Length of the load, in seconds.
    request_class : str
        Request class of all requests.
    service_s : float
        Mean service time, in seconds.
    deadline_s : float
        Time allowed for each response, in seconds.

    Returns
    -------
    list of PlannedRequest
        Requests in the order of their times.
    """
    requests: list[PlannedRequest] = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        gateway = rng.randrange(GATEWAYS)
        request_service_s = service_s * rng.uniform(0.5, 1.5)
        requests.append(
            PlannedRequest(at_s, gateway, request_class, request_service_s, deadline_s)
        )
        at_s += rng.expovariate(rate)
    return requests


async def run_requests(
    policy: str,
    pool: ServerPool,
    requests: Sequence[PlannedRequest],
    seed: int,
    prepare: Callable[[list[InProcessGateway]], None] | None = None,
) -> list[CompletedRequest]:
    """Send planned requests through new gateways and return their results.

    Parameters
    ----------
    policy : str
        Routing policy.
    pool : ServerPool
        Backend servers.
    requests : sequence of PlannedRequest
        Requests to send.
    seed : int
        Seed of the random choices of the gateways.
    prepare : callable or None, default=None
        Called with the gateways before the load starts.

    Returns
    -------
    list of CompletedRequest
        Requests in the order of their times, with results.
    """
    ordered = sorted(requests)
    async with connect() as session:
        gateways = [
            InProcessGateway(
                f"g{number}", policy, pool, GATEWAYS, session, seed + number
            )
            for number in range(GATEWAYS)
        ]
        if prepare is not None:
            prepare(gateways)
        now = gateways[0].timers.now
        start = now()
        tasks = []
        for number, request in enumerate(ordered):
            delay_s = start + request.at_s - now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            coroutine = gateways[request.gateway].fetch(
                f"/{request.request_class}?ms={request.service_s * 1000:.1f}",
                request.request_class,
                caller=f"caller-{number % 200}",
                deadline=now() + request.deadline_s,
            )
            tasks.append(asyncio.ensure_future(coroutine))
        results = await asyncio.gather(*tasks)
    return [
        CompletedRequest(request, result)
        for request, result in zip(ordered, results, strict=True)
    ]


def quantile_ms(latencies_s: Sequence[float], share: float) -> float:
    """Return a quantile in milliseconds; 0 without values."""
    ordered = sorted(latencies_s)
    if not ordered:
        return 0.0
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)
