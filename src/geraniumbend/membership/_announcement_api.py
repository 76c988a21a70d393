"""HTTP API for announcements of backend servers."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Annotated, Any, Protocol

import msgspec
from msgspec import Meta

from geraniumbend.errors import (
    AuthenticationError,
    ConflictError,
    GeraniumbendError,
    ProtocolError,
    UnavailableError,
)
from geraniumbend.membership._server_records import (
    MAX_LEASE_S,
    MAX_WARMUP_S,
    Announcement,
)
from geraniumbend.model import BackendServer
from geraniumbend.wire import decode_document

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.membership._membership import Membership

PREFIX = "/v1/backend-servers"
RENEWALS_PER_LEASE = 3
MAX_LABELS = 32
MAX_BODY_BYTES = 8_192
STORE_TIMEOUT_S = 0.6

Name = Annotated[str, Meta(min_length=1, max_length=120)]
# One record with its labels has to fit into a datagram.
LabelText = Annotated[str, Meta(max_length=63)]


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of ``PUT /v1/backend-servers/{server_id}``."""

    host: Annotated[str, Meta(max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    incarnation: Annotated[int, Meta(ge=1, lt=1 << 62)]
    failure_domain: LabelText = ""
    labels: Annotated[dict[LabelText, LabelText], Meta(max_length=MAX_LABELS)] = (
        msgspec.field(default_factory=dict)
    )
    slots: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    connection_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 220
    in_flight: Annotated[int, Meta(ge=0, le=1_000_000)] | None = None
    draining: bool = False
    lease_s: Annotated[float, Meta(ge=1, le=MAX_LEASE_S)] = 10.0
    warmup_left_s: Annotated[float, Meta(ge=0, le=MAX_WARMUP_S)] = 0.0


class DepartureStore(Protocol):
    """Stores departures so that they outlive all processes."""

    async def store(self, server_id: str, timeout_s: float) -> bool:
        """Return whether a majority of the control hosts has stored the record."""
        ...


class AnnouncementApi:
    """HTTP API of the announce listener, which backend servers call.

    Parameters
    ----------
    membership : Membership
        Records the announcements.
    departures : DepartureStore
        Stores the records of servers that leave.
    authorize : callable or None, default=None
        Checks the ``Authorization`` header, or None when it is absent; raises
        AuthenticationError.
    """

    def __init__(
        self,
        membership: Membership,
        departures: DepartureStore,
        authorize: Callable[[str | None], None] | None = None,
    ) -> None:
        self._membership = membership
        self._departures = departures
        self._authorize = authorize

    async def handle(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        query: Mapping[str, str] | None = None,
        authorization: str | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Handle one request and return its response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Decoded path without the query.
        body : bytes, default=b""
            Body of the request.
        query : mapping or None, default=None
            Query parameters.
        authorization : str or None, default=None
            ``Authorization`` header.

        Returns
        -------
        tuple of (int, dict)
            HTTP status and JSON document; errors have the members ``error``,
            ``message`` and ``remedy``.
        """
        try:
            if self._authorize is not None:
                self._authorize(authorization)
            return await self._dispatch(method, path, body, query or {})
        except AuthenticationError as error:
            return 401, _describe(error)
        except GeraniumbendError as error:
            return error.http_status, _describe(error)

    async def _dispatch(
        self, method: str, path: str, body: bytes, query: Mapping[str, str]
    ) -> tuple[int, dict[str, Any]]:
        rest = path.removeprefix(PREFIX)
        if rest == path or (rest and not rest.startswith("/")):
            return 404, _not_found(path)
        server_id = rest[1:]
        if not server_id:
            if method == "GET":
                return 200, self.list_servers()
            return 405, _not_allowed(method, "GET")
        if method == "PUT":
            return self.announce(server_id, body)
        if method == "DELETE":
            return await self.deregister(server_id, query.get("incarnation", ""))
        return 405, _not_allowed(method, "PUT or DELETE")

    def announce(self, server_id: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Record an announcement.

        Parameters
        ----------
        server_id : str
            Name of the backend server, up to 120 characters without ``/``.
        body : bytes
            JSON document; see `AnnouncementBody`.

        Returns
        -------
        tuple of (int, dict)
            Status and document.

        Raises
        ------
        ProtocolError
            If name or document is invalid.
        ConflictError
            If the incarnation is too low.
        """
        _check_server_id(server_id)
        document = _decode(body)
        server = BackendServer(
            server_id=server_id,
            host=document.host,
            port=document.port,
            failure_domain=document.failure_domain,
            labels=document.labels,
            slots=document.slots,
            connection_limit=document.connection_limit,
            incarnation=document.incarnation,
            draining=document.draining,
            warmup_left_s=document.warmup_left_s,
        )
        changed = self._membership.announce(
            Announcement(server, document.in_flight, document.lease_s)
        )
        return 200, {
            "server_id": server_id,
            "incarnation": server.incarnation,
            "changed": changed,
            "lease_s": document.lease_s,
            "renew_after_s": document.lease_s / RENEWALS_PER_LEASE,
        }

    async def deregister(
        self, server_id: str, incarnation: str
    ) -> tuple[int, dict[str, Any]]:
        """Deregister a backend server.

        Parameters
        ----------
        server_id : str
            Name of the backend server.
        incarnation : str
            Incarnation to deregister; empty for the known one.

        Returns
        -------
        tuple of (int, dict)
            Status and document.

        Raises
        ------
        ProtocolError
            If name or incarnation is invalid.
        ConflictError
            If a newer incarnation is known.
        UnavailableError
            If too few control hosts stored the change.
        """
        _check_server_id(server_id)
        if incarnation and not (incarnation.isascii() and incarnation.isdigit()):
            raise ProtocolError(
                f"incarnation {incarnation[:40]!r} is not a number",
                "send the incarnation that was announced, or none",
            )
        number = int(incarnation[:20] or 0)
        if number >= 1 << 62:
            raise ProtocolError("incarnation is too large", "use less than 2**62")
        if self._membership.deregister(server_id, number):
            # A draining server goes on announcing itself, one that has left does not.
            if not await self._departures.store(server_id, STORE_TIMEOUT_S):
                raise UnavailableError(
                    f"too few control hosts stored that {server_id!r} has left",
                    "send the request again; the gateways already respect it",
                )
            return 200, {"server_id": server_id, "deregistered": True}
        return 404, {
            "error": "UnknownServer",
            "message": f"backend server {server_id!r} is not known to this gateway",
            "remedy": "add ?incarnation=N to deregister a server that is not known yet",
        }

    def list_servers(self) -> dict[str, Any]:
        """Return all backend servers and their last announced load."""
        loads = self._membership.loads()
        documents = []
        for server_id, server in sorted(self._membership.servers().items()):
            document = server._asdict()
            load = loads.get(server_id)
            document["in_flight"] = None if load is None else load.in_flight
            documents.append(document)
        return {"servers": documents}


def _decode(body: bytes) -> AnnouncementBody:
    if len(body) > MAX_BODY_BYTES:
        raise ProtocolError(
            f"announcement of {len(body)} bytes exceeds {MAX_BODY_BYTES}",
            "send fewer or shorter labels",
        )
    try:
        document = decode_document(body, AnnouncementBody)
    except ProtocolError as error:
        raise ProtocolError(
            f"announcement is invalid: {error.message}",
            "correct the document; docs/reference/announcements.md lists its members",
        ) from error
    try:
        ipaddress.ip_address(document.host)
    except ValueError as error:
        raise ProtocolError(
            f"host {document.host!r} is not an IP address",
            "announce the address that gateways connect to",
        ) from error
    size = sum(len(k.encode()) + len(v.encode()) for k, v in document.labels.items())
    if size > 700:
        raise ProtocolError(
            f"labels take {size} bytes, more than 700", "announce fewer labels"
        )
    return document


def _check_server_id(server_id: str) -> None:
    printable = server_id.isprintable() and "/" not in server_id
    if not printable or not 0 < len(server_id.encode("utf-8", "replace")) <= 120:
        raise ProtocolError(
            "backend server id is empty, too long, not printable or contains a slash",
            "use 1 to 120 printable bytes without a slash",
        )


def _describe(error: GeraniumbendError) -> dict[str, Any]:
    document: dict[str, Any] = {
        "error": type(error).__name__,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, ConflictError):
        document["known_incarnation"] = error.current_revision
    return document


def _not_found(path: str) -> dict[str, Any]:
    return {
        "error": "NotFound",
        "message": f"path {path[:100]!r} is not served here",
        "remedy": f"use {PREFIX}/{{server_id}}",
    }


def _not_allowed(method: str, allowed: str) -> dict[str, Any]:
    return {
        "error": "MethodNotAllowed",
        "message": f"method {method[:20]!r} is not allowed here",
        "remedy": f"use {allowed}",
    }
