"""A control host and a gateway as processes of their own, with small hosts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
import tempfile
from pathlib import Path

import aiohttp
from bench._cluster import reserve_port

from tests.platform._deployment import KEY_ENVIRONMENT
from tests.platform.test_configuration import build_document

# Limits of the hosts, which the settings file and the system both state. They are lower
# than those of real hosts, so that a small crowd exceeds them.
GATEWAY_MB = 90
CONTROL_MB = 96
MAX_FDS = 400
START_TIMEOUT_S = 20.0
SAMPLE_PERIOD_S = 0.05
# Samples between two of the unread bytes, which take longer to read.
UNREAD_SAMPLES = 4
TCP_LISTEN = "0A"
ANSWER_TIMEOUT_S = 10.0
ROUTES = [
    ["r1", "h.example", "/p/", "safe", "12s", "400ms", 2, None, 2, "one"],
    ["r2", "h.example", "/q/", "unsafe", "12s", "500ms", 1, None, 2, "two"],
    ["r3", "h.example", "/r/", "safe", "12s", "500ms", 1, None, 2, "two"],
]
CALLER_LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 64 * 1024 * 1024,
    "header-timeout": "3000ms",
    "idle-timeout": "15000ms",
}


class HostProcess:
    """One process; the crowd's bounds are checked against what the kernel counts."""

    def __init__(self, role, settings, folder):
        self.role = role
        self.max_fds = settings["limits"]["max-fds"]
        self.settings = settings
        self.path = Path(folder) / f"{settings['node-name']}.json"
        self.log_path = self.path.with_suffix(".log")
        self.most_descriptors = 0
        # Largest sum of resident memory and of bytes that have arrived unread, in MB.
        self.most_with_unread_mb = 0.0
        self.most_unread_mb = 0.0
        self.running = None
        self._sampling = None

    async def start(self):
        self.path.write_text(json.dumps(self.settings))
        with self.log_path.open("ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "geraniumbend", self.role, str(self.path)),
                stdout=log,
                stderr=log,
                env={**os.environ, **KEY_ENVIRONMENT},
            )
        limits = (self.max_fds, self.max_fds)
        resource.prlimit(self.running.pid, resource.RLIMIT_NOFILE, limits)
        self._sampling = asyncio.ensure_future(self._sample())

    async def stop(self):
        if self.running is None:
            return
        self._sampling.cancel()
        if self.running.returncode is None:
            self.running.terminate()
            try:
                await asyncio.wait_for(self.running.wait(), ANSWER_TIMEOUT_S)
            except TimeoutError:
                self.running.kill()
                await self.running.wait()

    def is_alive(self):
        return self.running.returncode is None

    def read_peak_mb(self):
        """Return the largest resident memory so far, in MB."""
        return self._read_status("VmHWM") / 1000

    def read_unread_bytes(self):
        """Return the bytes that have arrived and wait in the kernel to be read.

        Those of connections that are not accepted yet have no descriptor and are not
        counted.
        """
        folder = f"/proc/{self.running.pid}/fd"
        inodes = set()
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[8:-1])
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] != TCP_LISTEN and fields[9] in inodes:
                unread += int(fields[4].partition(":")[2], 16)
        return unread

    def sample_memory(self):
        """Note the resident memory and the unread bytes of this moment."""
        unread_mb = self.read_unread_bytes() / 1e6
        together_mb = self._read_status("VmRSS") / 1000 + unread_mb
        self.most_unread_mb = max(self.most_unread_mb, unread_mb)
        self.most_with_unread_mb = max(self.most_with_unread_mb, together_mb)

    def _read_status(self, name):
        status = Path(f"/proc/{self.running.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1])

    async def _sample(self):
        folder = f"/proc/{self.running.pid}/fd"
        samples = 0
        while True:
            try:
                count = len(os.listdir(folder))
                if samples % UNREAD_SAMPLES == 0:
                    self.sample_memory()
            except (OSError, StopIteration):
                return
            samples += 1
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_PERIOD_S)


class Hosts:
    """A control host, a gateway, and the addresses that a crowd can reach.

    Parameters
    ----------
    gateway_mb, control_mb : int
        Memory of the hosts in MB.
    max_fds : int
        Descriptors of each of them.
    """

    def __init__(self, gateway_mb=GATEWAY_MB, control_mb=CONTROL_MB, max_fds=MAX_FDS):
        self.folder = tempfile.TemporaryDirectory()
        # Last announcement of each server, by group.
        self.announced = {}
        front, ready, control = (reserve_port() for _ in range(3))
        # The port for forwarded requests is the one behind that of peers.
        peer = reserve_port(2)
        internal = peer + 1
        self.front = ("127.0.1.11", front)
        self.ready = ("127.0.1.11", ready)
        self.gateway_peer = ("127.0.1.11", peer)
        self.forward = ("127.0.1.11", internal)
        self.operators = ("127.0.1.1", control)
        self.control_peer = ("127.0.1.1", peer)
        self.metrics = ("127.0.1.1", internal)
        common = {
            "zone": "a",
            "internal-ports": [peer, internal],
            "seeds": [f"127.0.1.1:{control}"],
            "bounds": {"grace": "2s"},
            "fault-tolerance": {"machines": 0},
        }
        self.control = HostProcess(
            "control",
            {
                **common,
                "node-name": "core-1",
                "ip": "127.0.1.1",
                "listen": {"control": f"127.0.1.1:{control}"},
                "bootstrap": True,
                "data-dir": f"{self.folder.name}/data",
                "limits": {"memory-mb": control_mb, "max-fds": max_fds},
            },
            self.folder.name,
        )
        self.gateway = HostProcess(
            "gateway",
            {
                **common,
                "node-name": "front-1",
                "ip": "127.0.1.11",
                "listen": {
                    "front": f"127.0.1.11:{front}",
                    "ready": f"127.0.1.11:{ready}",
                },
                "limits": {"memory-mb": gateway_mb, "max-fds": max_fds},
            },
            self.folder.name,
        )

    async def start(self, backends):
        """Start both, with one server for each of the groups; wait until they serve."""
        await asyncio.gather(self.control.start(), self.gateway.start())
        document = json.dumps(build_document(ROUTES, limits=CALLER_LIMITS))
        await self._repeat(self.operators, "POST", "/-/config/put", document)
        for service, backend in backends.items():
            body = {
                "address": f"127.0.0.1:{backend.port}",
                "info": {"service": service, "version": "v", "zone": "a"},
                "status": {"state": "ready", "sequence": 1},
                "born": 7,
            }
            body["info"]["capacity"] = 64
            self.announced[service] = body
            path = f"/-/instances/i-{service}/heartbeat"
            await self._repeat(self.operators, "POST", path, json.dumps(body))
        await self._repeat(self.front, "GET", "/p/x")

    async def stop(self):
        await asyncio.gather(self.gateway.stop(), self.control.stop())
        self.folder.cleanup()

    async def ask(self, address, method, path, body=None):
        """Return the status of one request on a connection of its own."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = f"http://{address[0]}:{address[1]}{path}"
            fields = {"Host": "h.example", "Geraniumbend-Deadline-Ms": "9000"}
            async with session.request(
                method, url, data=body, headers=fields
            ) as response:
                await response.read()
                return response.status

    async def _repeat(self, address, method, path, body=None):
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if await self.ask(address, method, path, body) == 200:
                        return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
