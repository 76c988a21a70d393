from __future__ import annotations

import asyncio
import random
from typing import Any

from bench._experiments import Options, experiments
from bench._load import Answer, plan_calls, quantile_ms, run_calls
from bench._server_pool import ServerPool

SERVERS = 15
SLOTS = 6
POLICIES = ("default", "least_requests", "round_robin", "random")
SERVICE_S = 0.1
RATE = 450.0
DEADLINE_S = 2.0
FAULT_S = 2.0
DURATION_S = 3.5
SLOW_FACTOR = 10.0
BIN_S = 0.1
# Traffic has shifted when the two bad servers get less than this part of the share
# that they would get of an even load.
SHIFTED = 0.25


@experiments.register("slowdown")
async def measure_slowdown(options: Options) -> dict[str, Any]:
    """Measure a server that becomes ten times slower and one that fails at once."""
    duration_s = FAULT_S + DURATION_S * options.scale
    source = random.Random(options.seed)
    calls = plan_calls(source, RATE, duration_s, "short", SERVICE_S, DEADLINE_S)
    p99_ms: dict[str, float] = {}
    errors: dict[str, int] = {}
    shift: dict[str, float | None] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            fault = asyncio.ensure_future(_break_servers(pool))
            answers = await run_calls(policy, pool, calls, options.seed)
            await fault
            await pool.set("server-3", service_factor=1.0)
            await pool.set("server-8", fail_fast=False)
            after = [answer for answer in answers if answer.call.at_s >= FAULT_S]
            p99_ms[policy] = quantile_ms(_collect_latencies(after), 0.99)
            errors[policy] = sum(not answer.result.ok for answer in after)
            shift[policy] = _measure_shift(after, duration_s)
    return {
        "p99_ms": p99_ms,
        "errors": errors,
        "seconds_to_shift": shift["default"],
        "seconds_to_shift_by_policy": shift,
        "requests_after_fault": len(after),
    }


async def _break_servers(pool: ServerPool) -> None:
    await asyncio.sleep(FAULT_S)
    await pool.set("server-3", service_factor=SLOW_FACTOR)
    await pool.set("server-8", fail_fast=True)


def _collect_latencies(answers: list[Answer]) -> list[float]:
    """Return latencies in seconds; fast errors count as errors only."""
    return [
        answer.result.latency_s
        for answer in answers
        if answer.result.ok or answer.result.latency_s >= 0.9 * DEADLINE_S
    ]


def _measure_shift(answers: list[Answer], end_s: float) -> float | None:
    """Return the time from which on the bad servers get little, None if never.

    Counted are bins of 100 ms; the mean of the bins up to one second later must be
    low, so that one empty bin does not end the count.
    """
    bins = int((end_s - FAULT_S) / BIN_S)
    total, bad = [0] * bins, [0] * bins
    for answer in answers:
        number = min(bins - 1, int((answer.call.at_s - FAULT_S) / BIN_S))
        total[number] += 1
        bad[number] += answer.result.server_id in ("server-3", "server-8")
    limit = SHIFTED * 2 / SERVERS
    for number in range(bins):
        span = slice(number, number + int(1 / BIN_S))
        if sum(bad[span]) <= limit * sum(total[span]):
            return round((number + 1) * BIN_S, 1)
    return None
