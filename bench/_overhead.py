"""Experiment on the latency that a gateway adds."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path
from typing import Any

from bench._checks import require_success
from bench._cluster import Cluster, reserve_port
from bench._experiments import Options, experiments
from bench._raw_client import RawClient, Sample, compute_quantile
from bench._raw_server import start_raw_server

CONFIGURATION = """\
[groups.raw]
selector = "app=raw"

[rules.raw]
group = "raw"
deadline_s = 5.0
match = { path_prefix = "/" }
"""
GOAL_P99_MS = 1.1
# Requests per second through the gateway, and as many direct ones. A gateway of the
# larger deployment gets about this rate: 90 slots with 20 ms per request, spread over
# 13 gateways.
REQUESTS_PER_S = 350.0
LOAD_S = 20.0
WARM_UP_S = 2.0
SERVERS = 2


@experiments.register("overhead")
async def measure_overhead(options: Options) -> dict[str, Any]:
    """Compare the latency of requests through a gateway with direct requests."""
    cluster = Cluster(gateways=1, controls=1)
    ports = [reserve_port() for _ in range(SERVERS)]
    servers = []
    try:
        await cluster.start()
        for port in ports:
            servers.append(await start_raw_server(port, cluster.announces[0]))
        file = cluster.folder / "raw.toml"
        file.write_text(CONFIGURATION)
        code, output = await cluster.operate("apply", str(file))
        if code:
            return {"exit_code": code, "output": output}
        await cluster.wait_until_ready()
        await asyncio.sleep(1.5)
        running = cluster.gateways[0].running
        assert running is not None
        proxied = RawClient(cluster.callers[0])
        direct = [RawClient(f"127.0.0.1:{port}") for port in ports]
        await _run_load(proxied, direct, WARM_UP_S * options.scale, options.seed)
        before_s = read_cpu_seconds(running.pid)
        samples = await _run_load(proxied, direct, LOAD_S * options.scale, options.seed)
        cpu_s = read_cpu_seconds(running.pid) - before_s
    finally:
        await cluster.stop()
        for server in servers:
            server.terminate()
            await server.wait()
    return summarize(*samples, cpu_s)


def read_cpu_seconds(process_id: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _run_load(
    proxied: RawClient, direct: list[RawClient], load_s: float, seed: int
) -> tuple[list[Sample], list[Sample]]:
    """Send Poisson arrivals, alternately through the gateway and directly."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    tasks: tuple[list[asyncio.Task[Sample]], list[asyncio.Task[Sample]]] = ([], [])
    next_s = loop.time()
    end_s = next_s + load_s
    number = 0
    while next_s < end_s:
        next_s += rng.expovariate(2 * REQUESTS_PER_S)
        delay_s = next_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        client = direct[number // 2 % len(direct)] if number % 2 else proxied
        tasks[number % 2].append(asyncio.create_task(client.measure(f"/{number}")))
        number += 1
    proxied_samples = await asyncio.gather(*tasks[0])
    return proxied_samples, await asyncio.gather(*tasks[1])


def summarize(
    proxied: list[Sample], direct: list[Sample], cpu_s: float
) -> dict[str, Any]:
    """Summarize the samples of a load.

    Parameters
    ----------
    proxied, direct : list of Sample
        Requests through the gateway and directly to a server.
    cpu_s : float
        CPU time that the gateway used for them, in seconds.

    Raises
    ------
    ExperimentError
        If a request failed, or one list is more than 10 % shorter than the other.
    """
    statuses = [sample.status for sample in proxied + direct]
    require_success(statuses, 2 * max(len(proxied), len(direct)))
    failed = sum(status != 200 for status in statuses)
    proxied_s = [sample.seconds for sample in proxied]
    direct_s = [sample.seconds for sample in direct]
    result: dict[str, Any] = {
        "requests": len(proxied_s),
        "failed": failed,
        "requests_per_core_second": round(len(proxied_s) / cpu_s, 1) if cpu_s else 0,
        "goal_p99_ms": GOAL_P99_MS,
    }
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        proxied_ms = compute_quantile(proxied_s, quantile) * 1000
        direct_ms = compute_quantile(direct_s, quantile) * 1000
        result[f"direct_{name}_ms"] = round(direct_ms, 3)
        result[f"added_{name}_ms"] = round(proxied_ms - direct_ms, 3)
    return result
