from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple

from bench._experiments import Options, experiments
from bench._server_pool import ServerPool
from bench._small_gateway import SmallGateway, connect

GATEWAYS = 13
SERVERS = 15
SLOTS = 6
MEAN_SERVICE_S = 0.18
REQUESTS_PER_OPEN = 8
BURST_S = 0.3
DEADLINE_S = 2.0
CREST_FACTOR = 3.0
CALM_FACTOR = 0.7
CALM_S = 1.5
CREST_S = 8.0
POLICIES = ("default", "least_requests", "round_robin")


class Part(NamedTuple):
    """One request of an open.

    Parameters
    ----------
    at_s : float
        Time since the start of the load, in seconds.
    gateway : int
        Gateway that the platform's balancer chose.
    service_s : float
        Time in a slot of the server, in seconds.
    """

    at_s: float
    gateway: int
    service_s: float


class Open(NamedTuple):
    """One open of a sheet.

    Parameters
    ----------
    sheet : str
        Identifier.
    at_s : float
        Time since the start of the load, in seconds.
    parts : list of Part
        Requests.
    """

    sheet: str
    at_s: float
    parts: list[Part]


def plan_opens(seed: int, crest_s: float) -> list[Open]:
    """Return the opens of a calm time, a crest and its continuation.

    Parameters
    ----------
    seed : int
        Seed.
    crest_s : float
        Measured time of the crest, in seconds.

    Returns
    -------
    list of Open
        Poisson arrivals. Demand stays at the crest for one more deadline after the
        measured time, so that no policy gains from answering its queue afterwards.
    """
    source = random.Random(seed)
    capacity = SERVERS * SLOTS / MEAN_SERVICE_S / REQUESTS_PER_OPEN
    opens: list[Open] = []
    at_s = 0.0
    end_s = CALM_S + crest_s + DEADLINE_S
    while at_s < end_s:
        factor = CALM_FACTOR if at_s < CALM_S else CREST_FACTOR
        at_s += source.expovariate(capacity * factor)
        parts = [
            Part(
                at_s + source.uniform(0, BURST_S),
                source.randrange(GATEWAYS),
                MEAN_SERVICE_S * source.uniform(0.5, 1.5),
            )
            for _ in range(REQUESTS_PER_OPEN)
        ]
        opens.append(Open(f"open-{seed}-{len(opens)}", at_s, parts))
    return opens


async def run_policy(
    policy: str, pool: ServerPool, opens: list[Open], seed: int
) -> list[bool]:
    """Return for each open whether every request was answered in time."""
    loop = asyncio.get_running_loop()
    async with connect() as session:
        gateways = [
            SmallGateway(f"g{number}", policy, pool, GATEWAYS, session, seed + number)
            for number in range(GATEWAYS)
        ]
        start = gateways[0].timers.now()

        async def fetch(entry: Open, part: Part) -> bool:
            result = await gateways[part.gateway].fetch(
                f"/sheet?ms={part.service_s * 1000:.1f}",
                sheet=entry.sheet,
                caller=entry.sheet,
                deadline=start + entry.at_s + DEADLINE_S,
            )
            return result.ok

        tasks: dict[int, list[asyncio.Task[bool]]] = {}
        plan = sorted(
            (part.at_s, number, part)
            for number, entry in enumerate(opens)
            for part in entry.parts
        )
        for at_s, number, part in plan:
            delay_s = start + at_s - gateways[0].timers.now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = loop.create_task(fetch(opens[number], part))
            tasks.setdefault(number, []).append(task)
        answered = [
            all(await asyncio.gather(*tasks[number])) for number in range(len(opens))
        ]
    return answered


@experiments.register("crest")
async def measure_crest(options: Options) -> dict[str, Any]:
    """Measure the share of opens answered whole at three times the capacity."""
    crest_s = CREST_S * options.scale
    opens = plan_opens(options.seed, crest_s)
    measured = [
        number
        for number, entry in enumerate(opens)
        if CALM_S <= entry.at_s < CALM_S + crest_s
    ]
    offered_s = sum(
        part.service_s for number in measured for part in opens[number].parts
    )
    whole: dict[str, float] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            answered = await run_policy(policy, pool, opens, options.seed)
            count = sum(answered[number] for number in measured)
            whole[policy] = round(count / len(measured), 4)
            await asyncio.sleep(0.3)
    capacity_share = SERVERS * SLOTS * crest_s / offered_s
    best = max(share for policy, share in whole.items() if policy != "default")
    return {
        "whole_sheets": whole,
        "capacity_share": round(capacity_share, 4),
        "of_capacity": round(whole["default"] / capacity_share, 4),
        "times_best_baseline": round(whole["default"] / best, 2) if best else None,
        "opens": len(measured),
        "gateways": GATEWAYS,
    }
