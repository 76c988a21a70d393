"""Model of gateways and servers that name limits, in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from bench._limit_rule import TOLD_S, Send
from bench._virtual_clock import VirtualTimers
from geraniumbend.errors import RefusedError
from geraniumbend.limits import LimitStatement, ServerLimits
from geraniumbend.membership import Member
from geraniumbend.model import BackendServer, Configuration, Group
from geraniumbend.routing import (
    LoadReport,
    OnDemandProbes,
    Outcome,
    Router,
    ServerTable,
    ServerView,
)

if TYPE_CHECKING:
    from collections.abc import Callable

GROUP = "g"
DOMAINS = ("a", "b", "c")
# One-way delays in seconds within and between failure domains.
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.004
MESSAGE_LOSS = 0.002
# Time in seconds until the gateways know that another one is gone or back.
DETECTION_S = 2.5
# Time in seconds until a published record has reached all gateways.
RECORD_DELAY_S = 0.3
# Datagram and message overhead in bytes, and transmissions of a record by one node.
OVERHEAD_BYTES = 160
RECORD_TRANSMISSIONS = 9
SERVICE_S = 0.08
SLOTS = 6


class ModelServer:
    """Backend server with slots, which names a limit or none.

    Parameters
    ----------
    server : BackendServer
        Its announcement.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.limit_per_s: float | None = None
        self.running = 0
        self.sends: list[Send] = []

    def read_statement(self) -> LimitStatement:
        """Return what its responses say about the limit now."""
        if self.limit_per_s is None:
            return LimitStatement("absent")
        return LimitStatement("named", self.limit_per_s)


class Network:
    """Messages, records and the view of live gateways, with faults.

    Parameters
    ----------
    rng : random.Random
        Source of losses and delays.
    loss : float, default=MESSAGE_LOSS
        Probability that a message is lost.
    delay_factor : float, default=1.0
        Factor on the delays of messages.
    """

    def __init__(
        self,
        rng: random.Random,
        loss: float = MESSAGE_LOSS,
        delay_factor: float = 1.0,
    ) -> None:
        self.rng = rng
        self._loss = loss
        self._delay_factor = delay_factor
        self.gateways: dict[str, ModelGateway] = {}
        self.reachable: Callable[[str, str], bool] = lambda source, target: True
        self.bytes_sent = 0

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two gateways in seconds."""
        local = self.gateways[source].domain == self.gateways[target].domain
        base_s = LOCAL_DELAY_S if local else REMOTE_DELAY_S
        return base_s * self._delay_factor * self.rng.uniform(1.0, 1.5)

    def send(self, source: str, target: str, kind: str, value: bytes) -> bool:
        """Deliver a message unless it is lost."""
        self.bytes_sent += OVERHEAD_BYTES + len(kind) + len(value)
        gateway = self.gateways.get(target)
        lost = self.rng.random() < self._loss or not self.reachable(source, target)
        if gateway is None or lost:
            return True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.delay_s(source, target), gateway.receive, kind, source, value
        )
        return True

    def publish(self, source: str, kind: str, key: str, value: bytes | None) -> None:
        """Deliver a record to all gateways that can be reached."""
        loop = asyncio.get_running_loop()
        size = OVERHEAD_BYTES + len(key) + len(value or b"")
        self.bytes_sent += size * RECORD_TRANSMISSIONS * len(self.gateways)
        for name, gateway in self.gateways.items():
            if name != source and self.reachable(source, name):
                delay_s = self.rng.uniform(0.002, RECORD_DELAY_S)
                loop.call_later(delay_s, gateway.apply, kind, source, key, value)


class ModelMembership:
    """Membership of one gateway, as `ServerLimits` needs it.

    Parameters
    ----------
    network : Network
        Carries messages and records.
    name, domain : str
        Name and failure domain of the gateway.
    """

    def __init__(self, network: Network, name: str, domain: str) -> None:
        self.name = name
        self._network = network
        self.live: set[str] = {name}
        self.left: set[str] = set()
        self.handlers: dict[str, Callable[[str, bytes], None]] = {}
        self.callbacks: dict[str, Callable[[str, str, bytes | None], None]] = {}

    def list_live_gateways(self) -> list[Member]:
        """Return the live gateways."""
        return [self._describe(name, "alive") for name in sorted(self.live)]

    def known_members(self) -> list[Member]:
        """Return the live gateways and those that left."""
        left = [self._describe(name, "left") for name in sorted(self.left)]
        return self.list_live_gateways() + left

    def send_message(self, node: str, kind: str, value: bytes) -> bool:
        """Send a message to one gateway."""
        return self._network.send(self.name, node, kind, value)

    def handle_messages(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Set the handler of a kind."""
        self.handlers[kind] = handler

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish or withdraw a record."""
        self._network.publish(self.name, kind, key, value if lifetime_s else None)
        return True

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Set the callback of a kind of record."""
        self.callbacks[kind] = callback

    def spread_now(self) -> None:
        """Do nothing: published records are on their way already."""

    def _describe(self, name: str, state: str) -> Member:
        return Member(name, "gateway", "", "", state, 1)


class _EqualShares:
    def __init__(self, gateways: int) -> None:
        self._gateways = gateways

    def gateway_share(self) -> float:
        return 1 / self._gateways


