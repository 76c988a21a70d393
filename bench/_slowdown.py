"""Experiment on one slow and one failing server."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from bench._experiments import Options, experiments
from bench._load import CompletedRequest, plan_requests, quantile_ms, run_requests
from bench._server_pool import ServerPool

SERVERS = 15
SLOTS = 6
POLICIES = ("default", "least_requests", "round_robin", "random")
SERVICE_S = 0.1
REQUESTS_PER_S = 450.0
DEADLINE_S = 2.0
FAULT_S = 2.0
DURATION_S = 3.5
SLOW_FACTOR = 10.0
BIN_S = 0.1
# Traffic has shifted away when the two faulty servers get at most this fraction of
# their share of an evenly spread load.
SHIFTED_SHARE = 0.25


@experiments.register("slowdown")
async def measure_slowdown(options: Options) -> dict[str, Any]:
    """Measure latency and errors with one slow and one failing server.

    One server becomes ten times slower, another responds to each request with an
    immediate error.
    """
    duration_s = FAULT_S + DURATION_S * options.scale
    rng = random.Random(options.seed)
    requests = plan_requests(
        rng, REQUESTS_PER_S, duration_s, "short", SERVICE_S, DEADLINE_S
    )
    p99_ms: dict[str, float] = {}
    errors: dict[str, int] = {}
    shift: dict[str, float | None] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            fault_task = asyncio.ensure_future(_inject_faults(pool))
            completed_requests = await run_requests(
                policy, pool, requests, options.seed
            )
            await fault_task
            await pool.set_attributes("server-3", service_factor=1.0)
            await pool.set_attributes("server-8", fail_fast=False)
            after_fault = [
                completed
                for completed in completed_requests
                if completed.request.at_s >= FAULT_S
            ]
            p99_ms[policy] = quantile_ms(_collect_latencies(after_fault), 0.99)
            errors[policy] = sum(not completed.result.ok for completed in after_fault)
            shift[policy] = _measure_shift(after_fault, duration_s)
    return {
        "p99_ms": p99_ms,
        "errors": errors,
        "seconds_to_shift": shift["default"],
        "seconds_to_shift_by_policy": shift,
        "requests_after_fault": len(after_fault),
    }


async def _inject_faults(pool: ServerPool) -> None:
    await asyncio.sleep(FAULT_S)
    await pool.set_attributes("server-3", service_factor=SLOW_FACTOR)
    await pool.set_attributes("server-8", fail_fast=True)


def _collect_latencies(completed_requests: list[CompletedRequest]) -> list[float]:
    """Return latencies in seconds; errors long before the deadline are left out."""
    return [
        completed.result.latency_s
        for completed in completed_requests
        if completed.result.ok or completed.result.latency_s >= 0.9 * DEADLINE_S
    ]


def _measure_shift(
    completed_requests: list[CompletedRequest], end_s: float
) -> float | None:
    """Return the time until traffic has shifted away from the faulty servers.

    Requests are counted in bins of 100 ms. The share of the faulty servers must be low
    over one second from a bin on, so that one empty bin does not count. The result is
    in seconds after the fault, None if traffic never shifts.
    """
    bins = int((end_s - FAULT_S) / BIN_S)
    total, faulty = [0] * bins, [0] * bins
    for completed in completed_requests:
        number = min(bins - 1, int((completed.request.at_s - FAULT_S) / BIN_S))
        total[number] += 1
        faulty[number] += completed.result.server_id in ("server-3", "server-8")
    limit = SHIFTED_SHARE * 2 / SERVERS
    for number in range(bins):
        span = slice(number, number + int(1 / BIN_S))
        if sum(faulty[span]) <= limit * sum(total[span]):
            return round((number + 1) * BIN_S, 1)
    return None
