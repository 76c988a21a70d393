"""Forwarding of proposals and reads to the leader of the log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import NotLeaderError, StorageError, UnavailableError
from geraniumbend.replication import LogClient
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.configuration._store import ConfigurationStore
    from geraniumbend.ports import Log, RpcCaller
    from geraniumbend.timers import TimerService

# Time for all attempts of a proposal. Without a response for `ATTEMPT_PERIOD_S`, which
# an election usually takes less than, another attempt starts beside the first.
PROPOSE_TIMEOUT_S = 6.0
ATTEMPT_PERIOD_S = 2.0
RETRY_DELAY_S = 0.05
LOG_NAME = "config"


class LeaderRelay:
    """Forwards proposals and read barriers of the configuration log to its leader.

    Parameters
    ----------
    log : Log
        Replica of the configuration log in this process.
    store : ConfigurationStore
        State machine of the log.
    clients : RpcCaller
        Calls to other control hosts.
    timers : TimerService
        Source of time.
    list_control_hosts : callable
        Returns the peer addresses of the live control hosts.
    """

    def __init__(
        self,
        log: Log,
        store: ConfigurationStore,
        clients: RpcCaller,
        timers: TimerService,
        list_control_hosts: Callable[[], list[str]],
    ) -> None:
        self._log = log
        self._store = store
        self._clients = clients
        self._timers = timers
        self._list_control_hosts = list_control_hosts

    def register(self, server: RpcServer) -> None:
        """Register the RPC methods that other control hosts call."""
        server.handle("configuration.propose")(self._log.propose)
        server.handle("configuration.confirm")(self._send_confirmed)

    async def propose(self, command: bytes) -> bytes:
        """Propose a command to the leader and return its result.

        The command is proposed again while its outcome is unknown. The state machine
        therefore has to apply repeated proposals only once, as it does for changes
        with a change id.

        Parameters
        ----------
        command : bytes
            Command of the configuration log.

        Returns
        -------
        bytes
            Result of the state machine.

        Raises
        ------
        UnavailableError
            If no leader responded in time; the outcome is unknown.
        """
        deadline = self._timers.now() + PROPOSE_TIMEOUT_S
        attempts: set[asyncio.Task[bytes]] = set()
        elsewhere: asyncio.Task[bytes] | None = None
        try:
            while True:
                remaining_s = deadline - self._timers.now()
                attempt = self._attempt(command, remaining_s)
                attempts.add(asyncio.ensure_future(attempt))
                wait_s = min(ATTEMPT_PERIOD_S, remaining_s)
                try:
                    return await self._wait_for_attempts(attempts, wait_s)
                except UnavailableError as error:
                    if elsewhere is None and _names_no_leader(error):
                        search = self._attempt_elsewhere(command, remaining_s)
                        elsewhere = asyncio.ensure_future(search)
                        attempts.add(elsewhere)
                    if self._timers.now() + RETRY_DELAY_S > deadline:
                        raise UnavailableError(
                            f"the outcome of the change is unknown: {error.message}",
                            "send it again with the same change id",
                        ) from error
                await self._timers.sleep(RETRY_DELAY_S)
        finally:
            for unfinished in attempts:
                unfinished.cancel()

    async def confirm(self, timeout_s: float) -> int:
        """Return a revision that includes every change accepted before the call.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        int
            Revision that the leader held after a read barrier.

        Raises
        ------
        UnavailableError
            If no leader with a majority responds in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._log.read_barrier()
            return self._store.current.revision
        except NotLeaderError as error:
            if not error.leader:
                raise
            body = await self._clients.call(
                error.leader, "configuration.confirm", b"", timeout_s
            )
            structs = load_structs("configuration")
            return decode(structs.ConfirmedRevision, body).revision
        except TimeoutError as error:
            raise UnavailableError(
                f"no majority confirmed the revision in {timeout_s:.3g} s",
                "check that a majority of control hosts runs",
            ) from error

    async def _wait_for_attempts(
        self, attempts: set[asyncio.Task[bytes]], timeout_s: float
    ) -> bytes:
        """Return the result of the first attempt that succeeds.

        Attempts that have failed are removed. The others go on: a slow disk may still
        confirm them, and a repeated change is applied once.

        Raises
        ------
        UnavailableError
            If there is no result yet.
        """
        timeout = asyncio.ensure_future(self._timers.sleep(timeout_s))
        waits: set[asyncio.Future[Any]] = {*attempts, timeout}
        try:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timeout.cancel()
        error = UnavailableError("the configuration log did not respond in time")
        for attempt in done & attempts:
            attempts.discard(attempt)
            try:
                return attempt.result()
            except UnavailableError as failure:
                error = failure
        raise error

    async def _attempt(self, command: bytes, timeout_s: float) -> bytes:
        try:
            return await self._log.propose(command)
        except NotLeaderError as error:
            if not error.leader:
                raise
            return await self._clients.call(
                error.leader, "configuration.propose", command, timeout_s
            )

    async def _attempt_elsewhere(self, command: bytes, timeout_s: float) -> bytes:
        """Propose a command to the leader that other control hosts know of.

        This host may not have joined the log yet, so that no leader talks to it.
        """
        hosts = self._list_control_hosts()
        if not hosts:
            raise UnavailableError("no other control host is known")
        client = LogClient(LOG_NAME, hosts, self._clients, self._timers)
        try:
            return await client.call(
                "configuration.propose", command, timeout_s, is_idempotent=True
            )
        except StorageError as error:
            raise UnavailableError(error.message, error.remedy) from error

    async def _send_confirmed(self, body: bytes) -> bytes:
        index = await self._log.read_barrier()
        structs = load_structs("configuration")
        revision = self._store.current.revision
        return encode(structs.ConfirmedRevision(revision=revision, index=index))


def _names_no_leader(error: UnavailableError) -> bool:
    return isinstance(error, NotLeaderError) and not error.leader
