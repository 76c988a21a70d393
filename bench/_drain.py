"""Experiment on planned stops and departures of backend servers."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import Any

import aiohttp

from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._stub_backend_server import StubBackendServer
from geraniumbend.errors import UnavailableError

GATEWAYS = 13
SERVERS = 6
CALLERS_PER_GATEWAY = 2
LONG_MS = 1_500
OBSERVATION_S = 5.0
READY_TIMEOUT_S = 15.0
CONFIGURATION = """\
[groups.classes]
selector = "app=classes"

[rules.class-lists]
group = "classes"
request_class = "short"
deadline_s = 8.0
match = { path_prefix = "/classes/" }
"""


class BackgroundLoad:
    """Sends short and long requests through all gateways until stopped.

    Parameters
    ----------
    callers : list of str
        Caller listeners as ``ip:port``.
    """

    def __init__(self, callers: list[str]) -> None:
        self.callers = callers
        self.outcomes: Counter[str] = Counter()
        self.running = True

    async def run(self) -> None:
        """Run all callers; each sends its requests sequentially."""
        async with aiohttp.ClientSession() as session:
            tasks = [
                self._send_sequentially(session, address, number)
                for address in self.callers
                for number in range(CALLERS_PER_GATEWAY)
            ]
            await asyncio.gather(*tasks)

    async def _send_sequentially(
        self, session: aiohttp.ClientSession, address: str, number: int
    ) -> None:
        count = 0
        while self.running:
            count += 1
            # One caller of each gateway sends every 40th request as a long one.
            milliseconds = LONG_MS if number == 0 and count % 40 == 1 else 10
            url = f"http://{address}/classes/{count}?ms={milliseconds}"
            self.outcomes[await self._send(session, url)] += 1
            await asyncio.sleep(0.02)

    async def _send(self, session: aiohttp.ClientSession, url: str) -> str:
        try:
            async with session.get(url) as response:
                body = await response.read()
                if response.status == 200:
                    return "answered"
                refusal = json.loads(body)
                if refusal.get("run") == "not_run":
                    return f"refused: {refusal.get('detail')}"
                return f"cut off: {response.status} {refusal.get('detail')}"
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return f"cut off: {type(error).__name__}"


def count_outcomes(outcomes: Counter[str], prefix: str) -> int:
    """Return the number of requests whose outcome starts with a prefix."""
    return sum(n for outcome, n in outcomes.items() if outcome.startswith(prefix))


async def wait_until_serving(callers: list[str]) -> None:
    """Wait until a request through every gateway succeeds.

    Raises
    ------
    UnavailableError
        If a request through a gateway still fails after 15 s.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        for address in callers:
            url = f"http://{address}/classes/first?ms=1"
            while True:
                async with session.get(url) as response:
                    if response.status == 200:
                        break
                if time.monotonic() > deadline:
                    raise UnavailableError(
                        f"{address} does not respond with 200", "see its log"
                    )
                await asyncio.sleep(0.1)


@experiments.register("drain")
async def measure_drain(options: Options) -> dict[str, Any]:
    """Drain one backend server under load at 13 gateways.

    The draining server announces it to one gateway only.

    Parameters
    ----------
    options : Options
        Seed, and scale of the load and observation times.

    Returns
    -------
    dict
        ``last_new_work_s`` is the time from the announcement to the last request that
        the draining server started. ``cut_off`` counts requests that got neither a
        complete response nor a refusal with ``not_run``.
    """
    cluster = Cluster(gateways=GATEWAYS, controls=3)
    servers = [
        StubBackendServer(
            f"server-{number}",
            {"app": "classes"},
            announce_to=cluster.announces,
            seed=options.seed + number,
        )
        for number in range(SERVERS)
    ]
    try:
        await cluster.start()
        for server in servers:
            await server.start()
        file = cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        code, output = await cluster.operate("apply", str(file))
        if code:
            raise UnavailableError(f"apply failed: {output}", "see the logs")
        await cluster.wait_until_ready()
        await wait_until_serving(cluster.callers)
        load = BackgroundLoad(cluster.callers)
        running = asyncio.ensure_future(load.run())
        await asyncio.sleep(3.0 * options.scale)
        drained = servers[0]
        runs_before = len(drained.runs)
        drained.draining = True
        drain_started_s = time.monotonic()
        await drained.announce()
        await asyncio.sleep(OBSERVATION_S * options.scale)
        load.running = False
        await running
    finally:
        codes = await cluster.stop()
        for server in servers:
            await server.stop()
    start_delays_s = [
        run.started_s - drain_started_s for run in drained.runs[runs_before:]
    ]
    return {
        "last_new_work_s": round(max(start_delays_s, default=0.0), 3),
        "cut_off": count_outcomes(load.outcomes, "cut off"),
        "refused_not_run": count_outcomes(load.outcomes, "refused"),
        "answered": load.outcomes["answered"],
        "other_outcomes": {k: n for k, n in load.outcomes.items() if k != "answered"},
        "runs_before_drain": runs_before,
        "runs_after_drain": len(start_delays_s),
        "gateways": GATEWAYS,
        "exit_codes_nonzero": sum(1 for exit_code in codes if exit_code),
    }
