"""Experiment on sheet opens at several times the capacity."""

from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple

from bench._experiments import Options, experiments
from bench._in_process_gateway import InProcessGateway, connect
from bench._server_pool import ServerPool

GATEWAYS = 13
SERVERS = 15
SLOTS = 6
MEAN_SERVICE_S = 0.18
REQUESTS_PER_SHEET_OPEN = 8
BURST_S = 0.3
DEADLINE_S = 2.0
# Offered load as a multiple of the capacity of all servers.
PEAK_FACTOR = 3.0
BASELINE_FACTOR = 0.7
BASELINE_S = 1.5
PEAK_S = 8.0
POLICIES = ("default", "least_requests", "round_robin")


class SheetRequest(NamedTuple):
    """One request of a sheet open.

    Parameters
    ----------
    at_s : float
        Time since the start of the load, in seconds.
    gateway : int
        Index of the gateway that the platform's load balancer chose.
    service_s : float
        Time that the request holds a server slot, in seconds.
    """

    at_s: float
    gateway: int
    service_s: float


class SheetOpen(NamedTuple):
    """One sheet open: a burst of requests with the same sheet header.

    Parameters
    ----------
    sheet : str
        Value of the sheet header.
    at_s : float
        Time since the start of the load, in seconds.
    requests : list of SheetRequest
        Requests of the burst.
    """

    sheet: str
    at_s: float
    requests: list[SheetRequest]


def plan_sheet_opens(seed: int, peak_s: float) -> list[SheetOpen]:
    """Plan sheet opens at normal load, at peak load and after the measured peak.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    peak_s : float
        Measured duration of the peak, in seconds.

    Returns
    -------
    list of SheetOpen
        Poisson arrivals. The load stays at its peak for one more deadline after the
        measured time, so that no policy gains from working off its queue afterwards.
    """
    rng = random.Random(seed)
    capacity = SERVERS * SLOTS / MEAN_SERVICE_S / REQUESTS_PER_SHEET_OPEN
    sheet_opens: list[SheetOpen] = []
    at_s = 0.0
    end_s = BASELINE_S + peak_s + DEADLINE_S
    while at_s < end_s:
        factor = BASELINE_FACTOR if at_s < BASELINE_S else PEAK_FACTOR
        at_s += rng.expovariate(capacity * factor)
        requests = [
            SheetRequest(
                at_s + rng.uniform(0, BURST_S),
                rng.randrange(GATEWAYS),
                MEAN_SERVICE_S * rng.uniform(0.5, 1.5),
            )
            for _ in range(REQUESTS_PER_SHEET_OPEN)
        ]
        sheet_opens.append(SheetOpen(f"open-{seed}-{len(sheet_opens)}", at_s, requests))
    return sheet_opens


async def run_policy(
    policy: str, pool: ServerPool, sheet_opens: list[SheetOpen], seed: int
) -> list[bool]:
    """Return for each sheet open whether all its requests met the deadline."""
    loop = asyncio.get_running_loop()
    async with connect() as session:
        gateways = [
            InProcessGateway(
                f"g{number}", policy, pool, GATEWAYS, session, seed + number
            )
            for number in range(GATEWAYS)
        ]
        start = gateways[0].timers.now()

        async def fetch(sheet_open: SheetOpen, request: SheetRequest) -> bool:
            result = await gateways[request.gateway].fetch(
                f"/sheet?ms={request.service_s * 1000:.1f}",
                sheet=sheet_open.sheet,
                caller=sheet_open.sheet,
                deadline=start + sheet_open.at_s + DEADLINE_S,
            )
            return result.ok

        tasks: dict[int, list[asyncio.Task[bool]]] = {}
        plan = sorted(
            (request.at_s, number, request)
            for number, sheet_open in enumerate(sheet_opens)
            for request in sheet_open.requests
        )
        for at_s, number, request in plan:
            delay_s = start + at_s - gateways[0].timers.now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = loop.create_task(fetch(sheet_opens[number], request))
            tasks.setdefault(number, []).append(task)
        succeeded = [
            all(await asyncio.gather(*tasks[number]))
            for number in range(len(sheet_opens))
        ]
    return succeeded


@experiments.register("crest")
async def measure_crest(options: Options) -> dict[str, Any]:
    """Measure the share of complete sheet opens at three times the capacity.

    A sheet open is complete when all its requests succeed within the deadline.
    """
    peak_s = PEAK_S * options.scale
    sheet_opens = plan_sheet_opens(options.seed, peak_s)
    measured = [
        number
        for number, sheet_open in enumerate(sheet_opens)
        if BASELINE_S <= sheet_open.at_s < BASELINE_S + peak_s
    ]
    offered_s = sum(
        request.service_s
        for number in measured
        for request in sheet_opens[number].requests
    )
    complete_shares: dict[str, float] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            succeeded = await run_policy(policy, pool, sheet_opens, options.seed)
            count = sum(succeeded[number] for number in measured)
            complete_shares[policy] = round(count / len(measured), 4)
            await asyncio.sleep(0.3)
    capacity_share = SERVERS * SLOTS * peak_s / offered_s
    best_baseline = max(
        share for policy, share in complete_shares.items() if policy != "default"
    )
    return {
        "whole_sheets": complete_shares,
        "capacity_share": round(capacity_share, 4),
        "of_capacity": round(complete_shares["default"] / capacity_share, 4),
        "times_best_baseline": round(complete_shares["default"] / best_baseline, 2)
        if best_baseline
        else None,
        "opens": len(measured),
        "gateways": GATEWAYS,
    }
