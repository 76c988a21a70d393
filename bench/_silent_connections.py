from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

import aiohttp

from bench._backend_server import BackendServerStandIn
from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._raw_client import RawClient, Sample, take_quantile

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
RATE = 150.0
SERVICE_MS = 15
CALM_S = 5.0
FAULT_S = 10.0
# The fault strikes this often; each time half of the connections open then go silent.
STRIKES = 3


class Relay:
    """TCP relay in front of a backend server that can silence its connections.

    A silent connection stays open, takes bytes and carries none of them on; new
    connections work. This is what a middle box does that lost its connection table.

    Parameters
    ----------
    target_port : int
        Loopback port of the backend server.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._numbers = itertools.count()
        self._open: dict[int, asyncio.Event] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_half(self, chance: random.Random) -> int:
        """Silence half of the open connections and return their number."""
        carrying = [number for number, gate in self._open.items() if gate.is_set()]
        chosen = chance.sample(carrying, (len(carrying) + 1) // 2)
        for number in chosen:
            self._open[number].clear()
        return len(chosen)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._numbers)
        gate = asyncio.Event()
        gate.set()
        self._open[number] = gate
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            backward = asyncio.create_task(_copy(far_reader, writer, gate))
            await _copy(reader, far_writer, gate)
            backward.cancel()
            far_writer.close()
        except OSError:
            pass
        finally:
            del self._open[number]
            writer.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: asyncio.Event
) -> None:
    try:
        while data := await reader.read(65536):
            if gate.is_set():
                writer.write(data)
                await writer.drain()
    except OSError:
        pass


@experiments.register("silent_connections")
async def silence_connections(options: Options) -> dict[str, Any]:
    """Silence half of the open backend connections under load, several times."""
    cluster = Cluster(gateways=GATEWAYS, controls=1)
    servers: list[BackendServerStandIn] = []
    relays: list[Relay] = []
    announcing: asyncio.Task[None] | None = None
    try:
        await cluster.start()
        for number in range(SERVERS):
            server = BackendServerStandIn(
                f"classes-{number}", {"app": "classes"}, announce_to=()
            )
            await server.start()
            relay = Relay(server.port)
            await relay.start()
            servers.append(server)
            relays.append(relay)
        announcing = asyncio.create_task(_announce(servers, relays, cluster.announces))
        file = cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        code, output = await cluster.operate("apply", str(file))
        if code:
            return {"exit_code": code, "output": output}
        await cluster.wait_until_ready()
        await asyncio.sleep(2.0)
        return await _run(cluster.callers, relays, options)
    finally:
        if announcing is not None:
            announcing.cancel()
        await cluster.stop()
        for relay in relays:
            relay.stop()
        for server in servers:
            await server.stop()


async def _run(
    callers: list[str], relays: list[Relay], options: Options
) -> dict[str, Any]:
    chance = random.Random(options.seed)
    clients = [RawClient(address) for address in callers]
    calm = await _load(clients, CALM_S * options.scale, chance)
    silenced = 0

    async def strike() -> None:
        nonlocal silenced
        for _ in range(STRIKES):
            silenced += sum(relay.silence_half(chance) for relay in relays)
            await asyncio.sleep(FAULT_S * options.scale / STRIKES)

    striking = asyncio.create_task(strike())
    faulty = await _load(clients, FAULT_S * options.scale, chance)
    await striking
    answered = [sample for sample in faulty if _is_answered(sample)]
    result = {
        "requests": len(faulty),
        "silenced_connections": silenced,
        "answered_in_deadline": len(answered) / len(faulty),
        "answered_before_fault": sum(map(_is_answered, calm)) / len(calm),
        "deadline_ms": DEADLINE_S * 1000,
    }
    for name, samples in (("before", calm), ("during", faulty)):
        seconds = [sample.seconds for sample in samples]
        result[f"p99_{name}_ms"] = round(take_quantile(seconds, 0.99) * 1000, 1)
        result[f"max_{name}_ms"] = round(max(seconds) * 1000, 1)
    return result


def _is_answered(sample: Sample) -> bool:
    return sample.status == 200 and sample.seconds <= DEADLINE_S


async def _load(
    clients: list[RawClient], load_s: float, chance: random.Random
) -> list[Sample]:
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task[Sample]] = []
    next_s = loop.time()
    end_s = next_s + load_s
    while next_s < end_s:
        next_s += chance.expovariate(RATE)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        path = f"/list/{len(tasks)}?ms={SERVICE_MS}"
        client = clients[len(tasks) % len(clients)]
        tasks.append(asyncio.create_task(client.measure(path, 2 * DEADLINE_S)))
    return await asyncio.gather(*tasks)


async def _announce(
    servers: list[BackendServerStandIn],
    relays: list[Relay],
    announces: tuple[str, ...],
) -> None:
    """Announce each server under the port of its relay."""
    while True:
        for server, relay in zip(servers, relays, strict=True):
            port, server.port = server.port, relay.port
            server.announce_to = announces
            announcing = asyncio.ensure_future(server.announce())
            await asyncio.sleep(0)
            try:
                await announcing
            except (aiohttp.ClientError, TimeoutError):
                pass
            finally:
                server.port = port
        await asyncio.sleep(1.0)
