"""Demonstration of a small cluster, from start to stop."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

import aiohttp

from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._stub_backend_server import StubBackendServer

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
RELABELED_SERVER = "classes-0"


class Traffic:
    """Opens sheets through all gateways and counts the responses.

    Parameters
    ----------
    callers : list of str
        Caller listeners as ``ip:port``.
    session : aiohttp.ClientSession
        HTTP session for all requests.
    """

    def __init__(self, callers: list[str], session: aiohttp.ClientSession) -> None:
        self._callers = callers
        self._session = session
        self.whole = 0
        self.responses_by_server: Counter[str] = Counter()

    async def open_sheets(self, first: int, last: int) -> None:
        """Open sheets sequentially; send the requests of each sheet concurrently."""
        for sheet in range(first, last):
            requests = (
                self._fetch(sheet, number) for number in range(REQUESTS_PER_SHEET)
            )
            self.whole += all(await asyncio.gather(*requests))
            await asyncio.sleep(PAUSE_S)

    async def send_order(self, gateway: int, key: str) -> str:
        """Send an order through a gateway and return the response status and text."""
        url = f"http://{self._callers[gateway]}/entries/7?ms=30"
        headers = {"Idempotency-Key": key, "Authorization": "Bearer breeder"}
        async with self._session.post(url, data=b"fee", headers=headers) as response:
            return f"{response.status} {await response.text()}"

    async def _fetch(self, sheet: int, number: int) -> bool:
        address = self._callers[(sheet + number) % len(self._callers)]
        path = f"/classes/{sheet}/{number}"
        headers = {"Sheet-Open": f"open-{sheet}"}
        url = f"http://{address}{path}?ms=20"
        async with self._session.get(url, headers=headers) as response:
            text = await response.text()
            self.responses_by_server[text.split(" ")[0]] += 1
            return response.status == 200 and path in text


@experiments.register("demo")
async def run_demo(options: Options) -> dict[str, Any]:
    """Run a small cluster end to end and print each step with its result."""
    started_s = time.monotonic()
    print("3 control hosts, 3 gateways, 4 backend servers on loopback")
    cluster = Cluster(gateways=3, controls=3)
    servers: list[StubBackendServer] = []
    try:
        await cluster.start()
        servers = await _start_servers(cluster.announces)
        succeeded = await _run_scenario(cluster, servers)
    finally:
        codes = await cluster.stop()
        for server in servers:
            await server.stop()
    duration_s = time.monotonic() - started_s
    print(f"process exit codes {codes}, total time {duration_s:.1f} s")
    return {"exit_code": 0 if succeeded and not any(codes) else 1}


async def _start_servers(announces: tuple[str, ...]) -> list[StubBackendServer]:
    names = ["classes-0", "classes-1", "classes-2", "entries-0"]
    servers = [
        StubBackendServer(
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


async def _run_scenario(cluster: Cluster, servers: list[StubBackendServer]) -> bool:
    file = cluster.folder / "shows.toml"
    file.write_text(CONFIGURATION)
    if not await _run_command(cluster, "apply", str(file), "--wait"):
        return False
    await cluster.wait_until_ready()
    await asyncio.sleep(1.0)
    async with aiohttp.ClientSession() as session:
        traffic = Traffic(cluster.callers, session)
        await traffic.open_sheets(0, SHEETS // 2)
        print(f"{SHEETS // 2} sheets opened: {_describe(traffic.responses_by_server)}")
        open_task = asyncio.create_task(traffic.open_sheets(SHEETS // 2, SHEETS))
        relabeled = await _run_command(
            cluster, "label", RELABELED_SERVER, "wave=old", "--wait"
        )
        in_force_s = time.monotonic()
        await open_task
        late_requests = _count_runs_after(servers[0], in_force_s)
        first = await traffic.send_order(0, "entry-7")
        second = await traffic.send_order(1, "entry-7")
    print(f"{SHEETS} sheets opened, {traffic.whole} complete")
    print(f"  {_describe(traffic.responses_by_server)}")
    print(
        f"  {late_requests} requests started on {RELABELED_SERVER} after the label was "
        "in force"
    )
    runs = len(servers[3].runs)
    print(
        f"one order sent through two gateways: runs {runs}, same response "
        f"{first == second}"
    )
    all_complete = traffic.whole == SHEETS
    return (
        all_complete
        and relabeled
        and late_requests == 0
        and runs == 1
        and first == second
    )


async def _run_command(cluster: Cluster, *arguments: str) -> bool:
    code, output = await cluster.operate(*arguments)
    command_line = " ".join(word.rpartition("/")[2] for word in arguments)
    print(f"$ geraniumbend {command_line}")
    print("".join(f"  {line}\n" for line in output.strip().splitlines()), end="")
    return code == 0


def _count_runs_after(server: StubBackendServer, since_s: float) -> int:
    return sum(run.started_s > since_s for run in server.runs)


def _describe(responses_by_server: Counter[str]) -> str:
    return ", ".join(
        f"{name} {count}" for name, count in sorted(responses_by_server.items())
    )