class ModelGateway:
    """Decisions of one gateway: its real router, probes and limits.

    Parameters
    ----------
    network : Network
        Network of the gateways.
    name, domain : str
        Name and failure domain.
    servers : dict of str to ModelServer
        Backend servers of the group.
    gateways : int
        Number of gateways.
    keeps_limits : bool
        False for the decisions of the code before limits were kept.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        domain: str,
        servers: dict[str, ModelServer],
        gateways: int,
        keeps_limits: bool,
    ) -> None:
        self.name = name
        self.domain = domain
        self.timers = VirtualTimers()
        self.told_at = float("inf")
        self.excused_until = float("-inf")
        self.stopped = False
        self.refused = 0
        self.refused_beside_room = 0
        self.waits_s: list[float] = []
        self.membership = ModelMembership(network, name, domain)
        self._servers = servers
        self._rng = random.Random(f"{name}{network.rng.random()}")
        self._buffer: list[Callable[[], None]] = []
        self.limits = ServerLimits(self.membership, self.timers, self._rng)
        self._keeps_limits = keeps_limits
        self._table = ServerTable(self.timers)
        self._probes = OnDemandProbes(self.timers, lambda: 1 / gateways, 60.0)
        self._router = Router(
            self._table,
            _EqualShares(gateways),
            self.timers,
            name,
            domain,
            self._rng.getrandbits(32),
            self._probes,
            4,
            self.limits if keeps_limits else None,
        )
        announced = {key: entry.server for key, entry in servers.items()}
        configuration = Configuration(1, {GROUP: Group(GROUP, "")})
        self._table.update(announced, configuration)
        self.limits.update_servers(announced)

    def start(self) -> None:
        """Begin to probe and to publish limits."""
        self._probes.start(self._probe)
        self.limits.start()

    def stop(self) -> None:
        """End the process at once."""
        self.stopped = True
        self._probes.stop()
        self.limits.stop()

    def pause(self) -> None:
        """Stop all tasks of the process until `resume`."""
        self.timers.running.clear()

    def resume(self) -> None:
        """Go on, with what arrived meanwhile."""
        self.timers.running.set()
        buffered, self._buffer = self._buffer, []
        for deliver in buffered:
            deliver()

    def receive(self, kind: str, sender: str, value: bytes) -> None:
        """Handle a message."""
        self._deliver(lambda: self.membership.handlers[kind](sender, value))

    def apply(self, kind: str, node: str, key: str, value: bytes | None) -> None:
        """Handle a record."""
        self._deliver(lambda: self.membership.callbacks[kind](node, key, value))

    async def handle_request(self) -> None:
        """Send one caller's request to a server, or refuse it."""
        await self.timers.running.wait()
        tried: set[str] = set()
        while not self.stopped:
            await self._router.probe_candidates(GROUP, "c", tried, 1.0)
            try:
                view = self._router.choose(GROUP, "c", tried, 1.0)
            except RefusedError as error:
                self._count_refusal(error)
                return
            tried.add(view.server_id)
            if await self._send(view):
                return

    async def _send(self, view: ServerView) -> bool:
        """Send the request; tell whether it was sent."""
        now_s = self.timers.now()
        permit = self.limits.take(view.server_id) if self._keeps_limits else None
        self._router.start_request(view, "c")
        # The wait for a connection.
        await self.timers.sleep(self._rng.uniform(0.0, 0.002))
        may_send = not self._keeps_limits or self.limits.may_send(
            view.server, permit, "first"
        )
        if not may_send or self.stopped:
            self._router.finish_request(view, "c", Outcome())
            return self.stopped
        await self._run(view, now_s)
        return True

    async def _run(self, view: ServerView, sent_at: float) -> None:
        entry = self._servers[view.server_id]
        self._record_send(entry, served=True)
        entry.running += 1
        await asyncio.sleep(SERVICE_S * max(1.0, entry.running / SLOTS))
        entry.running -= 1
        statement = entry.read_statement()
        await self.timers.running.wait()
        now_s = self.timers.now()
        if statement.kind == "named":
            self.told_at = min(self.told_at, now_s)
        if self._keeps_limits:
            self.limits.observe(view.server, statement, "response", sent_at)
        report = LoadReport(float(entry.running), SLOTS)
        self._router.observe_report(view, report)
        self._router.finish_request(view, "c", Outcome(200, now_s - sent_at))

    async def _probe(self, view: ServerView) -> dict[str, float] | None:
        if self._keeps_limits and self.limits.is_limited(view.server_id):
            return None
        entry = self._servers[view.server_id]
        await self.timers.sleep(2 * LOCAL_DELAY_S)
        self._record_send(entry, served=False)
        return {"in_flight": float(entry.running), "slots": float(SLOTS)}

    def _record_send(self, entry: ModelServer, served: bool) -> None:
        now_s = self.timers.now()
        counts = now_s >= self.told_at + TOLD_S and now_s > self.excused_until
        entry.sends.append(Send(now_s, self.name, counts, served))

    def _count_refusal(self, error: RefusedError) -> None:
        self.refused += 1
        self.waits_s.append(error.retry_after_s or 0.0)
        self.refused_beside_room += any(
            entry.limit_per_s is None and entry.running < SLOTS
            for entry in self._servers.values()
        )

    def _deliver(self, handle: Callable[[], None]) -> None:
        if self.stopped:
            return
        if self.timers.running.is_set():
            handle()
        else:
            self._buffer.append(handle)
