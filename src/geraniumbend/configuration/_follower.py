from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from geraniumbend.configuration._operations import (
    apply_operations,
    decode_operations,
    parse_configuration,
)
from geraniumbend.errors import GeraniumbendError, UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.configuration._view import ConfigurationView
    from geraniumbend.ports import RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

# The poll is short because a silent partition is only noticed when an answer is
# overdue: wait plus margin stay well below the 2 s goal of guarantee G7.
WAIT_S = 0.7
WAIT_JITTER_S = 0.2
ANSWER_MARGIN_S = 0.4
CONFIRM_MARGIN_S = 1.2
PROBE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 0.4
FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 1.0
# A process that starts learns of the control hosts within some tenths of a second.
SEARCH_PERIOD_S = 0.05
# A process that starts asks a further control host after this time in seconds without
# an answer; a host without power never answers.
STAGGER_S = 0.15

declare_event(
    600, "configuration_installed", "info", "A newer configuration is in use."
)
declare_event(
    601,
    "control_host_failed",
    "warning",
    "A control host does not serve the subscription; another one is tried.",
)


class ConfigurationFollower:
    """Keeps a view up to date by long polls at a control host.

    The control hosts are tried in rendezvous order of node and host, so that
    subscribers spread evenly and the loss of a host moves only its own subscribers.
    A host that failed is used again once a probe at the side has succeeded.

    Parameters
    ----------
    node : str
        Name of this process.
    hosts : list of str
        Peer addresses of control hosts.
    clients : RpcCaller
        Calls to control hosts.
    view : ConfigurationView
        View to keep up to date.
    timers : TimerService
        Source of time.
    find_hosts : callable or None, default=None
        Returns the peer addresses of the control hosts that are known now; used when
        `hosts` is empty.
    """

    def __init__(
        self,
        node: str,
        hosts: list[str],
        clients: RpcCaller,
        view: ConfigurationView,
        timers: TimerService,
        find_hosts: Callable[[], list[str]] | None = None,
    ) -> None:
        self.confirmed = False
        self.host = ""
        self._node = node
        self._find_hosts = find_hosts
        self._order = self._sort(hosts)
        self._clients = clients
        self._view = view
        self._timers = timers
        self._failed: set[str] = set()
        self._failures = 0
        self._task: asyncio.Task[None] | None = None
        self._probing: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        clients: RpcCaller,
        view: ConfigurationView,
        timers: TimerService,
        find_hosts: Callable[[], list[str]] | None = None,
    ) -> ConfigurationFollower:
        """Build the follower of a gateway from the process's settings."""
        hosts = settings.gateway.control
        return cls(
            settings.node.name,
            hosts,
            clients,
            view,
            timers,
            None if hosts else find_hosts,
        )

    def start(self) -> None:
        """Start to follow."""
        self._task = asyncio.ensure_future(self._follow())
        self._probing = self._timers.every(PROBE_PERIOD_S, self._probe, 0.5)

    async def stop(self) -> None:
        """Stop to follow; the view keeps its configuration."""
        if self._probing is not None:
            self._probing.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of the subscription for the state dump."""
        return {
            "revision": self._view.current.revision,
            "age_s": round(self._view.age_s(), 3),
            "confirmed": self.confirmed,
            "control_host": self.host,
            "failed_control_hosts": sorted(self._failed),
        }

    async def _follow(self) -> None:
        await self._confirm()
        while await self._find():
            self.host = self._choose()
            try:
                await self._poll(self.host)
                self._failures = 0
            except GeraniumbendError as error:
                self._note_failure(self.host, error)
                await self._timers.sleep(self._backoff_s())

    async def _confirm(self) -> None:
        """Get a first configuration from whichever control host answers first."""
        polls: dict[asyncio.Future[None], str] = {}
        try:
            while not self.confirmed and await self._find():
                idle = [host for host in self._order if host not in polls.values()]
                if idle:
                    host = self._choose(idle)
                    polls[asyncio.ensure_future(self._poll(host))] = host
                await self._wait_for_any(polls)
                failed = [poll for poll in polls if poll.done() and poll.exception()]
                for poll in failed:
                    error = poll.exception()
                    if not isinstance(error, GeraniumbendError):
                        poll.result()
                        continue
                    self._note_failure(polls.pop(poll), error)
                if failed:
                    await self._timers.sleep(self._backoff_s())
        finally:
            for poll, host in polls.items():
                if not poll.done():
                    self._failed.add(host)
                    poll.cancel()
                elif not poll.cancelled():
                    # A second answer or failure that came with the first answer.
                    poll.exception()
        self._failures = 0

    async def _wait_for_any(self, polls: Iterable[asyncio.Future[None]]) -> None:
        pause = asyncio.ensure_future(self._timers.sleep(STAGGER_S))
        try:
            await asyncio.wait({*polls, pause}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()

    async def _find(self) -> bool:
        """Wait until a control host is known; False if none ever will be."""
        while True:
            self._update_hosts()
            if self._order:
                return True
            if self._find_hosts is None:
                return False
            await self._timers.sleep(SEARCH_PERIOD_S)

    def _update_hosts(self) -> None:
        if self._find_hosts is None:
            return
        hosts = self._find_hosts()
        if set(hosts) != set(self._order):
            self._order = self._sort(hosts)
            self._failed.intersection_update(hosts)

    def _sort(self, hosts: Iterable[str]) -> list[str]:
        """Return hosts in rendezvous order for this node."""

        def digest(host: str) -> int:
            return xxhash.xxh64_intdigest(f"{self._node}\0{host}".encode())

        return sorted(hosts, key=digest)

    def _choose(self, hosts: list[str] | None = None) -> str:
        """Return the first host that has not failed, or the first one anew."""
        hosts = self._order if hosts is None else hosts
        for host in hosts:
            if host not in self._failed:
                return host
        self._failed.clear()
        return hosts[0]

    def _note_failure(self, host: str, error: GeraniumbendError) -> None:
        self._failures += 1
        self._failed.add(host)
        if self._failures <= len(self._order):
            log_event(601, host=host, error=str(error))

    def _backoff_s(self) -> float:
        rounds = self._failures // len(self._order)
        if rounds == 0:
            # The subscribers of a lost host reach the others spread over 50 ms.
            return random.uniform(0, 0.05)
        longest_s = LAST_BACKOFF_S if self.confirmed else FIRST_BACKOFF_S
        return random.uniform(0, min(FIRST_BACKOFF_S * 2**rounds, longest_s))

    async def _poll(self, host: str) -> None:
        wait_s = random.uniform(WAIT_S - WAIT_JITTER_S, WAIT_S + WAIT_JITTER_S)
        if not self.confirmed:
            wait_s = 0.0
        margin_s = ANSWER_MARGIN_S if self.confirmed else CONFIRM_MARGIN_S
        response = await self._ask(host, wait_s, wait_s + margin_s)
        self._take(response, host)

    async def _ask(self, host: str, wait_s: float, timeout_s: float) -> Any:
        structs = load_structs("configuration")
        request = structs.PollRequest(
            node=self._node,
            known_revision=self._view.current.revision,
            wait_ms=int(wait_s * 1000),
            confirm=not self.confirmed,
        )
        body = await self._clients.call(
            host, "configuration.poll", encode(request), timeout_s
        )
        return decode(structs.PollResponse, body)

    def _take(self, response: Any, host: str) -> None:
        current = self._view.current
        if response.revision < current.revision:
            raise UnavailableError(
                f"control host holds revision {response.revision}, older than "
                f"{current.revision}",
                "check whether the control hosts have lost their data",
            )
        if response.complete:
            current = parse_configuration(msgspec.json.decode(response.document))
        for change in response.changes:
            if change.revision == current.revision + 1:
                steps = decode_operations(change.operations)
                current = apply_operations(current, steps, change.revision)
        if current.revision != response.revision:
            raise UnavailableError(
                f"changes up to revision {response.revision} are incomplete",
                "the subscription starts again at another control host",
            )
        self.confirmed = True
        self._view.confirm()
        if self._view.install(current):
            log_event(
                600,
                revision=current.revision,
                version=current.version,
                rules=len(current.rules),
                host=host,
            )

    async def _probe(self) -> None:
        for host in self._order:
            if host == self.host:
                return
            if host not in self._failed:
                continue
            try:
                await self._ask(host, 0.0, PROBE_TIMEOUT_S)
            except GeraniumbendError:
                continue
            self._failed.discard(host)
            return
