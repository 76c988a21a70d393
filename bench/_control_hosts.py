"""Simulated control hosts with the real log and configuration service."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from bench._loss_disk import LossDisk
from bench._virtual_clock import VirtualTimers
from geraniumbend.configuration import ConfigurationService, ConfigurationStore
from geraniumbend.errors import GeraniumbendError, UnavailableError
from geraniumbend.model import Configuration
from geraniumbend.replication import Replica
from geraniumbend.roles._member_reconciler import MemberReconciler
from geraniumbend.settings import ControlSettings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[bytes], Awaitable[bytes]]

SHARD = "config"
FOLDER = "data"
# Delay of a message between two hosts, in seconds.
LINK_DELAY_S = 0.0005
# Time in seconds between attempts of the operator.
OPERATOR_RETRY_S = 0.05


class Server:
    """Collects the RPC handlers of one host."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}

    def handle(self, method: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler."""

        def register(handler: Handler) -> Handler:
            self.handlers[method] = handler
            return handler

        return register


class Network:
    """Calls between simulated hosts.

    Attributes
    ----------
    cut : set of tuple of (str, str)
        Directed links that deliver nothing.
    late_s : dict of (str, str) to float
        Time in seconds that messages of a directed link take longer.
    running : dict of str to asyncio.Event
        Per host, whether its process runs; a paused one neither takes nor sends
        messages.
    handled : set of (str, str)
        Pairs of a host and the last part of a method that it has handled.
    """

    def __init__(self) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.late_s: dict[tuple[str, str], float] = {}
        self.running: dict[str, asyncio.Event] = {}
        self.handled: set[tuple[str, str]] = set()
        self.servers: dict[str, Server] = {}
        self._running: dict[str, dict[asyncio.Task[None], None]] = {}

    async def call(
        self, source: str, target: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of another host; see `RpcCaller.call`."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bytes] = loop.create_future()
        delivery = asyncio.ensure_future(
            self._deliver(source, target, method, body, future)
        )
        tasks = self._running.setdefault(target, {})
        tasks[delivery] = None
        delivery.add_done_callback(lambda task: tasks.pop(task, None))
        timer = loop.call_later(timeout_s, _expire, future, method)
        try:
            return await future
        finally:
            timer.cancel()

    async def disconnect(self, name: str) -> None:
        """End all calls that a host handles; its process has ended."""
        self.servers.pop(name, None)
        tasks = self._running.pop(name, {})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _deliver(
        self,
        source: str,
        target: str,
        method: str,
        body: bytes,
        future: asyncio.Future[bytes],
    ) -> None:
        try:
            await self._cross_link(source, target)
            if (source, target) in self.cut:
                return
            server = self.servers.get(target)
            if server is None or method not in server.handlers:
                raise UnavailableError(f"{target} is down")
            response = await server.handlers[method](body)
            self.handled.add((target, method.rpartition(".")[2]))
            await self._cross_link(target, source)
            if (target, source) in self.cut:
                return
        except asyncio.CancelledError:
            _fail(future, UnavailableError(f"{target} reset the connection"))
            raise
        except GeraniumbendError as error:
            _fail(future, error)
            return
        if not future.done():
            future.set_result(response)

    async def _cross_link(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(LINK_DELAY_S + self.late_s.get((sender, receiver), 0.0))
        for name in (sender, receiver):
            if name in self.running:
                await self.running[name].wait()


class Clients:
    """RPC client of one simulated host."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    async def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the serialized response of another host."""
        return await self._network.call(self._name, address, method, body, timeout_s)


class _NoMembers:
    def members(self) -> list[Any]:
        return []


class Host(NamedTuple):
    """Running process of a control host."""

    replica: Replica
    service: ConfigurationService
    reconciler: MemberReconciler


class ControlHosts:
    """Simulated control hosts with the real log, configuration and member changes.

    Parameters
    ----------
    founders : list of str
        Hosts that form the cluster; the others join.
    tolerated : int
        Number of disks that may be lost at once.
    sync_s : float
        Time of one sync, in seconds.
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    disks : dict of str to LossDisk
        Disk of each host that was not removed for good.
    hosts : dict of str to Host
        Running processes.
    founders_ask : bool
        Whether the founders ask each other for their logs before they form one, as
        they do where no setting tells them that this is the first start.
    """

    def __init__(
        self, founders: list[str], tolerated: int, sync_s: float, rng: random.Random
    ) -> None:
        self.founders = founders
        self.tolerated = tolerated
        self.rng = rng
        self.network = Network()
        self.disks: dict[str, LossDisk] = {}
        self.hosts: dict[str, Host] = {}
        self.version = 0
        self.acknowledged = 0
        self.founders_ask = False
        self._sync_s = sync_s

    async def start(self, name: str, is_first: bool = False) -> None:
        """Start the process of a host; its disk is created if it has none.

        Parameters
        ----------
        name : str
            Name, which is also the peer address.
        is_first : bool, default=False
            Whether the whole system starts for the first time.
        """
        disk = self.disks.setdefault(name, LossDisk(self._sync_s))
        timers = VirtualTimers()
        self.network.running[name] = timers.running
        clients = Clients(self.network, name)
        settings = ControlSettings(
            tolerated_losses=self.tolerated,
            may_found=is_first,
            is_first_start=is_first and not self.founders_ask,
            founders=self.founders,
        )
        store = ConfigurationStore()
        replica = Replica(
            SHARD,
            name,
            FOLDER,
            {founder: founder for founder in self.founders},
            store,
            clients,
            timers,
            settings,
            disk=disk,
            rng=random.Random(self.rng.random()),
        )
        service = ConfigurationService(
            replica, store, _NoMembers(), timers, clients, ["default"]
        )
        reconciler = MemberReconciler(
            [replica],
            name,
            lambda: [other for other in self.hosts if other != name],
            2 * self.tolerated + 1,
            clients,
            timers,
        )
        server = Server()
        for part in (replica, service, reconciler):
            part.register(server)  # type: ignore[arg-type]
        self.network.servers[name] = server
        await replica.start()
        reconciler.start()
        self.hosts[name] = Host(replica, service, reconciler)

    def pause(self, name: str) -> None:
        """Freeze the process of a host; its timers and messages wait."""
        self.network.running[name].clear()

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.network.running[name].set()

    async def end(self, name: str, loses_power: bool = True) -> None:
        """End a process without warning."""
        host = self.hosts.pop(name)
        await self.network.disconnect(name)
        host.reconciler.stop()
        self.disks[name].is_off = True
        await host.replica.abort()
        if loses_power:
            self.disks[name].lose_power(self.rng)
        self.disks[name].is_off = False

    async def stop(self, name: str) -> None:
        """Stop a process as SIGTERM does."""
        host = self.hosts.pop(name)
        host.reconciler.stop()
        await host.replica.stop()
        await self.network.disconnect(name)

    async def close(self) -> None:
        """End all processes."""
        for name in list(self.hosts):
            await self.end(name, loses_power=False)

    def copy_disks(self) -> dict[str, LossDisk]:
        """Return copies of all disks as they are now."""
        return {name: disk.copy() for name, disk in self.disks.items()}

    def find_leader(self) -> str:
        """Return the name of the leader, empty if there is none."""
        for name, host in self.hosts.items():
            if host.replica.is_leader:
                return name
        return ""

    async def wait_leader(self, timeout_s: float = 10.0) -> str:
        """Wait for a leader; empty after the timeout."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not self.find_leader() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(OPERATOR_RETRY_S)
        return self.find_leader()

    async def change(self, timeout_s: float = 8.0) -> bool:
        """Send the next version to the hosts in turn until one acknowledges it."""
        self.version += 1
        version = self.version
        configuration = Configuration(version=version)
        deadline = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline:
            names = list(self.hosts)
            service = self.hosts[self.rng.choice(names)].service
            try:
                async with asyncio.timeout(1.0):
                    await service.replace(configuration, b"%d" % version, "operator")
            except (GeraniumbendError, TimeoutError):
                await asyncio.sleep(OPERATOR_RETRY_S)
                continue
            self.acknowledged = max(self.acknowledged, version)
            return True
        return False

    async def read(self, timeout_s: float) -> tuple[int | None, float]:
        """Return the first version that any host reads back, and after what time.

        The version is None if no host answers within `timeout_s`.
        """
        started_s = asyncio.get_running_loop().time()
        while True:
            for host in list(self.hosts.values()):
                passed_s = asyncio.get_running_loop().time() - started_s
                if passed_s > timeout_s:
                    return None, passed_s
                try:
                    async with asyncio.timeout(1.0):
                        source = await host.service.read_source()
                except (GeraniumbendError, TimeoutError):
                    continue
                passed_s = asyncio.get_running_loop().time() - started_s
                return int(source or b"0"), passed_s
            await asyncio.sleep(OPERATOR_RETRY_S)


def _expire(future: asyncio.Future[bytes], method: str) -> None:
    _fail(future, UnavailableError(f"{method} timed out"))


def _fail(future: asyncio.Future[bytes], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
