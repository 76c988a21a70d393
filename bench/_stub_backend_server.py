"""Stub backend server with slots, a queue and faults."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

import aiohttp
from aiohttp import web

from bench._checks import require_accepted

ANNOUNCE_PERIOD_S = 1.0
# Time that a probe holds a slot, in seconds.
PROBE_SERVICE_S = 0.006
BODY_CHUNK_BYTES = 64 * 1024


class Run(NamedTuple):
    """One request that a stub server has started in a slot.

    Parameters
    ----------
    path : str
        Path with query.
    key : str
        Idempotency key, empty when absent.
    started_s : float
        Monotonic time when the request got its slot, in seconds.
    """

    path: str
    key: str
    started_s: float


class StubBackendServer:
    """Stub backend server with slots, a queue and injectable faults.

    The query parameter ``ms=N`` holds a slot for N milliseconds, ``bytes=N`` sets the
    length of the response body. `service_factor`, `fail_fast`, `crash_on`, `draining`
    and `queue_limit` may be changed while the server runs. A request whose path and
    query contain `crash_on` closes the listener and aborts all connections.

    Parameters
    ----------
    server_id : str
        Server id, announced and part of each response text.
    labels : dict of str to str
        Announced labels.
    slots : int, default=6
        Number of requests that run concurrently.
    announce_to : sequence of str, default=()
        ``ip:port`` of announce listeners; each announcement goes to one of them,
        chosen at random.
    failure_domain : str, default=""
        Announced failure domain.
    seed : int, default=0
        Seed of the random choice of the announce listener.
    """

    def __init__(
        self,
        server_id: str,
        labels: dict[str, str],
        slots: int = 6,
        announce_to: tuple[str, ...] = (),
        failure_domain: str = "",
        seed: int = 0,
    ) -> None:
        self.server_id = server_id
        self.labels = labels
        self.slots = slots
        self.announce_to = announce_to
        self.failure_domain = failure_domain
        self.service_factor = 1.0
        self.fail_fast = False
        self.draining = False
        self.crash_on = ""
        self.queue_limit = 10_000
        self.port = 0
        self.runs: list[Run] = []
        self.probes = 0
        self.in_flight = 0
        self.incarnation = time.time_ns() // 1_000_000
        self._free_slots = asyncio.Semaphore(slots)
        self._random = random.Random(seed)
        self._runner: web.ServerRunner | None = None
        self._announce_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a loopback port and start to announce."""
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        if self.announce_to:
            self._announce_task = asyncio.create_task(self._announce_periodically())

    async def stop(self) -> None:
        """Stop announcing and close all connections.

        Raises
        ------
        ExperimentError
            If a gateway refused an announcement since the start.
        """
        announce_task, self._announce_task = self._announce_task, None
        if announce_task is not None:
            announce_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
        if (
            announce_task is not None
            and announce_task.done()
            and not announce_task.cancelled()
        ):
            announce_task.result()

    @property
    def running(self) -> bool:
        """Whether the server listens."""
        return self._runner is not None

    async def announce(self) -> None:
        """Send one announcement to one announce listener.

        Raises
        ------
        aiohttp.ClientError
            If the listener cannot be reached.
        """
        address = self._random.choice(self.announce_to)
        url = f"http://{address}/v1/backend-servers/{self.server_id}"
        body = {
            "host": "127.0.0.1",
            "port": self.port,
            "failure_domain": self.failure_domain,
            "labels": self.labels,
            "slots": self.slots,
            "connection_limit": 220,
            "in_flight": self.in_flight,
            "draining": self.draining,
            "incarnation": self.incarnation,
            "lease_s": 10,
        }
        timeout = aiohttp.ClientTimeout(total=2)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(url, json=body) as response,
        ):
            require_accepted(response.status, await response.text())

    async def _announce_periodically(self) -> None:
        while True:
            try:
                await self.announce()
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/load":
            return await self._respond_to_probe()
        if self.crash_on and self.crash_on in request.path_qs:
            return await self._crash(request)
        body = await request.read()
        if self.fail_fast:
            return web.Response(status=500, headers=self._load_report_headers())
        if self.in_flight >= self.slots + self.queue_limit:
            request_id = request.headers.get("X-Request-Id", "")
            refusal = {"Request-Not-Run": "1", "X-Request-Id": request_id}
            return web.Response(status=503, headers=refusal)
        self.in_flight += 1
        try:
            async with self._free_slots:
                key = request.headers.get("Idempotency-Key", "")
                self.runs.append(Run(request.path_qs, key, time.monotonic()))
                milliseconds = float(request.query.get("ms", "0"))
                if milliseconds:
                    await asyncio.sleep(milliseconds / 1000 * self.service_factor)
        finally:
            self.in_flight -= 1
        return await self._respond(request, body)

    async def _respond(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        length = int(request.query.get("bytes", "0"))
        if not length:
            text = f"{self.server_id} {request.path_qs} {len(body)}"
            return web.Response(text=text, headers=self._load_report_headers())
        response = web.StreamResponse(headers=self._load_report_headers())
        response.content_length = length
        await response.prepare(request)
        while length > 0:
            chunk = min(length, BODY_CHUNK_BYTES)
            await response.write(b"x" * chunk)
            length -= chunk
        await response.write_eof()
        return response

    async def _respond_to_probe(self) -> web.Response:
        self.probes += 1
        started_s = time.monotonic()
        async with self._free_slots:
            await asyncio.sleep(PROBE_SERVICE_S)
        latency_ms = (time.monotonic() - started_s) * 1000
        content = {
            "in_flight": self.in_flight,
            "slots": self.slots,
            "latency_ms": latency_ms,
        }
        return web.json_response(content, headers=self._load_report_headers())

    async def _crash(self, request: web.BaseRequest) -> web.StreamResponse:
        runner, self._runner = self._runner, None
        if self._announce_task is not None:
            self._announce_task.cancel()
        if runner is not None:
            for site in list(runner.sites):
                await site.stop()
            server = runner.server
            for connection in list(server.connections if server else ()):
                if connection.transport is not None:
                    connection.transport.abort()
        raise asyncio.CancelledError

    def _load_report_headers(self) -> dict[str, str]:
        load = f"named_metrics.in_flight={self.in_flight}"
        slots = f"named_metrics.slots={self.slots}"
        return {"endpoint-load-metrics": f"TEXT {load},{slots}"}
