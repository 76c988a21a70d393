"""Load of callers with little time on real parts, run as a program.

``python -m tests.platform.callers_load`` prints what callers get at several loads, as a
table. It is no test; figures in the documentation come from it.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
import unittest
from typing import NamedTuple

from tests.platform.test_callers_time import (
    SERVERS,
    SLOTS,
    WORK_S,
    CallersTimeTest,
)

LOADS = (0.5, 1.0, 1.5, 3.0)
SEEDS = (1, 2, 3)
PLAYED_S = 10.0
CALLER_S = 2.5
OBJECTIVE_MS = 400
HONOURED_SHARE = 1 / 3
# Share of the caller's time after which a refused caller counts as held.
HELD_SHARE = 0.5


class Outcome(NamedTuple):
    served: bool
    refused: bool
    took_s: float
    held: bool


class CallersLoad(CallersTimeTest):
    """Open load with random arrivals on one gateway."""

    async def runTest(self):
        logging.disable(logging.CRITICAL)
        print("load returns  served refused   held  other    p50    p99  refused after")
        for returns in (False, True):
            for load in LOADS:
                outcomes = []
                for seed in SEEDS:
                    outcomes += await self.play(load, seed, returns)
                    await asyncio.sleep(CALLER_S)
                print(describe(load, returns, outcomes), flush=True)

    async def play(self, load, seed, returns):
        rng = random.Random(seed)
        rate = load * SERVERS * SLOTS / WORK_S
        begin = time.monotonic()
        tasks, due = [], 0.0
        while due < PLAYED_S:
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, begin + due - time.monotonic()))
            tasks.append(asyncio.ensure_future(self.call_once(returns)))
        return await asyncio.gather(*tasks)

    async def call_once(self, returns):
        """Send a request; return once after a refusal, as told."""
        begin = time.monotonic()
        path = f"/safe-{OBJECTIVE_MS}/x"
        first = result = await self.ask(path, "safe", CALLER_S, id(object()))
        left_s = begin + CALLER_S - time.monotonic()
        if returns and result.status == 503 and left_s > 0:
            delay_s = min(float(result.retry_after or 0.0), HONOURED_SHARE * left_s)
            await asyncio.sleep(delay_s)
            left_s = begin + CALLER_S - time.monotonic()
            result = await self.ask(path, "safe", left_s, id(object()))
        took_s = time.monotonic() - begin
        served = result.status == 200 and took_s <= CALLER_S
        held = first.status == 503 and first.took_s > HELD_SHARE * CALLER_S
        refused_s = first.took_s if first.status == 503 else took_s
        return Outcome(
            served, result.status == 503, took_s if served else refused_s, held
        )


def describe(load, returns, outcomes):
    count = len(outcomes)
    served = sorted(entry.took_s for entry in outcomes if entry.served)
    refused = sorted(entry.took_s for entry in outcomes if entry.refused)
    other = count - len(served) - len(refused)
    held = sum(entry.held for entry in outcomes)
    after_s = refused[int(0.95 * len(refused))] if refused else 0.0
    return (
        f"{load:4} {'once' if returns else 'no':7}"
        f"{len(served) / count:8.3f}{len(refused) / count:8.3f}{held / count:7.3f}"
        f"{other / count:7.3f}{served[len(served) // 2]:7.3f}"
        f"{served[int(0.99 * len(served))]:7.3f}  95 in 100 within {after_s:.3f} s"
    )


if __name__ == "__main__":
    unittest.TextTestRunner().run(CallersLoad())
