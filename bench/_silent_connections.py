"""Experiment on connections that fall silent."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

import aiohttp

from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._raw_client import RawClient, Sample, compute_quantile
from bench._stub_backend_server import StubBackendServer

CONFIGURATION = """\
[groups.classes]
selector = "app=classes"

[rules.class-lists]
group = "classes"
request_class = "short"
deadline_s = 2.0
match = { path_prefix = "/" }
"""
DEADLINE_S = 2.0
SERVERS = 4
GATEWAYS = 2
REQUESTS_PER_S = 150.0
SERVICE_MS = 15
BASELINE_S = 5.0
FAULT_S = 10.0
# Number of times that the fault is injected. Each time half of the open connections
# go silent.
FAULT_COUNT = 3


class Relay:
    """TCP relay in front of a backend server that can silence its connections.

    A silent connection stays open and accepts data but forwards none of it; new
    connections work. A middlebox that has lost its connection table behaves like this.

    Parameters
    ----------
    target_port : int
        Loopback port of the backend server.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._numbers = itertools.count()
        self._forwarding: dict[int, asyncio.Event] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_half(self, rng: random.Random) -> int:
        """Silence half of the forwarding connections and return their number."""
        active = [
            number
            for number, forwarding in self._forwarding.items()
            if forwarding.is_set()
        ]
        chosen = rng.sample(active, (len(active) + 1) // 2)
        for number in chosen:
            self._forwarding[number].clear()
        return len(chosen)

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._numbers)
        forwarding = asyncio.Event()
        forwarding.set()
        self._forwarding[number] = forwarding
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            server_to_client = asyncio.create_task(
                _forward(server_reader, writer, forwarding)
            )
            await _forward(reader, server_writer, forwarding)
            server_to_client.cancel()
            server_writer.close()
        except OSError:
            pass
        finally:
            del self._forwarding[number]
            writer.close()


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    forwarding: asyncio.Event,
) -> None:
    try:
        while data := await reader.read(65536):
            if forwarding.is_set():
                writer.write(data)
                await writer.drain()
    except OSError:
        pass


@experiments.register("silent_connections")
async def silence_connections(options: Options) -> dict[str, Any]:
    """Measure requests while connections to backend servers go silent.

    Half of the open connections go silent several times under load.
    """
    cluster = Cluster(gateways=GATEWAYS, controls=1)
    servers: list[StubBackendServer] = []
    relays: list[Relay] = []
    announce_task: asyncio.Task[None] | None = None
    try:
        await cluster.start()
        for number in range(SERVERS):
            server = StubBackendServer(
                f"classes-{number}", {"app": "classes"}, announce_to=()
            )
            await server.start()
            relay = Relay(server.port)
            await relay.start()
            servers.append(server)
            relays.append(relay)
        announce_task = asyncio.create_task(
            _announce(servers, relays, cluster.announces)
        )
        file = cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        code, output = await cluster.operate("apply", str(file))
        if code:
            return {"exit_code": code, "output": output}
        await cluster.wait_until_ready()
        await asyncio.sleep(2.0)
        return await _run_phases(cluster.callers, relays, options)
    finally:
        if announce_task is not None:
            announce_task.cancel()
        await cluster.stop()
        for relay in relays:
            relay.stop()
        for server in servers:
            await server.stop()


async def _run_phases(
    callers: list[str], relays: list[Relay], options: Options
) -> dict[str, Any]:
    rng = random.Random(options.seed)
    clients = [RawClient(address) for address in callers]
    before = await _run_load(clients, BASELINE_S * options.scale, rng)
    silenced = 0

    async def inject_faults() -> None:
        nonlocal silenced
        for _ in range(FAULT_COUNT):
            silenced += sum(relay.silence_half(rng) for relay in relays)
            await asyncio.sleep(FAULT_S * options.scale / FAULT_COUNT)

    fault_task = asyncio.create_task(inject_faults())
    during = await _run_load(clients, FAULT_S * options.scale, rng)
    await fault_task
    timely = [sample for sample in during if _met_deadline(sample)]
    result = {
        "requests": len(during),
        "silenced_connections": silenced,
        "answered_in_deadline": len(timely) / len(during),
        "answered_before_fault": sum(map(_met_deadline, before)) / len(before),
        "deadline_ms": DEADLINE_S * 1000,
    }
    for name, samples in (("before", before), ("during", during)):
        seconds = [sample.seconds for sample in samples]
        result[f"p99_{name}_ms"] = round(compute_quantile(seconds, 0.99) * 1000, 1)
        result[f"max_{name}_ms"] = round(max(seconds) * 1000, 1)
    return result


def _met_deadline(sample: Sample) -> bool:
    return sample.status == 200 and sample.seconds <= DEADLINE_S


async def _run_load(
    clients: list[RawClient], load_s: float, rng: random.Random
) -> list[Sample]:
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task[Sample]] = []
    next_s = loop.time()
    end_s = next_s + load_s
    while next_s < end_s:
        next_s += rng.expovariate(REQUESTS_PER_S)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        path = f"/list/{len(tasks)}?ms={SERVICE_MS}"
        client = clients[len(tasks) % len(clients)]
        tasks.append(asyncio.create_task(client.measure(path, 2 * DEADLINE_S)))
    return await asyncio.gather(*tasks)


async def _announce(
    servers: list[StubBackendServer],
    relays: list[Relay],
    announces: tuple[str, ...],
) -> None:
    """Announce each server with the port of its relay, once a second."""
    while True:
        for server, relay in zip(servers, relays, strict=True):
            port, server.port = server.port, relay.port
            server.announce_to = announces
            announce_task = asyncio.ensure_future(server.announce())
            await asyncio.sleep(0)
            try:
                await announce_task
            except (aiohttp.ClientError, TimeoutError):
                pass
            finally:
                server.port = port
        await asyncio.sleep(1.0)
