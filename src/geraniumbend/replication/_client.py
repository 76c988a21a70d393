"""Calls of the leader of a log from another process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import NotLeaderError, StorageError, UnavailableError
from geraniumbend.replication._messages import method_name
from geraniumbend.wire import decode, load_structs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from geraniumbend.ports import RpcCaller
    from geraniumbend.timers import TimerService

RETRY_DELAY_S = 0.05
STATUS_TIMEOUT_S = 0.5


class LogClient:
    """Calls the leader of a log from another process.

    A call is retried only if it certainly had no effect, because the host refused it
    as it is not the leader, or if it is declared idempotent.

    Parameters
    ----------
    shard : str
        Name of the log.
    addresses : sequence of str
        Peer addresses of control hosts.
    clients : RpcCaller
        Calls to other processes.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        shard: str,
        addresses: Sequence[str],
        clients: RpcCaller,
        timers: TimerService,
    ) -> None:
        self._shard = shard
        self._addresses = list(addresses)
        self._clients = clients
        self._timers = timers
        self._leader = ""
        self._next_index = 0

    async def propose(
        self, command: bytes, timeout_s: float = 5.0, is_idempotent: bool = False
    ) -> bytes:
        """Return the result of a command once it is committed.

        Parameters
        ----------
        command : bytes
            Input of the state machine.
        timeout_s : float, default=5.0
            Time for all attempts, in seconds.
        is_idempotent : bool, default=False
            Whether the command may be applied twice without harm.

        Returns
        -------
        bytes
            Result of the state machine.

        Raises
        ------
        NotLeaderError
            If no leader was found in time; the command was not appended.
        UnavailableError
            If the outcome is unknown.
        """
        method = method_name(self._shard, "propose")
        return await self.call(method, command, timeout_s, is_idempotent)

    async def read_barrier(self, timeout_s: float = 5.0) -> int:
        """Return an index that covers everything acknowledged before the call."""
        method = method_name(self._shard, "barrier")
        body = await self.call(method, b"", timeout_s, is_idempotent=True)
        return int(decode(load_structs("replication").BarrierResponse, body).index)

    async def call(
        self, method: str, body: bytes, timeout_s: float, is_idempotent: bool
    ) -> bytes:
        """Call any method that only the leader of this log serves.

        Parameters
        ----------
        method : str
            Name of an RPC method that raises NotLeaderError on other hosts.
        body : bytes
            Serialized request.
        timeout_s : float
            Time for all attempts, in seconds.
        is_idempotent : bool
            Whether the call may be executed twice without harm.

        Returns
        -------
        bytes
            Serialized response.

        Raises
        ------
        NotLeaderError
            If no leader was found in time; the call had no effect.
        UnavailableError
            If the outcome is unknown.
        """
        deadline = self._timers.now() + timeout_s
        error: UnavailableError | StorageError = self._no_leader_error()
        while self._timers.now() < deadline:
            address = self._leader or await self._find_leader()
            if address:
                remaining = deadline - self._timers.now()
                try:
                    response = await self._clients.call(
                        address, method, body, max(remaining, RETRY_DELAY_S)
                    )
                except NotLeaderError as refusal:
                    error = refusal
                    self._leader = refusal.leader if refusal.leader != address else ""
                except (UnavailableError, StorageError) as failure:
                    self._leader = ""
                    if not is_idempotent:
                        raise
                    error = failure
                else:
                    self._leader = address
                    return response
            await self._timers.sleep(RETRY_DELAY_S)
        raise error

    async def _find_leader(self) -> str:
        # The status is requested first: a call sent to a dead host would end with an
        # unknown outcome.
        structs = load_structs("replication")
        address = self._addresses[self._next_index % len(self._addresses)]
        self._next_index += 1
        method = method_name(self._shard, "status")
        try:
            body = await self._clients.call(address, method, b"", STATUS_TIMEOUT_S)
        except (UnavailableError, StorageError):
            return ""
        status = decode(structs.StatusResponse, body)
        return address if status.is_leader else str(status.leader_address or "")

    def _no_leader_error(self) -> NotLeaderError:
        return NotLeaderError(
            f"no leader of log {self._shard} among {self._addresses}",
            "check that a majority of the control hosts is running",
        )
