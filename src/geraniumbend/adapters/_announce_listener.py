from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated, Any, Protocol
from urllib.parse import unquote

import msgspec
from aiohttp import web
from msgspec import Meta

from geraniumbend.adapters._http_tls import create_server_context
from geraniumbend.errors import GeraniumbendError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership import Announcement
from geraniumbend.model import BackendServer
from geraniumbend.proxying import describe_refusal

if TYPE_CHECKING:
    from geraniumbend.settings import ListenSettings

SERVERS_PATH = "/v1/backend-servers/"
BODY_LIMIT_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 1.0
Positive = Annotated[int, Meta(ge=1, le=1_000_000)]

declare_event(
    230,
    "announce_handler_failed",
    "error",
    "A request to the announce listener failed.",
)


class AnnouncementDocument(msgspec.Struct):
    """JSON document of an announcement; unknown members are ignored."""

    host: Annotated[str, Meta(min_length=1, max_length=255)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    failure_domain: Annotated[str, Meta(max_length=255)] = ""
    labels: dict[str, str] = {}
    slots: Positive = 1
    connection_limit: Positive = 220
    in_flight: Annotated[int, Meta(ge=0)] = 0
    draining: bool = False
    incarnation: Annotated[int, Meta(ge=0, lt=2**62)] = 0
    lease_s: Annotated[float, Meta(gt=0, le=60)] = 10.0


class AnnounceSource(Protocol):
    """What the listener serves and changes."""

    def announce(self, announcement: Announcement) -> object:
        """Take an announcement."""
        ...

    def depart(self, server_id: str) -> object:
        """Deregister a backend server."""
        ...

    def is_ready(self) -> bool:
        """Tell whether callers may send requests here."""
        ...

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...


class AnnounceListener:
    """Serves announcements, ``/readyz``, ``/healthz``, ``/state`` and ``/metrics``.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    source : AnnounceSource
        Process that is described.
    """

    def __init__(self, listen: ListenSettings, source: AnnounceSource) -> None:
        self.port = listen.port
        self._listen = listen
        self._source = source
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen."""
        server = web.Server(
            self._handle, access_log=None, keepalive_timeout=IDLE_TIMEOUT_S
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=STOP_TIMEOUT_S)
        await self._runner.setup()
        tls = self._listen.tls
        site = web.TCPSite(
            self._runner,
            self._listen.host,
            self._listen.port,
            ssl_context=None if tls is None else create_server_context(tls),
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

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
            server_id = unquote(path[len(SERVERS_PATH) :])
            if not server_id or len(server_id) > 255:
                raise RefusedError("server id is missing", status=404, kind="not_found")
            if method == "PUT":
                return await self._announce(server_id, request)
            if method == "DELETE":
                self._source.depart(server_id)
                return _answer_json({})
            raise RefusedError("use PUT or DELETE", status=405, kind="bad_method")
        if method not in ("GET", "HEAD"):
            raise RefusedError("use GET", status=405, kind="bad_method")
        if path == "/readyz":
            ready = self._source.is_ready()
            return _answer_json({"ready": ready}, 200 if ready else 503)
        if path == "/healthz":
            return _answer_json({"healthy": True})
        if path == "/state":
            return _answer_json(self._source.dump())
        if path == "/metrics":
            return web.Response(
                body=self._source.render_metrics(),
                headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
            )
        raise RefusedError("there is nothing here", status=404, kind="not_found")

    async def _announce(self, server_id: str, request: web.BaseRequest) -> web.Response:
        body = b""
        while data := await request.content.readany():
            body += data
            if len(body) > BODY_LIMIT_BYTES:
                raise RefusedError("announcement is too long", status=413, kind="bad")
        try:
            document = msgspec.json.decode(body, type=AnnouncementDocument)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise RefusedError(
                f"announcement is invalid: {error}",
                "see the page on announcing backend servers",
                status=400,
                kind="bad_announcement",
            ) from error
        fields = {
            name: getattr(document, name)
            for name in BackendServer._fields
            if hasattr(document, name)
        }
        server = BackendServer(**{**fields, "server_id": server_id})
        self._source.announce(
            Announcement(server, document.in_flight, document.lease_s)
        )
        return _answer_json({"lease_s": document.lease_s})


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
