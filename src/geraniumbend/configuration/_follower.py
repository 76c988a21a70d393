"""Subscription of a gateway to the configuration of a control host."""

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
from geraniumbend.tasks import spawn_task
from geraniumbend.wire import decode, decompress, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.configuration._view import ConfigurationView
    from geraniumbend.ports import RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

# Polls are short because a partition that silently drops packets is noticed only when
# a response is overdue. Wait plus margin stay well below the 2 s goal of guarantee G7.
POLL_WAIT_S = 0.7
POLL_WAIT_JITTER_S = 0.2
RESPONSE_MARGIN_S = 0.4
# Longest decompressed response in bytes.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
CONFIRM_MARGIN_S = 1.2
# A poll that ends this much after its time-out shows that the process was paused.
PAUSE_MARGIN_S = 0.3
# Control hosts that a process asks at once for the newest revision after a pause.
REFRESH_HOSTS = 3
PROBE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 0.4
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# At startup, the control hosts are discovered within some tenths of a second.
DISCOVERY_PERIOD_S = 0.05
# At startup, one more control host is polled after each such delay in seconds without a
# response, because a host without power never responds.
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
    """Keeps a view up to date by long polls of one control host.

    Control hosts in the failure domain of the node are tried first, then the others,
    each in the order of rendezvous hashing of node and host. This spreads subscribers
    evenly, and the loss of a host moves only its own subscribers. A host that failed is
    used again after a background probe succeeds.

    Parameters
    ----------
    node : str
        Name of this process.
    hosts : list of str
        Peer addresses of control hosts.
    clients : RpcCaller
        RPC client for control hosts.
    view : ConfigurationView
        View to keep up to date.
    timers : TimerService
        Source of time.
    find_hosts : callable or None, default=None
        Returns the peer addresses of the control hosts known at the time of the
        call; used when `hosts` is empty.
    is_local : callable or None, default=None
        Tells whether the host at a peer address is in the failure domain of the node.
    """

    def __init__(
        self,
        node: str,
        hosts: list[str],
        clients: RpcCaller,
        view: ConfigurationView,
        timers: TimerService,
        find_hosts: Callable[[], list[str]] | None = None,
        is_local: Callable[[str], bool] | None = None,
    ) -> None:
        self.confirmed = False
        self.host = ""
        self._node = node
        self._find_hosts = find_hosts
        self._is_local = is_local
        self._ranked_hosts = self._rank(hosts)
        self._clients = clients
        self._view = view
        self._timers = timers
        self._failed_hosts: set[str] = set()
        # Why the newest poll of each host failed.
        self._errors: dict[str, str] = {}
        self._failures = 0
        # Whether the process was paused in the last poll; the next one asks at once.
        self._was_paused = False
        self._task: asyncio.Task[None] | None = None
        self._probe_timer: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        clients: RpcCaller,
        view: ConfigurationView,
        timers: TimerService,
        find_hosts: Callable[[], list[str]] | None = None,
        is_local: Callable[[str], bool] | None = None,
    ) -> ConfigurationFollower:
        """Build the follower of a gateway from the settings of the process."""
        hosts = settings.gateway.control
        return cls(
            settings.node.name,
            hosts,
            clients,
            view,
            timers,
            None if hosts else find_hosts,
            is_local,
        )

    def start(self) -> None:
        """Start following."""
        self._task = spawn_task(self._follow())
        self._probe_timer = self._timers.every(
            PROBE_PERIOD_S, self._probe_failed_hosts, 0.5
        )

    async def stop(self) -> None:
        """Stop following; the view keeps its configuration."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
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
            "failed_control_hosts": sorted(self._failed_hosts),
        }

    def describe_failures(self) -> dict[str, str]:
        """Return by control host why its newest poll failed, or that it did not."""
        return {
            host: self._errors.get(host, "has not answered yet")
            for host in self._ranked_hosts
        }

    async def _follow(self) -> None:
        await self._fetch_initial()
        while await self._wait_for_hosts():
            self.host = self._choose_host()
            try:
                await self._poll(self.host)
                self._failures = 0
            except GeraniumbendError as error:
                await self._timers.sleep(self._record_failure(self.host, error))

    async def _fetch_initial(self) -> None:
        """Get the first configuration from the control host that responds first."""
        polls: dict[asyncio.Future[None], str] = {}
        try:
            while not self.confirmed and await self._wait_for_hosts():
                unpolled = [
                    host for host in self._ranked_hosts if host not in polls.values()
                ]
                if unpolled:
                    host = self._choose_host(unpolled)
                    polls[asyncio.ensure_future(self._poll(host))] = host
                await self._wait_for_any(polls)
                failed = [poll for poll in polls if poll.done() and poll.exception()]
                for poll in failed:
                    error = poll.exception()
                    if not isinstance(error, GeraniumbendError):
                        poll.result()
                        continue
                    self._record_failure(polls.pop(poll), error)
                if failed:
                    await self._timers.sleep(self._backoff_s())
        finally:
            for poll, host in polls.items():
                if not poll.done():
                    self._failed_hosts.add(host)
                    poll.cancel()
                elif not poll.cancelled():
                    # This poll ended together with the one that succeeded; asyncio
                    # warns about exceptions that are never retrieved.
                    poll.exception()
        self._failures = 0

    async def _wait_for_any(self, polls: Iterable[asyncio.Future[None]]) -> None:
        pause = asyncio.ensure_future(self._timers.sleep(STAGGER_S))
        try:
            await asyncio.wait({*polls, pause}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()

    async def _wait_for_hosts(self) -> bool:
        """Wait until a control host is known; False if none is configured."""
        while True:
            self._update_hosts()
            if self._ranked_hosts:
                return True
            if self._find_hosts is None:
                return False
            if self.confirmed:
                self._view.record_failure(DISCOVERY_PERIOD_S)
            await self._timers.sleep(DISCOVERY_PERIOD_S)

    def _update_hosts(self) -> None:
        if self._find_hosts is None:
            return
        hosts = self._find_hosts()
        if set(hosts) != set(self._ranked_hosts):
            self._ranked_hosts = self._rank(hosts)
            self._failed_hosts.intersection_update(hosts)

    def _rank(self, hosts: Iterable[str]) -> list[str]:
        """Return local hosts before others, each in the order of rendezvous hashing."""

        def rank(host: str) -> tuple[bool, int]:
            is_remote = self._is_local is not None and not self._is_local(host)
            digest = xxhash.xxh64_intdigest(f"{self._node}\0{host}".encode())
            return is_remote, digest

        return sorted(hosts, key=rank)

    def _choose_host(self, hosts: list[str] | None = None) -> str:
        """Return the first host that has not failed; if all failed, retry the first."""
        hosts = self._ranked_hosts if hosts is None else hosts
        for host in hosts:
            if host not in self._failed_hosts:
                return host
        self._failed_hosts.clear()
        return hosts[0]

    def _record_failure(self, host: str, error: GeraniumbendError) -> float:
        """Record a failed poll; return the time until the next one, in seconds."""
        self._failures += 1
        backoff_s = self._backoff_s()
        self._view.record_failure(backoff_s)
        self._failed_hosts.add(host)
        self._errors[host] = error.message
        if self._failures <= len(self._ranked_hosts):
            log_event(601, host=host, error=str(error))
        return backoff_s

    def _backoff_s(self) -> float:
        rounds = self._failures // len(self._ranked_hosts)
        if rounds == 0:
            # Spreads the subscribers of a lost host over 50 ms at the other hosts.
            return random.uniform(0, 0.05)
        longest_s = MAX_BACKOFF_S if self.confirmed else MIN_BACKOFF_S
        return random.uniform(0, min(MIN_BACKOFF_S * 2**rounds, longest_s))

    async def _poll(self, host: str) -> None:
        wait_s = random.uniform(
            POLL_WAIT_S - POLL_WAIT_JITTER_S, POLL_WAIT_S + POLL_WAIT_JITTER_S
        )
        if not self.confirmed or self._was_paused:
            wait_s = 0.0
        margin_s = RESPONSE_MARGIN_S if self.confirmed else CONFIRM_MARGIN_S
        timeout_s = wait_s + margin_s
        latest_s = self._timers.now() + timeout_s + PAUSE_MARGIN_S
        try:
            response = await self._request_poll(host, wait_s, timeout_s)
        except GeraniumbendError:
            if self._note_pause(latest_s):
                return
            raise
        # A response from before a pause does not confirm the revision.
        self._apply_response(response, host, not self._note_pause(latest_s))

    def _note_pause(self, latest_s: float) -> bool:
        """Tell whether the process was paused in a poll, but not twice in a row."""
        is_paused = self.confirmed and self._timers.now() > latest_s
        self._was_paused = is_paused and not self._was_paused
        return self._was_paused

    async def refresh(self, timeout_s: float) -> bool:
        """Get the newest revision from the control host that responds first.

        The open poll of a process that was paused may have been answered before the
        newest revision was accepted.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether a control host returned a revision that a majority confirmed.
        """
        pending = {
            asyncio.ensure_future(self._refresh_from(host, timeout_s))
            for host in self._ranked_hosts[:REFRESH_HOSTS]
        }
        confirmed = False
        while pending and not confirmed:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            confirmed = any(refresh.result() for refresh in done)
        for refresh in pending:
            refresh.cancel()
        return confirmed

    async def _refresh_from(self, host: str, timeout_s: float) -> bool:
        """Apply the confirmed revision of one control host; tell whether it came."""
        try:
            response = await self._request_poll(host, 0.0, timeout_s, True)
            self._apply_response(response, host, True)
        except GeraniumbendError as error:
            self._errors[host] = error.message
            return False
        return True

    async def _request_poll(
        self, host: str, wait_s: float, timeout_s: float, confirm: bool = False
    ) -> Any:
        structs = load_structs("configuration")
        request = structs.PollRequest(
            node=self._node,
            known_revision=self._view.current.revision,
            wait_ms=int(wait_s * 1000),
            confirm=confirm or not self.confirmed,
            accepts_packed=True,
        )
        body = await self._clients.call(
            host, "configuration.poll", encode(request), timeout_s
        )
        response = decode(structs.PollResponse, body)
        if response.packed:
            content = decompress(response.packed, MAX_RESPONSE_BYTES)
            response = decode(structs.PollResponse, content)
        return response

    def _apply_response(self, response: Any, host: str, confirms: bool) -> None:
        current = self._view.current
        if response.revision < current.revision:
            raise UnavailableError(
                f"control host holds revision {response.revision}, which is older than "
                f"revision {current.revision} in use",
                "check whether the control hosts have lost their data",
            )
        if response.complete:
            current = parse_configuration(msgspec.json.decode(response.document))
        for change in response.changes:
            if change.revision == current.revision + 1:
                steps = decode_operations(change.operations)
                changed = apply_operations(current, steps, change.revision)
                if not set(current.evacuated) <= set(changed.evacuated):
                    # Whoever follows evacuations has to see each one before its end:
                    # servers of the domain may be cold then.
                    self._view.install(current)
                current = changed
        if current.revision != response.revision:
            raise UnavailableError(
                f"the response lacks changes up to revision {response.revision}",
                "the subscription restarts at another control host",
            )
        self.confirmed = True
        self._errors.pop(host, None)
        if confirms:
            self._view.confirm()
        if self._view.install(current):
            log_event(
                600,
                revision=current.revision,
                version=current.version,
                rules=len(current.rules),
                host=host,
            )

    async def _probe_failed_hosts(self) -> None:
        """Probe failed hosts that precede the current one until a probe succeeds."""
        for host in self._ranked_hosts:
            if host == self.host:
                return
            if host not in self._failed_hosts:
                continue
            try:
                await self._request_poll(host, 0.0, PROBE_TIMEOUT_S)
            except GeraniumbendError:
                continue
            self._failed_hosts.discard(host)
            return
