"""RPC clients of peers."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from geraniumbend import errors
from geraniumbend.adapters._rpc_frames import FrameChannel
from geraniumbend.adapters._sockets import limit_silence
from geraniumbend.errors import GeraniumbendError, UnavailableError
from geraniumbend.traffic import ignore_traffic
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.keys import KeyRing
    from geraniumbend.traffic import CountBytes

CONNECT_TIMEOUT_S = 1.0
# Time after which a connection that is not open is tried anew, in seconds; it doubles
# with each attempt, for peers of distant regions. The first packet to a host that is
# just starting is lost, and TCP sends it again only after 1 s.
FIRST_CONNECT_ATTEMPT_S = 0.15
# A connection that delivered nothing during a timed-out call of at least this length is
# not used for new calls. A middlebox may have dropped its state for the connection,
# while new connections work.
SILENT_CONNECTION_S = 0.2
ERROR_TYPES = {
    name: error_type
    for name, error_type in vars(errors).items()
    if isinstance(error_type, type) and issubclass(error_type, GeraniumbendError)
}


class _Connection:
    """One connection with its pending calls."""

    def __init__(self, channel: FrameChannel) -> None:
        self.channel = channel
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.received = 0
        self.retired = False
        self.closed = False
        self._reader_task: asyncio.Task[None] | None
        self._reader_task = asyncio.ensure_future(self._read())

    def close(self, error: Exception) -> None:
        self.retired = self.closed = True
        self.channel.close()
        # The cancelled task refers to this object, so keeping it would make a cycle.
        reader_task, self._reader_task = self._reader_task, None
        if reader_task is not None and reader_task is not asyncio.current_task():
            reader_task.cancel()
        for future in list(self.pending.values()):
            if not future.done():
                future.set_exception(error)

    async def _read(self) -> None:
        structs = load_structs()
        try:
            while True:
                response = decode(structs.RpcMessage, await self.channel.receive())
                self.received += 1
                future = self.pending.get(response.call_id)
                if future is not None and not future.done():
                    future.set_result(response)
        except (OSError, asyncio.IncompleteReadError, GeraniumbendError) as error:
            self.close(ConnectionError(f"connection lost: {error}"))


class RpcClient:
    """Calls methods of one peer; concurrent calls share one connection.

    Parameters
    ----------
    address : str
        Peer address as ``ip:port``.
    keys : KeyRing
        Cluster keys.
    """

    def __init__(self, address: str, keys: KeyRing) -> None:
        self.address = address
        self._keys = keys
        self._call_ids = itertools.count(1)
        self._connection: _Connection | None = None
        self._retired: set[_Connection] = set()
        self._connecting = asyncio.Lock()

    async def call(self, method: str, body: bytes, timeout_s: float) -> bytes:
        """Call a method of the peer.

        Parameters
        ----------
        method : str
            Name of the method.
        body : bytes
            Serialized request.
        timeout_s : float
            Timeout of the whole call, in seconds.

        Returns
        -------
        bytes
            Serialized response.

        Raises
        ------
        UnavailableError
            If the peer cannot be reached or does not respond in time; the method may
            have run.
        GeraniumbendError
            Error that the peer's handler raised, with its type restored.
        """
        used_connections: list[tuple[_Connection, int]] = []
        try:
            # Not asyncio.wait_for: it loses a cancellation that arrives when the call
            # has just finished, and the process would then never stop.
            async with asyncio.timeout(timeout_s):
                response = await self._send_request(method, body, used_connections)
        except TimeoutError as error:
            for connection, received in used_connections:
                if connection.received == received and timeout_s >= SILENT_CONNECTION_S:
                    self._retire(connection)
            raise UnavailableError(
                f"{method} at {self.address} got no response in {timeout_s:.3g} s",
                "check that the peer runs and can be reached",
            ) from error
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            raise UnavailableError(
                f"{method} at {self.address} failed: {error}",
                "check that the peer runs and can be reached",
            ) from error
        if response.error_kind:
            raise _restore_error(response)
        return response.body

    async def close(self) -> None:
        """Close the connections and fail the pending calls."""
        connections = [*self._retired]
        if self._connection is not None:
            connections.append(self._connection)
        self._connection = None
        self._retired.clear()
        for connection in connections:
            connection.close(ConnectionError("client closed"))

    async def _send_request(
        self, method: str, body: bytes, used_connections: list[tuple[_Connection, int]]
    ) -> Any:
        connection = await self._connect()
        used_connections.append((connection, connection.received))
        call_id = next(self._call_ids)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        connection.pending[call_id] = future
        try:
            message = load_structs().RpcMessage(
                call_id=call_id, method=method, body=body
            )
            connection.channel.send(encode(message))
            await connection.channel.drain()
            return await future
        finally:
            connection.pending.pop(call_id, None)
            if connection.retired and not connection.pending:
                self._retired.discard(connection)
                connection.close(ConnectionError("connection retired"))

    def _retire(self, connection: _Connection) -> None:
        """Use another connection for new calls; pending calls may still finish."""
        if self._connection is connection:
            self._connection = None
        connection.retired = True
        if connection.pending:
            self._retired.add(connection)
        else:
            connection.close(ConnectionError("connection retired"))

    async def _connect(self) -> _Connection:
        async with self._connecting:
            if self._connection is not None and not self._connection.retired:
                return self._connection
            host, _, port = self.address.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await _open_connection(host, int(port))
            channel = FrameChannel(reader, writer, self._keys, is_client=True)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await channel.open()
            except BaseException:
                channel.close()
                raise
            self._connection = _Connection(channel)
            return self._connection


class RpcClients:
    """RPC clients by peer address, created on first use.

    Parameters
    ----------
    keys : KeyRing
        Cluster keys.
    count_bytes : callable, default=ignore_traffic
        Counts the bytes of requests and responses; the purpose is the part of the
        method before the first point.
    """

    def __init__(self, keys: KeyRing, count_bytes: CountBytes = ignore_traffic) -> None:
        self._keys = keys
        self._clients: dict[str, RpcClient] = {}
        self._count_bytes = count_bytes
        self._is_local: Callable[[str], bool] = lambda address: True

    def set_locality(self, is_local: Callable[[str], bool]) -> None:
        """Set the function that tells whether a peer address is in this domain."""
        self._is_local = is_local

    async def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of the peer at an address; see `RpcClient.call`."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address, self._keys)
        purpose = method.partition(".")[0]
        self._count_bytes(purpose, self._is_local(address), len(body))
        response = await client.call(method, body, timeout_s)
        self._count_bytes(purpose, self._is_local(address), len(response or b""))
        return response

    async def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            await client.close()


async def _open_connection(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    attempt_s = FIRST_CONNECT_ATTEMPT_S
    while True:
        try:
            async with asyncio.timeout(attempt_s):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=1024 * 1024
                )
                limit_silence(writer.get_extra_info("socket"))
                return reader, writer
        except TimeoutError:
            attempt_s *= 2


def _restore_error(response: Any) -> GeraniumbendError:
    error_type = ERROR_TYPES.get(response.error_kind, UnavailableError)
    if error_type is errors.NotLeaderError:
        return errors.NotLeaderError(
            response.error_message, response.error_remedy, response.error_detail
        )
    if error_type is errors.ConflictError:
        return errors.ConflictError(
            response.error_message,
            response.error_remedy,
            int(response.error_detail or 0),
        )
    return error_type(response.error_message, response.error_remedy)
