"""RPC server for calls of other processes."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend import errors
from geraniumbend._keys import TAG_BYTES
from geraniumbend.adapters._ports import BACKLOG, open_listener
from geraniumbend.adapters._rpc_frames import (
    MAX_FRAME_BYTES,
    FrameAllowance,
    FrameChannel,
)
from geraniumbend.adapters._sockets import limit_silence, set_receive_buffer
from geraniumbend.errors import GeraniumbendError, ProtocolError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.keys import KeyRing

    Handler = Callable[[bytes], Awaitable[bytes]]

HELLO_TIMEOUT_S = 5.0
# A peer opens a connection to send a call at once. The time suffices for a frame of
# MAX_FRAME_BYTES over a link of 2 Mbit/s.
FIRST_FRAME_TIMEOUT_S = 40.0
UNVERIFIED_LIMIT_BYTES = 2 * MAX_FRAME_BYTES
# Part of the account that peers without a verified signature may take, but at least one
# frame.
UNVERIFIED_SHARE = 0.4
# Receive buffer of a peer with a verified signature. Links between domains have about
# 1 ms, so it does not delay the largest messages.
PEER_RECEIVE_BYTES = 256 * 1024
MAX_CALLS_PER_CONNECTION = 4096

declare_event(
    110, "peer_connection_rejected", "warning", "A peer connection broke the protocol."
)
declare_event(
    111, "rpc_handler_failed", "error", "A handler raised an unexpected exception."
)


class RpcCounts(NamedTuple):
    """Counters of an RPC server.

    Parameters
    ----------
    calls : int
        Number of received calls.
    rejected : int
        Number of connections closed because of an invalid frame.
    """

    calls: int
    rejected: int


class RpcServer:
    """Serves RPC calls of other processes; one task per connection and one per call.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    keys : KeyRing
        Cluster keys.
    guard : CallerGuard or None, default=None
        Account of callers, which counts peers without a verified signature.
    """

    def __init__(
        self, host: str, port: int, keys: KeyRing, guard: CallerGuard | None = None
    ) -> None:
        self._guard = guard
        self.host = host
        self.port = port
        self._keys = keys
        self._handlers: dict[str, Handler] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._calls = 0
        self._rejected = 0
        self._allowance = FrameAllowance(_limit_unverified(guard))

    @property
    def counts(self) -> RpcCounts:
        """Return the counters."""
        return RpcCounts(self._calls, self._rejected)

    def handle(self, method: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of a method.

        Parameters
        ----------
        method : str
            Name of the method.

        Returns
        -------
        callable
            Decorator for ``async def handler(body: bytes) -> bytes``.
        """

        def register(handler: Handler) -> Handler:
            self._handlers[method] = handler
            return handler

        return register

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        ListenError
            If the address cannot be listened on.
        """
        listener = await open_listener(self.host, self.port)
        if self._guard is not None:
            self._guard.add_listener(listener)
        self._server = await asyncio.start_server(
            self._accept, sock=listener, limit=1024 * 1024, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit_silence(writer.get_extra_info("socket"))
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        channel = FrameChannel(reader, writer, self._keys, False, self._allowance)
        try:
            with self._count_unverified(writer):
                async with asyncio.timeout(HELLO_TIMEOUT_S):
                    await channel.open()
                async with asyncio.timeout(FIRST_FRAME_TIMEOUT_S):
                    first = await channel.receive()
            if self._guard is not None:
                connected = writer.get_extra_info("socket")
                set_receive_buffer(connected, PEER_RECEIVE_BYTES)
            await self._serve(channel, first)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        except asyncio.CancelledError:
            # Not raised again: asyncio's stream protocol would log it as an error.
            pass
        except GeraniumbendError as error:
            self._rejected += 1
            peer = writer.get_extra_info("peername")
            log_event(110, peer=str(peer), error=str(error))
        finally:
            channel.close()
            self._connections.discard(task)

    @contextmanager
    def _count_unverified(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Count a connection whose peer has not proved that it knows a key."""
        if self._guard is None:
            yield
            return
        source = str((writer.get_extra_info("peername") or ("",))[0])
        holding = self._guard.open(_UnverifiedPeer(writer), source, "peers")
        connected = writer.get_extra_info("socket")
        set_receive_buffer(connected, self._guard.open_window(holding))
        try:
            yield
        finally:
            self._guard.close(holding)

    async def _serve(self, channel: FrameChannel, frame: bytes) -> None:
        """Respond to the calls of a connection, beginning with a received frame."""
        structs = load_structs()
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                request = decode(structs.RpcMessage, frame)
                if len(calls) >= MAX_CALLS_PER_CONNECTION:
                    raise ProtocolError(
                        "peer has too many open calls", "wait for earlier calls"
                    )
                self._calls += 1
                call = asyncio.ensure_future(self._respond(channel, request))
                calls.add(call)
                call.add_done_callback(calls.discard)
                frame = await channel.receive()
        finally:
            for call in list(calls):
                call.cancel()

    async def _respond(self, channel: FrameChannel, request: object) -> None:
        structs = load_structs()
        response = structs.RpcMessage(call_id=request.call_id)  # type: ignore[attr-defined]
        try:
            response.body = await self._dispatch(request)
        except GeraniumbendError as error:
            response.error_kind = type(error).__name__
            response.error_message = error.message
            response.error_remedy = error.remedy
            response.error_detail = _describe_detail(error)
        except Exception as error:
            method = request.method  # type: ignore[attr-defined]
            log_event(111, method=method, error=repr(error))
            response.error_kind = "UnavailableError"
            response.error_message = f"handler of {method} failed"
            response.error_remedy = "look for event 111 in the peer's log"
        try:
            channel.send(encode(response))
            await channel.drain()
        except ConnectionError:
            pass

    async def _dispatch(self, request: object) -> bytes:
        method = request.method  # type: ignore[attr-defined]
        handler = self._handlers.get(method)
        if handler is None:
            raise ProtocolError(
                f"method {method!r} is unknown here",
                "check that both processes run compatible versions",
            )
        return await handler(request.body)  # type: ignore[attr-defined]


class _UnverifiedPeer:
    """Connection that may be closed if callers use up the descriptors."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def resume_held_back(self) -> None:
        """Do nothing: `FrameAllowance` bounds what is read."""

    def parse_next(self) -> None:
        """Do nothing: frames wait for no turn."""

    def narrow_window(self) -> None:
        """Do nothing: the window is not wide before a frame is verified."""

    def close_for_limit(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()


def _limit_unverified(guard: CallerGuard | None) -> int:
    """Return the bytes of frames that peers without a verified signature may send."""
    if guard is None:
        return UNVERIFIED_LIMIT_BYTES
    # A frame is followed by its tag.
    share = max(
        MAX_FRAME_BYTES + TAG_BYTES, int(UNVERIFIED_SHARE * guard.held_limit_bytes)
    )
    return min(UNVERIFIED_LIMIT_BYTES, share)


def _describe_detail(error: GeraniumbendError) -> str:
    if isinstance(error, errors.NotLeaderError):
        return error.leader
    if isinstance(error, errors.ConflictError):
        return str(error.current_revision)
    return ""
