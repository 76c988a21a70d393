"""HTTP server for requests at low rates: announcements, state, health and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

# aiohttp.web also loads the router, file responses and MIME types, which cost a
# process 18 ms at its start.
from aiohttp.web_server import Server

from geraniumbend.adapters._guarded_handler import GuardedHandler
from geraniumbend.adapters._ports import BACKLOG, PORT_WAIT_S, open_listener
from geraniumbend.adapters._tls_listener import listen
from geraniumbend.certificates import listener_certificates
from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import Response

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.adapters._tls_listener import ListeningServer
    from geraniumbend.settings import ListenSettings

__all__ = ["BodyReader", "ManagementServer"]

IDLE_TIMEOUT_S = 30.0
# Open connections delay the end of the process by at most this time, in seconds.
STOP_TIMEOUT_S = 0.2
FIRST_ERROR_STATUS = 400
BODY_TIMEOUT_S = 60.0
# Time for which the rest of a body that no handler has read is read and discarded
# before the next request, in seconds.
LINGER_S = 2.0
# Longest time for which a caller receives nothing of a last response, in seconds.
STALL_LIMIT_S = 10.0
READ_BUFFER_BYTES = 128 * 1024
SHARED_BODY_BYTES = 48 * 1024 * 1024


class ManagementServer:
    """Listens on one address and passes each request to a handler.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    handler : callable
        Coroutine function that returns the response to a request.
    port_wait_s : float, default=75.0
        Longest wait for a port that is taken, in seconds.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    name : str, default="management"
        Name of the listener for events.
    """

    def __init__(
        self,
        listen: ListenSettings,
        handler: Callable[[BaseRequest], Awaitable[Response]],
        port_wait_s: float = PORT_WAIT_S,
        guard: CallerGuard | None = None,
        name: str = "management",
    ) -> None:
        self._guard = guard
        self._name = name
        self._port_wait_s = port_wait_s
        self.port = listen.port
        self.certificates = listener_certificates(listen.tls)
        self._listen = listen
        self._handler = handler
        self._server: Server | None = None
        self._listener: ListeningServer | None = None

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        ListenError
            If the address cannot be listened on.
        """
        self._server = _ManagementState(self._handler, self._guard, self._name)
        listener = await open_listener(
            self._listen.host, self._listen.port, limit_s=self._port_wait_s
        )
        self._listener = await listen(
            self._server,
            listener,
            self.certificates.context if self.certificates else None,
            self._guard,
            self._name,
            BACKLOG,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(STOP_TIMEOUT_S)


class _ManagementState(Server):
    """State shared by all connections of a listener."""

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[Response]],
        guard: CallerGuard | None,
        name: str,
    ) -> None:
        super().__init__(
            handler,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=LINGER_S,
            read_bufsize=guard.window_sizes.wide_bytes if guard else READ_BUFFER_BYTES,
        )
        self._guard = guard
        self._name = name

    def __call__(self) -> _ManagementProtocol:
        """Return the protocol of a new connection."""
        return _ManagementProtocol(
            self, self._guard, self._name, loop=self._loop, **self._kwargs
        )


class _ManagementProtocol(GuardedHandler):
    """Server side of one connection."""

    async def _handle_request(self, *arguments: Any) -> Any:
        try:
            response, is_reset = await super()._handle_request(*arguments)
        finally:
            self.note_request_end()
        if not (response.keep_alive or is_reset):
            await self.linger(STALL_LIMIT_S)
        return response, is_reset

    async def finish_response(
        self, request: BaseRequest, response: Any, start_time: float | None
    ) -> Any:
        """Write a response; a refusal before the whole body ends the connection."""
        if response.status >= FIRST_ERROR_STATUS and not request.content.is_eof():
            response.force_close()
        return await super().finish_response(request, response, start_time)


class BodyReader:
    """Reads bodies of requests; those that are not complete share a limit.

    Parameters
    ----------
    limit_bytes : int
        Maximum size of one body in bytes.
    shared_bytes : int, default=50331648
        Maximum size of all bodies that are being read, in bytes.
    timeout_s : float, default=60.0
        Maximum time for one body, in seconds.
    guard : CallerGuard or None, default=None
        Account of what callers hold, whose limit also applies to all bodies.
    """

    def __init__(
        self,
        limit_bytes: int,
        shared_bytes: int = SHARED_BODY_BYTES,
        timeout_s: float = BODY_TIMEOUT_S,
        guard: CallerGuard | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        if guard is not None:
            shared_bytes = min(shared_bytes, guard.held_limit_bytes)
        self._shared_bytes = shared_bytes
        self._timeout_s = timeout_s
        self._held_bytes = 0

    async def read(self, request: BaseRequest) -> bytes:
        """Return the whole body of a request.

        Raises
        ------
        RefusedError
            If the body exceeds its limit (413), the shared limit is reached (503), or
            the body does not arrive in time (408).
        """
        parts = []
        size = 0
        try:
            async with asyncio.timeout(self._timeout_s):
                while data := await request.content.readany():
                    size += len(data)
                    self._held_bytes += len(data)
                    self._check(size)
                    parts.append(data)
                    connection = request.protocol
                    if isinstance(connection, GuardedHandler):
                        connection.note_taken(len(data))
        except TimeoutError as error:
            raise RefusedError(
                f"the body did not arrive in {self._timeout_s:.3g} s",
                "send the whole body at once",
                status=408,
                kind="body_timeout",
            ) from error
        finally:
            self._held_bytes -= size
        return b"".join(parts)

    def _check(self, size: int) -> None:
        if size > self._limit_bytes:
            raise RefusedError(
                f"the body exceeds {self._limit_bytes} bytes",
                "send a shorter body",
                status=413,
                kind="body_too_long",
            )
        if self._held_bytes > self._shared_bytes:
            raise RefusedError(
                "too many long bodies arrive at once",
                "send the request to another host, or later",
                status=503,
                kind="bodies_too_long",
            )
