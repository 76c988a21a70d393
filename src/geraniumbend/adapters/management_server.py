"""HTTP server for requests at low rates: announcements, state, health and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

# aiohttp.web also loads the router, file responses and MIME types, which cost a
# process 18 ms at its start.
from aiohttp.web_server import Server

from geraniumbend.certificates import listener_certificates
from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import Response

    from geraniumbend.settings import ListenSettings

__all__ = ["ManagementServer", "read_body"]

IDLE_TIMEOUT_S = 30.0
# Open connections delay the end of the process by at most this time, in seconds.
STOP_TIMEOUT_S = 0.2


class ManagementServer:
    """Listens on one address and passes each request to a handler.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    handler : callable
        Coroutine function that returns the response to a request.
    """

    def __init__(
        self,
        listen: ListenSettings,
        handler: Callable[[BaseRequest], Awaitable[Response]],
    ) -> None:
        self.port = listen.port
        self.certificates = listener_certificates(listen.tls)
        self._listen = listen
        self._handler = handler
        self._server: Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = Server(
            self._handler, access_log=None, keepalive_timeout=IDLE_TIMEOUT_S
        )
        self._listener = await asyncio.get_running_loop().create_server(
            self._server,
            self._listen.host,
            self._listen.port,
            ssl=self.certificates.context if self.certificates else None,
            reuse_address=True,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(STOP_TIMEOUT_S)


async def read_body(request: BaseRequest, limit_bytes: int) -> bytes:
    """Return the whole body of a request.

    Parameters
    ----------
    request : aiohttp.web_request.BaseRequest
        Request.
    limit_bytes : int
        Maximum size in bytes.

    Raises
    ------
    RefusedError
        If the body exceeds the limit (413).
    """
    parts = []
    size = 0
    while data := await request.content.readany():
        parts.append(data)
        size += len(data)
        if size > limit_bytes:
            raise RefusedError(
                f"the body exceeds {limit_bytes} bytes",
                "send a shorter body",
                status=413,
                kind="body_too_long",
            )
    return b"".join(parts)
