from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

import aiohttp

from bench._backend_server import BackendServerStandIn
from bench._cluster import Cluster
from bench._experiments import Options, experiments

CONFIGURATION = """\
[groups.classes]
selector = "app=classes"

[rules.class-lists]
group = "classes"
request_class = "short"
deadline_s = 5.0
match = { path_prefix = "/classes/" }
"""
SHEETS = 30
REQUESTS_PER_SHEET = 12


@experiments.register("demo")
async def demonstrate(options: Options) -> dict[str, Any]:
    """Run a small cluster end to end and report what happened."""
    started_s = time.monotonic()
    cluster = Cluster(gateways=3, controls=3)
    servers: list[BackendServerStandIn] = []
    try:
        await cluster.start()
        servers = await _start_servers(cluster.announces)
        file = cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        code, output = await cluster.operate("apply", str(file))
        print(f"$ geraniumbend apply classes.toml\n{output.strip()}")
        if code:
            return {"exit_code": code}
        await cluster.wait_until_ready()
        await asyncio.sleep(2.0)
        whole, answered_by = await _open_sheets(cluster.callers)
    finally:
        codes = await cluster.stop()
        for server in servers:
            await server.stop()
    print(f"sheets opened {SHEETS}, answered whole {whole}")
    for name, count in sorted(answered_by.items()):
        print(f"  {name}: {count} answers")
    print(f"exit codes {codes}, {time.monotonic() - started_s:.1f} s")
    succeeded = whole == SHEETS and not any(codes)
    return {"whole_sheets": whole / SHEETS, "exit_code": 0 if succeeded else 1}


async def _start_servers(announces: tuple[str, ...]) -> list[BackendServerStandIn]:
    servers = [
        BackendServerStandIn(
            f"classes-{number}",
            {"app": "classes"},
            announce_to=announces,
            failure_domain=f"domain-{number % 3}",
            seed=number,
        )
        for number in range(3)
    ]
    for server in servers:
        await server.start()
    return servers


async def _open_sheets(callers: list[str]) -> tuple[int, Counter[str]]:
    answered_by: Counter[str] = Counter()
    whole = 0
    async with aiohttp.ClientSession() as session:

        async def fetch(sheet: int, part: int) -> bool:
            address = callers[(sheet + part) % len(callers)]
            url = f"http://{address}/classes/{sheet}/{part}?ms=20"
            headers = {"Sheet-Open": f"open-{sheet}"}
            async with session.get(url, headers=headers) as answer:
                text = await answer.text()
                answered_by[text.split(" ")[0]] += 1
                return answer.status == 200 and f"/classes/{sheet}/{part}" in text

        for sheet in range(SHEETS):
            parts = (fetch(sheet, part) for part in range(REQUESTS_PER_SHEET))
            whole += all(await asyncio.gather(*parts))
            await asyncio.sleep(0.05)
    return whole, answered_by
