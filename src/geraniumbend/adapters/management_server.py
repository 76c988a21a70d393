"""HTTP server for requests at low rates: announcements, state, health and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from geraniumbend.certificates import listener_certificates
from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

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
        handler: Callable[[web.BaseRequest], Awaitable[web.Response]],
    ) -> None:
        self.port = listen.port
        self.certificates = listener_certificates(listen.tls)
        self._listen = listen
        self._handler = handler
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to listen."""
        server = web.Server(
            self._handler,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=STOP_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._listen.host,
            self._listen.port,
            ssl_context=self.certificates.context if self.certificates else None,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return the whole body of a request.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
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
