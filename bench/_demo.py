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
selector = "app=classes,wave!=old"

[groups.entries]
selector = "app=entries"

[rules.class-lists]
group = "classes"
request_class = "class-list"
deadline_s = 5.0
match = { path_prefix = "/classes/" }

[rules.entries]
group = "entries"
request_class = "order"
match = { path_prefix = "/entries/", methods = ["POST"] }
order = { key_header = "Idempotency-Key" }
"""
SHEETS = 40
REQUESTS_PER_SHEET = 12
PAUSE_S = 0.05
RELABELLED = "classes-0"


class Traffic:
    """Opens sheets through all gateways and counts the answers.

    Parameters
    ----------
    callers : list of str
        Caller listeners, ip:port each.
    session : aiohttp.ClientSession
        Session of the callers.
    """

    def __init__(self, callers: list[str], session: aiohttp.ClientSession) -> None:
        self._callers = callers
        self._session = session
        self.whole = 0
        self.answered_by: Counter[str] = Counter()

    async def open_sheets(self, first: int, last: int) -> None:
        """Open sheets one after the other, the requests of each at once."""
        for sheet in range(first, last):
            parts = (self._fetch(sheet, part) for part in range(REQUESTS_PER_SHEET))
            self.whole += all(await asyncio.gather(*parts))
            await asyncio.sleep(PAUSE_S)

    async def send_order(self, gateway: int, key: str) -> str:
        """Send an order through a gateway and return the answer's text."""
        url = f"http://{self._callers[gateway]}/entries/7?ms=30"
        headers = {"Idempotency-Key": key, "Authorization": "Bearer breeder"}
        async with self._session.post(url, data=b"fee", headers=headers) as answer:
            return f"{answer.status} {await answer.text()}"

    async def _fetch(self, sheet: int, part: int) -> bool:
        address = self._callers[(sheet + part) % len(self._callers)]
        path = f"/classes/{sheet}/{part}"
        headers = {"Sheet-Open": f"open-{sheet}"}
        url = f"http://{address}{path}?ms=20"
        async with self._session.get(url, headers=headers) as answer:
            text = await answer.text()
            self.answered_by[text.split(" ")[0]] += 1
            return answer.status == 200 and path in text


@experiments.register("demo")
async def demonstrate(options: Options) -> dict[str, Any]:
    """Run a small cluster end to end and report what happened."""
    started_s = time.monotonic()
    print("3 control hosts, 3 gateways, 4 backend servers on loopback")
    cluster = Cluster(gateways=3, controls=3)
    servers: list[BackendServerStandIn] = []
    try:
        await cluster.start()
        servers = await _start_servers(cluster.announces)
        succeeded = await _show(cluster, servers)
    finally:
        codes = await cluster.stop()
        for server in servers:
            await server.stop()
    took_s = time.monotonic() - started_s
    print(f"exit codes of the processes {codes}, {took_s:.1f} s in all")
    return {"exit_code": 0 if succeeded and not any(codes) else 1}


async def _start_servers(announces: tuple[str, ...]) -> list[BackendServerStandIn]:
    names = ["classes-0", "classes-1", "classes-2", "entries-0"]
    servers = [
        BackendServerStandIn(
            name,
            {"app": name.partition("-")[0]},
            announce_to=announces,
            failure_domain=f"domain-{number % 3}",
            seed=number,
        )
        for number, name in enumerate(names)
    ]
    for server in servers:
        await server.start()
    return servers


async def _show(cluster: Cluster, servers: list[BackendServerStandIn]) -> bool:
    file = cluster.folder / "shows.toml"
    file.write_text(CONFIGURATION)
    if not await _operate(cluster, "apply", str(file), "--wait"):
        return False
    await cluster.wait_until_ready()
    await asyncio.sleep(1.0)
    async with aiohttp.ClientSession() as session:
        traffic = Traffic(cluster.callers, session)
        await traffic.open_sheets(0, SHEETS // 2)
        print(f"{SHEETS // 2} sheets opened: {_describe(traffic.answered_by)}")
        opening = asyncio.create_task(traffic.open_sheets(SHEETS // 2, SHEETS))
        labelled = await _operate(cluster, "label", RELABELLED, "wave=old", "--wait")
        in_force_s = time.monotonic()
        await opening
        late = _count_after(servers[0], in_force_s)
        first = await traffic.send_order(0, "entry-7")
        again = await traffic.send_order(1, "entry-7")
    print(f"{SHEETS} sheets opened, {traffic.whole} answered whole")
    print(f"  {_describe(traffic.answered_by)}")
    print(f"  {late} requests started on {RELABELLED} after the label was in force")
    runs = len(servers[3].runs)
    print(
        f"one order sent through two gateways: run {runs} time, same answer "
        f"{first == again}"
    )
    whole = traffic.whole == SHEETS
    return whole and labelled and late == 0 and runs == 1 and first == again


async def _operate(cluster: Cluster, *arguments: str) -> bool:
    code, output = await cluster.operate(*arguments)
    shown = " ".join(word.rpartition("/")[2] for word in arguments)
    print(f"$ geraniumbend {shown}")
    print("".join(f"  {line}\n" for line in output.strip().splitlines()), end="")
    return code == 0


def _count_after(server: BackendServerStandIn, moment_s: float) -> int:
    return sum(run.started_s > moment_s for run in server.runs)


def _describe(answered_by: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(answered_by.items()))
