"""Experiment on head-of-line blocking of short requests by long ones."""

from __future__ import annotations

import random
from typing import Any

from bench._experiments import Options, experiments
from bench._load import CompletedRequest, plan_requests, quantile_ms, run_requests
from bench._server_pool import ServerPool

SERVERS = 15
SLOTS = 6
POLICIES = ("default", "least_requests", "round_robin")
DURATION_S = 2.5
# Gateways learn the cost of each request class in this time. Requests planned in it
# are not measured.
WARM_UP_S = 2.5
SHORT_S = 0.05
SHORT_REQUESTS_PER_S = 450.0
LONG_S = 1.5
LONG_REQUESTS_PER_S = 17.0
DEADLINE_S = 10.0


@experiments.register("blocking")
async def measure_blocking(options: Options) -> dict[str, Any]:
    """Measure head-of-line blocking of short requests by long requests.

    Runs short requests alone and mixed with requests that take 30 times as long. The
    short requests need 25 % of the slots, the long ones 28 %.
    """
    duration_s = WARM_UP_S + DURATION_S * options.scale
    rng = random.Random(options.seed)
    short = plan_requests(
        rng, SHORT_REQUESTS_PER_S, duration_s, "short", SHORT_S, DEADLINE_S
    )
    long = plan_requests(
        rng, LONG_REQUESTS_PER_S, duration_s, "long", LONG_S, DEADLINE_S
    )
    short_p99_ms: dict[str, dict[str, float]] = {}
    long_p99_ms: dict[str, float] = {}
    async with ServerPool(SERVERS, SLOTS) as pool:
        for policy in POLICIES:
            alone = await run_requests(policy, pool, short, options.seed)
            mixed = await run_requests(policy, pool, short + long, options.seed)
            short_p99_ms[policy] = {
                "alone": _compute_p99_ms(alone, "short"),
                "mixed": _compute_p99_ms(mixed, "short"),
            }
            long_p99_ms[policy] = _compute_p99_ms(mixed, "long")
    default_policy = short_p99_ms["default"]
    return {
        "short_p99_ms": short_p99_ms,
        "long_p99_ms": long_p99_ms,
        "ratio": round(default_policy["mixed"] / default_policy["alone"], 3),
    }


def _compute_p99_ms(
    completed_requests: list[CompletedRequest], request_class: str
) -> float:
    """Return the p99 of a class; a failed request counts with its deadline."""
    latencies = [
        completed.result.latency_s
        if completed.result.ok
        else completed.request.deadline_s
        for completed in completed_requests
        if completed.request.request_class == request_class
        and completed.request.at_s >= WARM_UP_S
    ]
    return quantile_ms(latencies, 0.99)
