from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from bench._checks import ExperimentError
from bench._cluster import SECRET, reserve_port
from bench._experiments import Options, experiments
from bench._soak_faults import faults
from bench._soak_ledger import Ledger
from bench._soak_servers import SoakServer, build_configuration

CONTROLS = (1, 2, 3)
GATEWAYS = (11, 12, 13)
SERVERS = 6
CALLERS = 12
SOAK_S = 25.0
HEAL_S = 6.0
CHECK_S = 3.0
# Longest time until a control host that lost its disk is a voter again.
READMITTED_S = 30.0
# Share of idempotent requests that succeed once all faults are over.
RECOVERED_SHARE = 0.95
REQUEST_TIMEOUT_S = 2.0


class Host(NamedTuple):
    """Host of the soak.

    Parameters
    ----------
    number : int
        Last part of its address 127.0.2.N.
    role : str
        ``control`` or ``gateway``.
    """

    number: int
    role: str

    @property
    def ip(self) -> str:
        """Address on loopback."""
        return f"127.0.2.{self.number}"


class Soak:
    """Real processes on loopback under random faults from outside.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        # A control host has lost its disk and is not a member again yet.
        self.catching_up = False
        self._log_sizes: dict[Host, int] = {}
        # Two faults must not end and start the process of one host.
        self._ending: set[Host] = set()
        self.ledger = Ledger()
        self.folder = Path(tempfile.mkdtemp(prefix="geraniumbend-soak-"))
        self.hosts = [Host(number, "control") for number in CONTROLS]
        self.hosts += [Host(number, "gateway") for number in GATEWAYS]
        self.servers: list[SoakServer] = []
        self.faults: list[str] = []
        self._running: dict[Host, asyncio.subprocess.Process] = {}
        self._ports = {
            name: reserve_port() for name in ("peer", "control", "front", "ready")
        }
        self._bootstrap = True
        self._acknowledged = -1
        self._version = 0
        self._requests = 0

    async def start(self) -> None:
        """Start all processes and servers and install a configuration."""
        for host in self.hosts:
            await self.start_process(host)
        self._bootstrap = False
        for number in range(SERVERS):
            await self.add_server("one" if number % 2 else "two")
        async with asyncio.timeout(20):
            while not await self.change_configuration():
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        """End everything that was started."""
        for server in self.servers:
            await server.stop()
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def start_process(self, host: Host) -> None:
        """Start the process of a host."""
        path = self.folder / f"{host.role}-{host.number}.json"
        path.write_text(json.dumps(self._describe(host)))
        with open(path.with_suffix(".log"), "ab") as log:
            self._log_sizes[host] = log.tell()
            self._running[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "geraniumbend",
                host.role,
                str(path),
                stdout=log,
                stderr=log,
                env={**os.environ, "GERANIUMBEND_CLUSTER_KEY": SECRET},
            )

    async def end_process(self, host: Host, number: int) -> None:
        """Send a signal that ends a process and wait for its end."""
        process = self._running[host]
        self._ending.add(host)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        code = await process.wait()
        self._ending.discard(host)
        loading = code == -signal.SIGTERM and not self._has_logged(host)
        if number == signal.SIGTERM and code != 0 and not loading:
            self.ledger.report("shutdown", f"{host} ended with {code}")

    async def wait_readmitted(self, host: Host) -> None:
        """Wait until a control host that lost its disk is a voter again."""
        end_s = time.monotonic() + READMITTED_S
        while not self._is_readmitted(host):
            if time.monotonic() > end_s:
                self.ledger.report("recovery", f"{host} is no voter again")
                return
            await asyncio.sleep(0.2)

    def _is_readmitted(self, host: Host) -> bool:
        """Tell by the member lists in its log, which begin with the first one."""
        own = f'"{host.ip}:{self._ports["peer"]}": '
        text = (self.folder / f"{host.role}-{host.number}.log").read_bytes()
        lines = text[self._log_sizes[host] :].decode().splitlines()
        lists = [line for line in lines if '"event": 504' in line]
        learnt = any(f'{own}"learner"' in line for line in lists)
        return learnt and f'{own}"voter"' in lists[-1]

    def _has_logged(self, host: Host) -> bool:
        """Tell whether a process got as far as its first line.

        Before that the interpreter starts, and no program can handle a signal.
        """
        path = self.folder / f"{host.role}-{host.number}.log"
        return path.stat().st_size > self._log_sizes[host]

    async def add_server(self, service: str) -> None:
        """Start one more backend server."""
        controls = [f"127.0.2.{n}:{self._ports['control']}" for n in CONTROLS]
        server = SoakServer(
            f"i-{len(self.servers)}",
            service,
            reserve_port(),
            reserve_port(),
            controls,
            self.ledger.note_run,
            self.random.getrandbits(32),
        )
        self.servers.append(server)
        await server.start()

    async def change_configuration(self) -> bool:
        """Send the next version to any control host; tell whether it was accepted."""
        self._version += self.random.randint(1, 3)
        version = self._version
        document = build_configuration(version, self.random.randint(0, 20))
        status, _ = await self._call("POST", "/-/config/put", document)
        if status == 200:
            self._acknowledged = max(self._acknowledged, version)
        elif status not in (0, 503):
            self.ledger.report("configuration", f"r{version} got {status}")
        return status == 200

    async def read_configuration(self) -> None:
        """Read from any control host and compare with what was acknowledged before."""
        known = self._acknowledged
        status, body = await self._call("GET", "/-/config/get")
        if status == 200:
            found = int(json.loads(body)["version"][1:])
            if found < known:
                self.ledger.report("configuration", f"read r{found} after r{known}")

    async def send_requests(self, end_s: float) -> None:
        """Send requests one after the other, on kept connections, until a time."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < end_s:
                await self._send(session)
                await asyncio.sleep(self.random.expovariate(20))

    async def run_faults(self, end_s: float) -> None:
        """Inject faults in overlapping series until a time."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end_s:
            name = self.random.choice(faults.names())
            self.faults.append(name)
            task = asyncio.ensure_future(faults.get(name)(self))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        if running:
            await asyncio.gather(*running)

    async def heal(self) -> None:
        """End all faults and start what does not run."""
        for server in self.servers:
            server.mode = "good"
            server.proxy.heal()
        for host in self.hosts:
            if not self.runs(host):
                await self.start_process(host)
        await asyncio.sleep(HEAL_S)

    async def check_recovery(self) -> None:
        """Look whether all is served again and nothing acknowledged is lost."""
        before = self.ledger.statuses.copy()
        await asyncio.gather(
            *(self.send_requests(time.monotonic() + CHECK_S) for _ in range(4))
        )
        after = self.ledger.statuses - before
        safe = {key: n for key, n in after.items() if key.endswith(" safe")}
        served = safe.get("200 safe", 0)
        if served < RECOVERED_SHARE * sum(safe.values()):
            self.ledger.report("recovery", f"{safe}")
        async with asyncio.timeout(10):
            while not await self.change_configuration():
                await asyncio.sleep(0.2)
        await self.read_configuration()
        self.ledger.check_drained(self.servers)

    def runs(self, host: Host) -> bool:
        """Tell whether the process of a host runs."""
        return self._running[host].returncode is None

    def pick(self, role: str) -> Host | None:
        """Return a host whose process runs, but never so many that a majority ends."""
        alive = [h for h in self.hosts if self.runs(h) and h not in self._ending]
        hosts = [host for host in alive if host.role == role]
        return self.random.choice(hosts) if len(hosts) == 3 else None

    def signal_process(self, host: Host, number: int) -> None:
        """Send a signal to the process of a host."""
        with contextlib.suppress(ProcessLookupError):
            self._running[host].send_signal(number)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        self._requests += 1
        request_id = f"q{self._requests}"
        kind = self.random.choice(("safe", "safe", "unsafe"))
        method = "GET" if kind == "safe" else "POST"
        path = f"/{kind}/{self.random.randint(1, 999)}"
        host = self.random.choice(GATEWAYS)
        self.ledger.note_sent(request_id, f"{method} {path}")
        headers = {
            "Host": "h.example",
            "Geraniumbend-Request-Id": request_id,
            "Geraniumbend-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        url = f"http://127.0.2.{host}:{self._ports['front']}{path}"
        data = None if kind == "safe" else b"order"
        try:
            async with session.request(
                method, url, headers=headers, data=data
            ) as answer:
                body = await answer.text()
                self.ledger.note_answer(request_id, answer.status, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.ledger.note_answer(request_id, 0, "")

    async def _call(
        self, method: str, path: str, body: dict[str, object] | None = None
    ) -> tuple[int, bytes]:
        host = self.random.choice(CONTROLS)
        url = f"http://127.0.2.{host}:{self._ports['control']}{path}"
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body) as answer,
            ):
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    def _describe(self, host: Host) -> dict[str, object]:
        ports = self._ports
        listen = {"control": f"{host.ip}:{ports['control']}"}
        if host.role == "gateway":
            listen = {
                "front": f"{host.ip}:{ports['front']}",
                "ready": f"{host.ip}:{ports['ready']}",
            }
        return {
            "node-name": f"{host.role}-{host.number}",
            "ip": host.ip,
            "zone": "a",
            "listen": listen,
            "internal-ports": [ports["peer"], ports["peer"] + 1],
            "seeds": [f"127.0.2.{n}:{ports['control']}" for n in CONTROLS],
            "bootstrap": self._bootstrap,
            "data-dir": str(self.folder / f"data-{host.number}"),
            "fault-tolerance": {"machines": 1},
            "bounds": {"grace": "3s"},
        }


@experiments.register("soak")
async def run_soak(options: Options) -> dict[str, Any]:
    """Run the system under random faults and check its promises.

    Raises
    ------
    ExperimentError
        If a promise was broken; names the folder with the logs.
    """
    soak = Soak(options.seed)
    try:
        await soak.start()
        end_s = time.monotonic() + SOAK_S * options.scale
        await asyncio.gather(
            soak.run_faults(end_s), *(soak.send_requests(end_s) for _ in range(CALLERS))
        )
        await soak.heal()
        await soak.check_recovery()
    finally:
        await soak.stop()
    ledger = soak.ledger
    if ledger.findings:
        lines = "; ".join(f"{f.promise}: {f.detail}" for f in ledger.findings[:5])
        raise ExperimentError(
            f"seed {options.seed} broke {len(ledger.findings)} promises: {lines}",
            f"read the logs in {soak.folder}",
        )
    shutil.rmtree(soak.folder, ignore_errors=True)
    return {
        "seed": options.seed,
        "requests": sum(ledger.statuses.values()),
        "statuses": dict(sorted(ledger.statuses.items())),
        "faults": len(soak.faults),
        "findings": 0,
    }
