"""HTTP listener for announcements, health, state and metrics."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp.web_response import Response

from geraniumbend.adapters.management_server import BodyReader, ManagementServer
from geraniumbend.adapters.metrics_listener import MetricsSource, describe_process
from geraniumbend.errors import GeraniumbendError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying import describe_refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp.web_request import BaseRequest

    from geraniumbend.adapters._caller_guard import CallerGuard
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
    """Handles requests of backend servers; see `membership.AnnouncementApi`."""

    async def handle(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        query: Mapping[str, str] | None = None,
        authorization: str | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Return status and JSON document of the response."""
        ...


class AnnounceSource(MetricsSource, Protocol):
    """Process whose readiness, state and metrics the listener serves."""

    def is_ready(self) -> bool:
        """Return whether this process accepts requests of callers."""
        ...


class AnnounceListener:
    """Serves announcements, ``/readyz``, ``/healthz``, ``/state`` and ``/metrics``.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    source : AnnounceSource
        Process whose readiness, state and metrics are served.
    announcements : Announcements
        Handles the requests of backend servers.
    ready_path : str, default="/readyz"
        Path whose status is 200 while the process is ready, otherwise 503.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    """

    def __init__(
        self,
        listen: ListenSettings,
        source: AnnounceSource,
        announcements: Announcements,
        ready_path: str = "/readyz",
        guard: CallerGuard | None = None,
    ) -> None:
        self._ready_path = ready_path
        self._announcements = announcements
        self._source = source
        self._bodies = BodyReader(BODY_LIMIT_BYTES, guard=guard)
        self._server = ManagementServer(
            listen, self._handle, guard=guard, name="announce"
        )
        self.certificates = self._server.certificates

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        return self._server.port

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop()

    async def _handle(self, request: BaseRequest) -> Response:
        try:
            return await self._dispatch(request)
        except RefusedError as error:
            return _refusal_response(error)
        except GeraniumbendError as error:
            refusal = RefusedError(
                error.message, error.remedy, status=error.http_status, kind="refused"
            )
            return _refusal_response(refusal)
        except Exception as error:
            log_event(230, error=repr(error), path=request.path)
            return _refusal_response(
                RefusedError("the gateway failed with an internal error", status=500)
            )

    async def _dispatch(self, request: BaseRequest) -> Response:
        method, path = request.method, request.path
        if path.startswith(SERVERS_PATH):
            status, document = await self._announcements.handle(
                method,
                path,
                await self._bodies.read(request),
                request.query,
                request.headers.get("Authorization"),
            )
            return _json_response(document, status)
        if method not in ("GET", "HEAD"):
            raise RefusedError(
                "only GET and HEAD are supported here", status=405, kind="bad_method"
            )
        if path == self._ready_path:
            ready = self._source.is_ready()
            return _json_response({"ready": ready}, 200 if ready else 503)
        if path == "/healthz":
            return _json_response({"healthy": True})
        response = describe_process(self._source, path)
        if response is not None:
            return response
        raise RefusedError("path is unknown", status=404, kind="not_found")


def _json_response(document: Any, status: int = 200) -> Response:
    return Response(
        body=json.dumps(document, default=str).encode(),
        status=status,
        content_type="application/json",
    )


def _refusal_response(error: RefusedError) -> Response:
    return Response(
        body=describe_refusal(error, ""),
        status=error.status,
        content_type="application/problem+json",
    )
