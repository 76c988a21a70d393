from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web

from geraniumbend.adapters.metrics_listener import MetricsSource, describe_process
from geraniumbend.adapters.plain_server import PlainServer, read_body
from geraniumbend.errors import GeraniumbendError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying import describe_refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.settings import ListenSettings

SERVERS_PATH = "/v1/backend-servers"
BODY_LIMIT_BYTES = 64 * 1024

declare_event(
    230,
    "announce_handler_failed",
    "error",
    "A request to the announce listener failed.",
)


class Announcements(Protocol):
    """Requests of backend servers; see `membership.AnnouncementApi`."""

    def handle(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        query: Mapping[str, str] | None = None,
        authorization: str | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Return status and JSON document of the answer."""
        ...


class AnnounceSource(MetricsSource, Protocol):
    """What the listener serves and changes."""

    def is_ready(self) -> bool:
        """Tell whether callers may send requests here."""
        ...


class AnnounceListener:
    """Serves announcements, ``/readyz``, ``/healthz``, ``/state`` and ``/metrics``.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    source : AnnounceSource
        Process that is described.
    announcements : Announcements
        Answers backend servers.
    ready_path : str, default="/readyz"
        Path that answers 200 while callers may come.
    """

    def __init__(
        self,
        listen: ListenSettings,
        source: AnnounceSource,
        announcements: Announcements,
        ready_path: str = "/readyz",
    ) -> None:
        self._ready_path = ready_path
        self._announcements = announcements
        self._source = source
        self._server = PlainServer(listen, self._handle)
        self.certificates = self._server.certificates

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._server.port

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        try:
            return await self._dispatch(request)
        except RefusedError as error:
            return _refuse(error)
        except GeraniumbendError as error:
            refusal = RefusedError(
                error.message, error.remedy, status=error.http_status, kind="refused"
            )
            return _refuse(refusal)
        except Exception as error:
            log_event(230, error=repr(error), path=request.path)
            return _refuse(RefusedError("the gateway failed", status=500))

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        method, path = request.method, request.path
        if path.startswith(SERVERS_PATH):
            status, document = self._announcements.handle(
                method,
                path,
                await read_body(request, BODY_LIMIT_BYTES),
                request.query,
                request.headers.get("Authorization"),
            )
            return _answer_json(document, status)
        if method not in ("GET", "HEAD"):
            raise RefusedError("use GET", status=405, kind="bad_method")
        if path == self._ready_path:
            ready = self._source.is_ready()
            return _answer_json({"ready": ready}, 200 if ready else 503)
        if path == "/healthz":
            return _answer_json({"healthy": True})
        observation = describe_process(self._source, path)
        if observation is not None:
            return observation
        raise RefusedError("there is nothing here", status=404, kind="not_found")


def _answer_json(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(document, default=str).encode(),
        status=status,
        content_type="application/json",
    )


def _refuse(error: RefusedError) -> web.Response:
    return web.Response(
        body=describe_refusal(error, ""),
        status=error.status,
        content_type="application/problem+json",
    )
