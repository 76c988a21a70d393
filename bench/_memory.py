"""Experiment on the resident memory of each role."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp

from bench._cluster import Cluster, Process
from bench._experiments import Options, experiments
from bench._stub_backend_server import StubBackendServer

CONFIGURATION = """\
[groups.classes]
selector = "app=classes"
[rules.all]
group = "classes"
match = { path_prefix = "/" }
"""
REQUESTS = 2_000
PARALLEL = 20


@experiments.register("memory")
async def measure_memory(options: Options) -> dict[str, Any]:
    """Measure the resident memory of each role before and after load."""
    cluster = Cluster(gateways=1, controls=3)
    server = StubBackendServer(
        "classes-0", {"app": "classes"}, slots=50, announce_to=cluster.announces
    )
    try:
        await cluster.start()
        await server.start()
        file = cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        await cluster.operate("apply", str(file), "--wait")
        await cluster.wait_until_ready()
        await asyncio.sleep(1.5)
        at_rest = _read_all(cluster)
        answered = await _send_requests(cluster.callers[0])
        after_load = _read_all(cluster)
    finally:
        await cluster.stop()
        await server.stop()
    return {"at_rest_mb": at_rest, "after_mb": after_load, "answered": answered}


def read_resident_mb(process: Process) -> float:
    """Return the resident memory of a process in MB (10^6 bytes)."""
    assert process.running is not None
    text = Path(f"/proc/{process.running.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


def _read_all(cluster: Cluster) -> dict[str, float]:
    return {
        "gateway": round(read_resident_mb(cluster.gateways[0]), 1),
        "control": round(max(map(read_resident_mb, cluster.controls)), 1),
    }


async def _send_requests(caller: str) -> int:
    async def send(session: aiohttp.ClientSession, number: int) -> bool:
        async with session.get(f"http://{caller}/{number}?bytes=500") as response:
            return len(await response.read()) == 500

    answered = 0
    async with aiohttp.ClientSession() as session:
        for first in range(0, REQUESTS, PARALLEL):
            numbers = range(first, first + PARALLEL)
            answered += sum(await asyncio.gather(*(send(session, n) for n in numbers)))
    return answered
