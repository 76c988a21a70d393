from __future__ import annotations

import random
from typing import Any

from bench._experiments import Options, experiments
from bench._load import Answer, plan_calls, quantile_ms, run_calls
from bench._server_pool import ServerPool

SERVERS = 15
SLOTS = 6
POLICIES = ("default", "least_requests", "round_robin")
DURATION_S = 2.5
# The first part of the load is where costs are learned; it is not measured.
WARM_S = 2.5
SHORT_S = 0.05
SHORT_RATE = 450.0
LONG_S = 1.5
LONG_RATE = 17.0
DEADLINE_S = 10.0


@experiments.register("blocking")
async def measure_blocking(options: Options) -> dict[str, Any]:
    """Measure short requests alone and mixed with requests 30 times as long.

    Short requests need a quarter of the slots, long ones 28 %.
    """
    duration_s = WARM_S + DURATION_S * options.scale
    source = random.Random(options.seed)
    short = plan_calls(source, SHORT_RATE, duration_s, "short", SHORT_S, DEADLINE_S)
    long = plan_calls(source, LONG_RATE, duration_s, "long", LONG_S, DEADLINE_S)
    short_p99_ms: dict[str, dict[str, float]] = {}
    long_p99_ms: dict[str, float] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            alone = await run_calls(policy, pool, short, options.seed)
            mixed = await run_calls(policy, pool, short + long, options.seed)
            short_p99_ms[policy] = {
                "alone": _measure(alone, "short"),
                "mixed": _measure(mixed, "short"),
            }
            long_p99_ms[policy] = _measure(mixed, "long")
    ours = short_p99_ms["default"]
    return {
        "short_p99_ms": short_p99_ms,
        "long_p99_ms": long_p99_ms,
        "ratio": round(ours["mixed"] / ours["alone"], 3),
    }


def _measure(answers: list[Answer], request_class: str) -> float:
    """Return the 99th percentile; a request without response took its deadline."""
    latencies = [
        answer.result.latency_s if answer.result.ok else answer.call.deadline_s
        for answer in answers
        if answer.call.request_class == request_class and answer.call.at_s >= WARM_S
    ]
    return quantile_ms(latencies, 0.99)
