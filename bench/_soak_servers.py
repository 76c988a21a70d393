"""Backend servers of the soak, and the configuration for them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from bench._soak_proxy import FaultProxy
from bench._soak_tenants import KEY_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
DRAIN_TIME_S = 2.0
ZONES = ("a", "b", "c")
FAILURES = (500, 500, 502, 503, 429, 408)


class Run(NamedTuple):
    """Start of the work on one request at a server.

    Parameters
    ----------
    server_id : str
        Id of the server.
    request_id : str
        Id that the caller gave the request.
    target : str
        Method and path.
    started_s : float
        Monotonic time, in seconds.
    tenant : str, default=""
        Tenant that the gateway names, empty without the field.
    has_key : bool, default=False
        Whether the head of the request has a key of a tenant.
    """

    server_id: str
    request_id: str
    target: str
    started_s: float
    tenant: str = ""
    has_key: bool = False


def expected_body(request_id: str, target: str) -> str:
    """Return the body of the right response to a request."""
    return f"{request_id}|{target}|" + "x" * (200 + 7 * len(target))


class SoakServer:
    """Stub backend server that announces itself and has selectable fault modes.

    Parameters
    ----------
    server_id : str
        Id of the server.
    service : str
        Service of the server.
    zone : str
        Failure domain of the server.
    port : int
        Port of the server itself.
    public_port : int
        Port of the proxy in front of it.
    controls : list of str
        ``ip:port`` of the control hosts.
    record : callable
        Called with each `Run`.
    seed : int
        Seed of the server's random choices.
    record_arrival : callable
        Called with the server's id and the id of each request that arrives; probes have
        an empty one.

    Attributes
    ----------
    limit_per_s : float or None
        Limit that all responses name, in requests a second.
    mode : str
        ``normal``, ``slow``, ``errors`` (half of the requests run and get one of
        `FAILURES`, without the statement that they have not run), ``drop``
        (some connections are closed after a run without a response), ``shed``
        (requests are refused as not run) or ``duplicate`` (some responses are sent
        twice).
    cold_until_s : float
        Monotonic time until which the server announces that it is cold, in seconds.
    drained_at_s : float
        Monotonic time at which a control host acknowledged the draining, in seconds;
        infinite before.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        port: int,
        public_port: int,
        controls: list[str],
        record: Callable[[Run], None],
        seed: int,
        record_arrival: Callable[[str, str], None],
    ) -> None:
        self.limit_per_s: float | None = None
        self._record_arrival = record_arrival
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.cold_until_s = 0.0
        self.mode = "normal"
        self.drained_at_s = float("inf")
        self.proxy = FaultProxy(public_port, port)
        self._port = port
        self._controls = controls
        self._record = record
        self._random = random.Random(seed)
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen and to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        await self.proxy.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def restart(self, cold_s: float) -> None:
        """Reset all connections and announce another incarnation that is cold."""
        self.cold_until_s = time.monotonic() + cold_s
        self._started_ms = max(self._started_ms + 1, time.time_ns() // 1_000_000)
        self._sequence = 0
        self.proxy.reset_all(1.0, self._random)
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)

    @property
    def is_draining(self) -> bool:
        """Whether the server has begun to drain."""
        return self._state == "draining"

    async def stop(self) -> None:
        """Stop without deregistration."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.proxy.stop()
        if self._server is not None:
            self._server.close()

    async def drain(self) -> None:
        """Announce draining, keep serving until it took effect, deregister and stop."""
        self._state = "draining"
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)
        self.drained_at_s = time.monotonic()
        await asyncio.sleep(DRAIN_TIME_S + 1.0)
        await self._post("leave", {"born": self._started_ms})
        await self.stop()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        return await self._post(
            "heartbeat",
            {
                "address": f"127.0.0.1:{self.proxy.port}",
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "capacity": 8,
                },
                "status": {
                    "state": self._state,
                    "sequence": self._sequence,
                    "warmup-left": f"{self._find_cold_ms()}ms",
                },
                "born": self._started_ms,
            },
        )

    def _find_cold_ms(self) -> int:
        """Return how much longer the server is cold, in milliseconds."""
        return max(0, int((self.cold_until_s - time.monotonic()) * 1000))

    async def _post(self, action: str, body: dict[str, object]) -> bool:
        """Post to a random control host; return whether it acknowledged."""
        address = self._random.choice(self._controls)
        url = f"http://{address}/-/instances/{self.server_id}/{action}"
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=body) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = int(fields.get("Content-Length", 0))
                await reader.readexactly(body)
                target = lines[0].removesuffix(" HTTP/1.1")
                has_key = KEY_PREFIX in head
                if not await self._respond(writer, target, fields, has_key):
                    break
                await writer.drain()
        writer.close()

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        target: str,
        fields: dict[str, str],
        has_key: bool,
    ) -> bool:
        request_id = fields.get("Geraniumbend-Request-Id", "")
        self._record_arrival(self.server_id, request_id)
        if target == "GET /health":
            cold_ms = self._find_cold_ms()
            cold = f"Geraniumbend-Warmup-Ms: {cold_ms}\r\n" if cold_ms else ""
            self._write(writer, 200, "", "", cold)
            return True
        if fields.get("Geraniumbend-Target-Instance") != self.server_id:
            self._write(writer, 421, "", request_id, "")
            return True
        if self.mode == "shed":
            not_run = "Geraniumbend-Not-Executed: 1\r\n"
            self._write(writer, 503, "", request_id, not_run)
            return True
        tenant = fields.get("Geraniumbend-Tenant", "")
        now_s = time.monotonic()
        self._record(Run(self.server_id, request_id, target, now_s, tenant, has_key))
        await asyncio.sleep(0.4 if self.mode == "slow" else 0.01)
        if self.mode == "drop" and self._random.random() < 0.3:
            return False
        failed = self.mode == "errors" and self._random.random() < 0.5
        signature = "Geraniumbend-Response-Signature: s\r\n"
        body = "" if failed else expected_body(request_id, target)
        status = self._random.choice(FAILURES) if failed else 200
        self._write(writer, status, body, request_id, signature)
        if self.mode == "duplicate" and self._random.random() < 0.2:
            await writer.drain()
            await asyncio.sleep(self._random.choice((0.0, 0.02)))
            self._write(writer, 200, body, request_id, signature)
        return True

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: str,
        request_id: str,
        extra: str,
    ) -> None:
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
            f"Geraniumbend-Instance-Load: 1,0,8,100\r\n{extra}"
        )
        if request_id:
            head += f"Geraniumbend-Request-Id: {request_id}\r\n"
        if self.limit_per_s is not None:
            head += f"Server-Limit: {self.limit_per_s:.2f}\r\n"
        writer.write(f"{head}\r\n{body}".encode())


def build_configuration(version: int, routes: int) -> dict[str, object]:
    """Return a full configuration for two services.

    Parameters
    ----------
    version : int
        Version that the operator gives the configuration.
    routes : int
        Number of unused routes; varies the size of configurations.
    """
    rows = [
        ["safe", "h.example", "/safe/", "safe", "2s", "1s", 1, None, 2, "one"],
        ["unsafe", "h.example", "/unsafe/", "unsafe", "2s", "1s", 0, None, 2, "two"],
    ]
    rows += [
        [f"r{n}", "h.example", f"/r{n}/", "safe", "2s", "1s", 2, None, 2, "one"]
        for n in range(routes)
    ]
    columns = (
        "name host path-prefix kind timeout target-latency priority traffic-split "
        "max-attempts service"
    )
    document = {
        "version": f"r{version}",
        "routes": {"columns": columns.split(), "rows": rows},
        "services": {
            "columns": ["name", "health-path", "max-connections"],
            "rows": [["one", "/health", 200], ["two", "/health", 200]],
        },
        "limits": {},
    }
    return json.loads(json.dumps(document))
