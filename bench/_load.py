from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from bench._small_gateway import Result, SmallGateway, connect

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from bench._server_pool import ServerPool

GATEWAYS = 13


class Call(NamedTuple):
    """One planned request.

    Parameters
    ----------
    at_s : float
        Time since the start of the load, in seconds.
    gateway : int
        Gateway that the platform's balancer chose.
    request_class : str
        Class.
    service_s : float
        Time in a slot of the server, in seconds.
    deadline_s : float
        Time allowed for the response, in seconds.
    """

    at_s: float
    gateway: int
    request_class: str
    service_s: float
    deadline_s: float


class Answer(NamedTuple):
    """A planned request and what the caller got.

    Parameters
    ----------
    call : Call
        Request.
    result : Result
        Response.
    """

    call: Call
    result: Result


def plan_calls(
    source: random.Random,
    rate: float,
    duration_s: float,
    request_class: str,
    service_s: float,
    deadline_s: float,
) -> list[Call]:
    """Return Poisson arrivals with service times of half to one and a half the mean.

    Parameters
    ----------
    source : random.Random
        Source of randomness.
    rate : float
        Requests per second.
    duration_s : float
        Length of the load, in seconds.
    request_class : str
        Class of all requests.
    service_s : float
        Mean service time, in seconds.
    deadline_s : float
        Time allowed for each response, in seconds.

    Returns
    -------
    list of Call
        Requests in order of time.
    """
    calls: list[Call] = []
    at_s = source.expovariate(rate)
    while at_s < duration_s:
        gateway = source.randrange(GATEWAYS)
        length_s = service_s * source.uniform(0.5, 1.5)
        calls.append(Call(at_s, gateway, request_class, length_s, deadline_s))
        at_s += source.expovariate(rate)
    return calls


async def run_calls(
    policy: str,
    pool: ServerPool,
    calls: Sequence[Call],
    seed: int,
    prepare: Callable[[list[SmallGateway]], None] | None = None,
) -> list[Answer]:
    """Send planned requests through new gateways and return all answers.

    Parameters
    ----------
    policy : str
        Routing policy.
    pool : ServerPool
        Servers.
    calls : sequence of Call
        Requests.
    seed : int
        Seed of the gateways' choices.
    prepare : callable or None, default=None
        Gets the gateways before the load starts.

    Returns
    -------
    list of Answer
        Answers in the order of the requests.
    """
    ordered = sorted(calls)
    async with connect() as session:
        gateways = [
            SmallGateway(f"g{number}", policy, pool, GATEWAYS, session, seed + number)
            for number in range(GATEWAYS)
        ]
        if prepare is not None:
            prepare(gateways)
        now = gateways[0].timers.now
        start = now()
        tasks = []
        for number, call in enumerate(ordered):
            delay_s = start + call.at_s - now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            coroutine = gateways[call.gateway].fetch(
                f"/{call.request_class}?ms={call.service_s * 1000:.1f}",
                call.request_class,
                caller=f"caller-{number % 200}",
                deadline=now() + call.deadline_s,
            )
            tasks.append(asyncio.ensure_future(coroutine))
        results = await asyncio.gather(*tasks)
    return [Answer(call, result) for call, result in zip(ordered, results, strict=True)]


def quantile_ms(latencies_s: Sequence[float], share: float) -> float:
    """Return a quantile in milliseconds; 0 without values."""
    ordered = sorted(latencies_s)
    if not ordered:
        return 0.0
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)
