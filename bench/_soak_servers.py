"""Backend servers and fault-injecting proxies of the soak."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
CHUNK_BYTES = 16 * 1024
DRAIN_TIME_S = 2.0


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
    """

    server_id: str
    request_id: str
    target: str
    started_s: float


def expected_body(request_id: str, target: str) -> str:
    """Return the body of the right response to a request."""
    return f"{request_id}|{target}|" + "x" * (200 + 7 * len(target))


class FaultProxy:
    """TCP proxy in front of a server that injects faults into the connections.

    Parameters
    ----------
    port : int
        Port that gateways connect to.
    target_port : int
        Port of the server.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk of data, in seconds.
    one_way : bool
        If True, no data from the server to gateways is forwarded.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self.delay_s = 0.0
        self.one_way = False
        self._silenced: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all(1.0, random.Random(0))

    def heal(self) -> None:
        """End delay and one-way mode; silenced connections stay silent."""
        self.delay_s = 0.0
        self.one_way = False

    def silence(self) -> None:
        """Discard all further data of the open connections; new ones work."""
        self._silenced |= self._writers

    def reset_all(self, share: float, generator: random.Random) -> None:
        """Reset each open connection with a probability of `share`."""
        for writer in list(self._writers):
            if generator.random() < share:
                raw_socket = writer.get_extra_info("socket")
                if raw_socket is not None:
                    linger = struct.pack("ii", 1, 0)
                    with contextlib.suppress(OSError):
                        raw_socket.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_side = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await asyncio.gather(
                self._pump(reader, server_side[1], writer, False),
                self._pump(server_side[0], writer, writer, True),
            )
        finally:
            self._writers.discard(writer)
            self._silenced.discard(writer)
            server_side[1].close()
            writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gateway_writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.one_way and is_response:
                    await asyncio.sleep(0.05)
                if gateway_writer not in self._silenced:
                    writer.write(data)
                    await writer.drain()
        writer.close()


class SoakServer:
    """Stub backend server that announces itself and has selectable fault modes.

    Parameters
    ----------
    server_id : str
        Id of the server.
    service : str
        Service of the server.
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
        ``normal``, ``slow``, ``errors`` (half of the requests get status 500), ``drop``
        (some connections are closed after a run without a response), ``shed``
        (requests are refused as not run) or ``duplicate`` (some responses are sent
        twice).
    drained_at_s : float
        Monotonic time at which a control host acknowledged the draining, in seconds;
        infinite before.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
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
                    "zone": "a",
                    "capacity": 8,
                },
                "status": {"state": self._state, "sequence": self._sequence},
                "born": self._started_ms,
            },
        )

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
                if not await self._respond(writer, target, fields):
                    break
                await writer.drain()
        writer.close()

    async def _respond(
        self, writer: asyncio.StreamWriter, target: str, fields: dict[str, str]
    ) -> bool:
        request_id = fields.get("Geraniumbend-Request-Id", "")
        self._record_arrival(self.server_id, request_id)
        if target == "GET /health":
            self._write(writer, 200, "", "", "")
            return True
        if fields.get("Geraniumbend-Target-Instance") != self.server_id:
            self._write(writer, 421, "", request_id, "")
            return True
        if self.mode == "shed":
            not_run = "Geraniumbend-Not-Executed: 1\r\n"
            self._write(writer, 503, "", request_id, not_run)
            return True
        self._record(Run(self.server_id, request_id, target, time.monotonic()))
        await asyncio.sleep(0.4 if self.mode == "slow" else 0.01)
        if self.mode == "drop" and self._random.random() < 0.3:
            return False
        failed = self.mode == "errors" and self._random.random() < 0.5
        signature = "Geraniumbend-Response-Signature: s\r\n"
        body = "" if failed else expected_body(request_id, target)
        self._write(writer, 500 if failed else 200, body, request_id, signature)
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
