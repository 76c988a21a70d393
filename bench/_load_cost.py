"""Experiment on the cost of probes for backend servers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp

from bench._experiments import Options, experiments
from bench._in_process_gateway import EqualShares, InProcessGateway
from bench._load import GATEWAYS, plan_requests, run_requests
from bench._server_pool import ServerPool
from geraniumbend.routing import ProbeScheduler

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.routing import ServerView

SERVERS = 15
SLOTS = 6
# Highest share of a server's capacity that probes may take.
PROBE_BUDGET_SHARE = 0.01
# Time that a probe holds a slot of a stub server, in seconds.
PROBE_SERVICE_S = 0.006
SERVICE_S = 0.15
SETTLE_S = 15.5
WINDOW_S = 10.0
# Time after which the other gateways know a newly started one, in seconds.
GOSSIP_DELAY_S = 2.0
DEADLINE_S = 2.0


class GatewayProbers:
    """Probe schedulers of all gateways."""

    def __init__(self, gateways: list[InProcessGateway]) -> None:
        self.shares = [EqualShares(GATEWAYS) for _ in gateways]
        self._session = aiohttp.ClientSession()
        self.schedulers: list[ProbeScheduler] = []
        self._gateways = gateways
        for gateway, shares in zip(gateways, self.shares, strict=True):
            self._start(gateway, shares)

    def start_late_gateway(self) -> None:
        """Start the probes of one more gateway, which the others do not know yet."""
        self.shares.append(EqualShares(GATEWAYS + 1))
        self._start(self._gateways[0], self.shares[-1])

    def update_gateway_counts(self) -> None:
        """Set the current number of gateways on all gateways."""
        for shares in self.shares:
            shares.gateways = len(self.shares)

    async def stop(self) -> None:
        """Stop all probe schedulers and close the connections."""
        for scheduler in self.schedulers:
            scheduler.stop()
        await self._session.close()

    def _start(self, gateway: InProcessGateway, shares: EqualShares) -> None:
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

    The load is 10 % of the capacity while the probe intervals settle and for one
    measured window, then three times the capacity for another. One more gateway starts
    when the overload begins.
    """
    rng = random.Random(options.seed)
    capacity = SERVERS * SLOTS / SERVICE_S
    peak_at_s = SETTLE_S + WINDOW_S
    requests = plan_requests(
        rng, 0.1 * capacity, peak_at_s, "short", SERVICE_S, DEADLINE_S
    )
    peak_requests = plan_requests(
        rng, 3 * capacity, WINDOW_S + 0.5, "short", SERVICE_S, DEADLINE_S
    )
    requests += [
        request._replace(at_s=request.at_s + peak_at_s) for request in peak_requests
    ]
    observations: list[asyncio.Future[list[float]]] = []
    async with ServerPool(SERVERS, SLOTS) as pool:

        def start_observation(gateways: list[InProcessGateway]) -> None:
            observations.append(
                asyncio.ensure_future(_measure_probe_shares(pool, gateways))
            )

        completed_requests = await run_requests(
            "default", pool, requests, options.seed, start_observation
        )
        baseline_share, peak_share, total = await observations[0]
    refused = sum(completed.result.refused for completed in completed_requests)
    return {
        "calm": round(baseline_share, 5),
        "crest": round(peak_share, 5),
        "budget": PROBE_BUDGET_SHARE,
        "within_budget": max(baseline_share, peak_share) <= PROBE_BUDGET_SHARE,
        "probes": int(total),
        "refused": refused,
        "requests": len(completed_requests),
    }


async def _measure_probe_shares(
    pool: ServerPool, gateways: list[InProcessGateway]
) -> list[float]:
    """Return probe shares of the most probed server and the number of probes.

    The list holds the share at low load, the share at overload and the total.
    """
    probers = GatewayProbers(gateways)
    await asyncio.sleep(SETTLE_S)
    before = await _count_probes(pool)
    await asyncio.sleep(WINDOW_S)
    between = await _count_probes(pool)
    probers.start_late_gateway()
    await asyncio.sleep(GOSSIP_DELAY_S)
    probers.update_gateway_counts()
    await asyncio.sleep(WINDOW_S - GOSSIP_DELAY_S)
    after = await _count_probes(pool)
    await probers.stop()
    shares = [
        max(last - first for first, last in zip(earlier, later, strict=True))
        * PROBE_SERVICE_S
        / (SLOTS * WINDOW_S)
        for earlier, later in ((before, between), (between, after))
    ]
    return [*shares, sum(after)]


async def _count_probes(pool: ServerPool) -> list[int]:
    return [(await pool.read_counters(name))["probes"] for name in sorted(pool.servers)]
