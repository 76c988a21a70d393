from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp

from bench._experiments import Options, experiments
from bench._load import GATEWAYS, plan_calls, run_calls
from bench._server_pool import ServerPool
from bench._small_gateway import EqualShares, SmallGateway
from geraniumbend.routing import ProbeScheduler

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.routing import ServerView

SERVERS = 15
SLOTS = 6
BUDGET = 0.01
# Time in a slot that a probe takes on a stand-in, in seconds.
PROBE_S = 0.006
SERVICE_S = 0.15
SETTLE_S = 15.5
WINDOW_S = 10.0
# The other gateways learn of one that starts after this time, in seconds.
GOSSIP_S = 2.0
DEADLINE_S = 2.0


class Probers:
    """Probe schedulers of all gateways."""

    def __init__(self, gateways: list[SmallGateway]) -> None:
        self.shares = [EqualShares(GATEWAYS) for _ in gateways]
        self._session = aiohttp.ClientSession()
        self.schedulers: list[ProbeScheduler] = []
        self._gateways = gateways
        for gateway, shares in zip(gateways, self.shares, strict=True):
            self._start(gateway, shares)

    def start_late_gateway(self) -> None:
        """Start one more gateway, which the others do not know yet."""
        self.shares.append(EqualShares(GATEWAYS + 1))
        self._start(self._gateways[0], self.shares[-1])

    def spread_news(self) -> None:
        """Let all gateways know the present number."""
        for shares in self.shares:
            shares.gateways = len(self.shares)

    async def stop(self) -> None:
        """Stop all probes."""
        for scheduler in self.schedulers:
            scheduler.stop()
        await self._session.close()

    def _start(self, gateway: SmallGateway, shares: EqualShares) -> None:
        scheduler = ProbeScheduler(gateway.table, shares, gateway.timers)
        scheduler.start(self._send)
        self.schedulers.append(scheduler)

    async def _send(self, view: ServerView) -> Mapping[str, float] | None:
        url = f"http://127.0.0.1:{view.server.port}/load"
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                values: dict[str, float] = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None
        return values


@experiments.register("load_cost")
async def measure_load_cost(options: Options) -> dict[str, Any]:
    """Measure the share of a server's capacity that probes of all gateways take.

    A light load runs while the gateways settle and for one window, then three times
    the capacity for another. One more gateway starts with the crest.
    """
    source = random.Random(options.seed)
    capacity = SERVERS * SLOTS / SERVICE_S
    crest_at_s = SETTLE_S + WINDOW_S
    calls = plan_calls(
        source, 0.1 * capacity, crest_at_s, "short", SERVICE_S, DEADLINE_S
    )
    crest = plan_calls(
        source, 3 * capacity, WINDOW_S + 0.5, "short", SERVICE_S, DEADLINE_S
    )
    calls += [call._replace(at_s=call.at_s + crest_at_s) for call in crest]
    found: list[asyncio.Future[list[float]]] = []
    async with ServerPool(SERVERS, SLOTS) as pool:

        def observe(gateways: list[SmallGateway]) -> None:
            found.append(asyncio.ensure_future(_observe(pool, gateways)))

        answers = await run_calls("default", pool, calls, options.seed, observe)
        calm_share, crest_share, total = await found[0]
    refused = sum(answer.result.refused for answer in answers)
    return {
        "calm": round(calm_share, 5),
        "crest": round(crest_share, 5),
        "budget": BUDGET,
        "within_budget": max(calm_share, crest_share) <= BUDGET,
        "probes": int(total),
        "refused": refused,
        "requests": len(answers),
    }


async def _observe(pool: ServerPool, gateways: list[SmallGateway]) -> list[float]:
    """Return the highest probe shares of a server, calm and at the crest."""
    probers = Probers(gateways)
    await asyncio.sleep(SETTLE_S)
    before = await _count_probes(pool)
    await asyncio.sleep(WINDOW_S)
    between = await _count_probes(pool)
    probers.start_late_gateway()
    await asyncio.sleep(GOSSIP_S)
    probers.spread_news()
    await asyncio.sleep(WINDOW_S - GOSSIP_S)
    after = await _count_probes(pool)
    await probers.stop()
    shares = [
        max(last - first for first, last in zip(one, other, strict=True))
        * PROBE_S
        / (SLOTS * WINDOW_S)
        for one, other in ((before, between), (between, after))
    ]
    return [*shares, sum(after)]


async def _count_probes(pool: ServerPool) -> list[int]:
    return [(await pool.read(name))["probes"] for name in sorted(pool.servers)]
