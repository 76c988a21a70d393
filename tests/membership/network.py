"""In-memory datagrams and calls between nodes, with faults."""

from __future__ import annotations

import asyncio
import heapq
import random

from geraniumbend.errors import UnavailableError
from geraniumbend.membership import Announcement, Membership, MembershipOptions
from geraniumbend.model import BackendServer
from geraniumbend.timers import ManualTimers


class Network:
    """Delivers datagrams and calls between nodes; faults are set by tests."""

    def __init__(self, timers, seed=1):
        self.timers = timers
        self.rng = random.Random(seed)
        self.ports = {}
        self.servers = {}
        self.cuts = set()
        self.frozen = set()
        self.loss = self.duplication = self.reordering = 0.0
        self.bytes = {}
        self.bytes_between_domains = 0
        self.domain_of = lambda address: ""

    def reachable(self, source, target):
        return (source, target) not in self.cuts and target in self.ports

    def cut(self, sources, targets, both=True):
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def deliver(self, source, target, payload):
        self.bytes[source] = self.bytes.get(source, 0) + len(payload) + 87
        if self.domain_of(source) != self.domain_of(target):
            self.bytes_between_domains += len(payload) + 87
        if not self.reachable(source, target) or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            late = self.rng.random() < self.reordering
            delay = self.rng.uniform(0.01, 0.3) if late else 0.001
            due = self.timers.now() + delay
            future = asyncio.get_running_loop().create_future()
            future.add_done_callback(lambda _: self._arrive(source, target, payload))
            heapq.heappush(
                self.timers._waiting, (due, next(self.timers._sequence), future)
            )

    def _arrive(self, source, target, payload):
        port = self.ports.get(target)
        if port is None:
            return
        if target in self.frozen:
            port.buffer.append((source, payload))
        else:
            port.callback(source, payload)


class FakeDatagramPort:
    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.callback = lambda source, payload: None
        self.buffer = []

    def on_receive(self, callback):
        self.callback = callback

    def send(self, address, payload):
        self.network.deliver(self.address, address, payload)

    async def start(self):
        self.network.ports[self.address] = self

    async def stop(self):
        self.network.ports.pop(self.address, None)


class FakeRpcCaller:
    """Calls the handlers of other nodes over the same faulty network."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def call(self, address, method, body, timeout_s):
        network = self.network
        back = network.reachable(address, self.address)
        usable = network.reachable(self.address, address) and back
        if not usable or address in network.frozen:
            raise UnavailableError("cut", "")
        await network.timers.sleep(0.002)
        return await network.servers[address][method](body)


class FakeRpcServer(dict):
    def handle(self, method):
        def store(handler):
            self[method] = handler
            return handler

        return store


class QuickTimers(ManualTimers):
    """Manual timers that stop running the loop as soon as no callback is ready."""

    async def _settle(self):
        ready = asyncio.get_running_loop()._ready
        await asyncio.sleep(0)
        while ready:
            await asyncio.sleep(0)


class NodeTimers(QuickTimers):
    """Timers of one node on the shared clock; they stop while the node is frozen."""

    def __init__(self, shared):
        self.shared = shared
        self.running = asyncio.Event()
        self.running.set()

    def now(self):
        return self.shared.now()

    async def sleep(self, delay_s):
        await self.shared.sleep(delay_s)
        await self.running.wait()


class Cluster:
    """Nodes g0, g1, ... on one network and one manual clock."""

    def __init__(self, count, seed=1, rate=18_000.0, domains=1):
        self.timers = QuickTimers()
        self.network = Network(self.timers, seed)
        self.network.domain_of = lambda address: self.domain(
            f"g{int(address.split(':')[0].rpartition('.')[2]) - 1}"
        )
        self.seed = seed
        self.rate = rate
        self.domains = domains
        self.nodes = {}
        self.clocks = {}
        self.names = [f"g{i}" for i in range(count)]

    async def start(self, settle_s=3.0):
        # Debug mode records a traceback for each callback, which is ten times slower.
        asyncio.get_running_loop().set_debug(False)
        random.seed(self.seed)
        for name in self.names:
            await self.boot(name)
        await self.timers.advance(settle_s)
        return self

    def address(self, name):
        return f"10.0.0.{int(name[1:]) + 1}:7000"

    def domain(self, name):
        return f"d{int(name[1:]) % self.domains}"

    async def boot(self, name, incarnation=1):
        address = self.address(name)
        port = FakeDatagramPort(self.network, address)
        handlers = self.network.servers[address] = FakeRpcServer()
        clock = self.clocks[name] = NodeTimers(self.timers)
        seeds = tuple(self.address(seed) for seed in self.names[:3])
        options = MembershipOptions(
            name=name,
            host=address.split(":")[0],
            failure_domain=self.domain(name),
            seeds=seeds,
            bytes_per_second=self.rate,
            incarnation=incarnation,
        )
        rng = random.Random(f"{name}{incarnation}{self.network.rng.random()}")
        node = Membership(
            options, port, FakeRpcCaller(self.network, address), clock, rng
        )
        node.register(handlers)
        self.nodes[name] = node
        starting = asyncio.ensure_future(node.start())
        while not starting.done():
            await self.timers.advance(0.002)
        await starting
        return node

    def kill(self, name):
        """Stop a process abruptly, without notifying its peers."""
        self.clocks[name].running.clear()
        self.network.ports.pop(self.address(name), None)
        self.nodes.pop(name)

    def freeze(self, name):
        self.clocks[name].running.clear()
        self.network.frozen.add(self.address(name))

    def thaw(self, name):
        address = self.address(name)
        self.network.frozen.discard(address)
        port = self.network.ports[address]
        for source, payload in port.buffer:
            port.callback(source, payload)
        port.buffer.clear()
        self.clocks[name].running.set()

    def cut(self, left, right, both=True):
        self.network.cut(
            [self.address(n) for n in left], [self.address(n) for n in right], both
        )

    def heal(self):
        self.network.cuts.clear()

    async def stop(self):
        # Only tasks of this test's loop exist besides the current one.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def live(self, name):
        return [member.name for member in self.nodes[name].list_live_gateways()]

    def nodes_that_know(self, server_id):
        return sorted(
            n for n, node in self.nodes.items() if server_id in node.servers()
        )


def announcement(server_id="s1", incarnation=1, in_flight=0, **fields):
    server = BackendServer(server_id, "10.1.0.1", 80, incarnation=incarnation, **fields)
    return Announcement(server, in_flight, 10.0)
