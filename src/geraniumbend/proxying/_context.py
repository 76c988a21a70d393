"""State of a request while it is handled."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import xxhash

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._headers import (
    FORWARD_CALLER,
    FORWARD_TENANT,
    FORWARD_TOKEN,
    copy_lines,
)
from geraniumbend.proxying._ports import UpstreamRequest

if TYPE_CHECKING:
    from geraniumbend.errors import GeraniumbendError
    from geraniumbend.model import BackendServer, Rule
    from geraniumbend.proxying._dialect import Dialect
    from geraniumbend.proxying._ports import BodySource, CallerRequest
    from geraniumbend.tenants import Authentication

# RFC 9110, 9.2.1, without TRACE, which reflects credentials.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# Bodies up to this size, in bytes, are read before a backend server is chosen. They can
# be sent again in a retry, and a slow upload occupies no slot of a backend server.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Orders are always read completely, because their digest covers the whole body.
MAX_ORDER_BODY_BYTES = 1024 * 1024
# Upper limit of the silence timeout as a share of the remaining time. The rest is left
# for a response on a new connection.
MAX_SILENCE_SHARE = 0.4
# Fields that the gateway writes itself towards servers, and passes on unchanged to
# another gateway, which then writes them.
KEPT_BY_FORWARDING = frozenset((b"x-forwarded-for", b"x-forwarded-proto"))


class PrefixedBody:
    """Request body whose first bytes have already been read from the caller.

    `consumed` is True once any byte was passed on; the body cannot be sent again then.

    Parameters
    ----------
    prefix : bytes
        Bytes read so far.
    rest : BodySource
        Source of the remaining bytes.
    """

    def __init__(self, prefix: bytes, rest: BodySource) -> None:
        self._prefix = prefix
        self._rest = rest
        self.consumed = False

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        self.consumed = True
        if self._prefix:
            prefix, self._prefix = self._prefix, b""
            return prefix
        return await self._rest.read_body()


class RequestContext:
    """State of a caller's request while it is handled.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    rule : Rule
        Rule that matched the request.
    group : str
        Group of backend servers that the request goes to.
    deadline_s : float
        Reading of the timer service's clock at which the response is due.
    dialect : Dialect
        Header fields towards callers and backend servers.
    started_s : float, default=0.0
        Reading of the timer service's clock at which the request arrived.

    Attributes
    ----------
    safe : bool
        Whether the request may be sent again although an earlier attempt may have run:
        it is idempotent and no order.
    send_once : bool
        Whether the request must not be sent again, even if it has not run.
    body : bytes
        Body, if it was read completely.
    source : PrefixedBody or None
        Body that is streamed because it is too large to buffer.
    fingerprint : str
        Hex digest of method, target and the start of the body; names the request in the
        quarantine.
    attempts : int
        Attempts so far.
    unresolved_attempts : int
        Attempts that may have run the request.
    tried : set of str
        Ids of the backend servers that were tried.
    waited_s : float
        Time before the first attempt, in seconds.
    authentication : Authentication or None
        Tenant of the caller; None if the configuration has no tenants.
    choice_details : dict of str to object
        Load of the last attempt's server as known when it was chosen; written to the
        log.
    """

    def __init__(
        self,
        request: CallerRequest,
        rule: Rule,
        group: str,
        deadline_s: float,
        dialect: Dialect,
        started_s: float = 0.0,
    ) -> None:
        self.started_s = started_s
        self.request = request
        self.rule = rule
        self.group = group
        self.deadline_s = deadline_s
        self.dialect = dialect
        idempotent = rule.idempotent
        if idempotent is None:
            idempotent = request.method in SAFE_METHODS
        self.safe = idempotent and rule.order is None
        self.send_once = False
        self.body = b""
        self.source: PrefixedBody | None = None
        self.fingerprint = ""
        self.tried: set[str] = set()
        self.attempts = 0
        self.unresolved_attempts = 0
        self.waited_s = 0.0
        self.choice_details: dict[str, object] = {}
        self._authentication: Authentication | None = None
        self._prefix = b""

    @property
    def authentication(self) -> Authentication | None:
        """Return the tenant of the caller; None if no tenants are configured."""
        return self._authentication

    @authentication.setter
    def authentication(self, authentication: Authentication | None) -> None:
        """Set the tenant; a request built for another one is built again."""
        self._authentication = authentication
        self._prefix = b""

    @property
    def tenant(self) -> str:
        """Return the name of the caller's tenant, empty without one."""
        return "" if self.authentication is None else self.authentication.name

    @property
    def importance(self) -> int:
        """Return the priority under overload; lower numbers are served first."""
        tenant = None if self.authentication is None else self.authentication.tenant
        if tenant is not None and tenant.importance is not None:
            return tenant.importance
        return self.rule.importance

    @property
    def body_replayable(self) -> bool:
        """Tell whether the whole body is still available for another attempt."""
        return self.source is None or not self.source.consumed

    async def read_body(self) -> None:
        """Read a body that fits into the buffer; of a larger one read the start.

        The rest of a larger body is streamed to the backend server.

        Raises
        ------
        RefusedError
            If an order's body is too large, or the body is malformed.
        """
        request = self.request
        limit = (
            MAX_ORDER_BODY_BYTES
            if self.rule.order is not None
            else MAX_BUFFERED_BODY_BYTES
        )
        if request.body_length is not None and request.body_length > limit:
            parts: list[bytes] = []
            complete = False
        else:
            parts, complete = await self._read_up_to(limit)
        if complete:
            self.body = b"".join(parts)
        elif self.rule.order is not None:
            raise RefusedError(
                f"the body of an order exceeds {MAX_ORDER_BODY_BYTES} bytes",
                status=413,
                kind="body_too_large",
            )
        else:
            self.source = PrefixedBody(b"".join(parts), request)
            request.is_streamed = True
        self.fingerprint = self._fingerprint(b"".join(parts))

    def build_request(
        self, server: BackendServer, now_s: float, silence_timeout_s: float
    ) -> UpstreamRequest:
        """Return the request for a backend server.

        Parameters
        ----------
        server : BackendServer
            Backend server that receives the request.
        now_s : float
            Reading of the timer service's clock.
        silence_timeout_s : float
            Time without a byte after which a reused connection is suspected to be
            broken, in seconds.
        """
        if not self._prefix:
            self._prefix = self._build_prefix()
        remaining_s = max(self.deadline_s - now_s, 0.001)
        lines = self.dialect.list_attempt_lines(server, remaining_s)
        return UpstreamRequest(
            method=self.request.method,
            head=b"%b%b\r\n" % (self._prefix, lines.encode()),
            body=self.body,
            source=self.source,
            chunked=self.source is not None and self.request.body_length is None,
            safe=self.safe,
            deadline_s=self.deadline_s,
            silence_timeout_s=min(silence_timeout_s, MAX_SILENCE_SHARE * remaining_s),
        )

    def build_forwarded(
        self, token: str, now_s: float, silence_timeout_s: float
    ) -> UpstreamRequest:
        """Return the request for another gateway, which handles it as this one would.

        Parameters
        ----------
        token : str
            Token of the session with that gateway.
        now_s : float
            Reading of the timer service's clock.
        silence_timeout_s : float
            Time without a byte after which a reused connection is suspected to be
            broken, in seconds.
        """
        request, dialect = self.request, self.dialect
        remaining_s = max(self.deadline_s - now_s, 0.001)
        lines = [_encode(f"{request.method} {request.target} HTTP/1.1\r\n")]
        lines += copy_lines(
            request.raw_headers,
            request.headers.get("Connection"),
            self._list_dropped() - KEPT_BY_FORWARDING,
        )
        lines += self._list_framing()
        if self.authentication is not None:
            checked = self.authentication.write_forwarded()
            lines.append(_encode(f"{FORWARD_TENANT}: {checked}\r\n"))
        lines.append(
            _encode(
                f"{dialect.request_id_header}: {request.request_id}\r\n"
                f"{dialect.list_deadline_line(remaining_s)}"
                f"{FORWARD_TOKEN}: {token}\r\n"
                f"{FORWARD_CALLER}: {request.remote} {request.scheme}\r\n\r\n"
            )
        )
        return UpstreamRequest(
            method=request.method,
            head=b"".join(lines),
            body=self.body,
            source=self.source,
            chunked=self.source is not None and request.body_length is None,
            # Sent a second time, it could run on more servers than its rule allows.
            safe=False,
            deadline_s=self.deadline_s,
            silence_timeout_s=min(silence_timeout_s, MAX_SILENCE_SHARE * remaining_s),
            purpose="forwarded",
        )

    def build_refusal(
        self,
        cause: GeraniumbendError,
        status: int = 502,
        kind: str = "backend_failed",
        retry_after_s: float | None = None,
    ) -> RefusedError:
        """Return a refusal whose `run` states whether any attempt may have run."""
        return RefusedError(
            cause.message,
            cause.remedy,
            run="unknown" if self.unresolved_attempts else "not_run",
            status=status,
            kind=kind,
            retry_after_s=retry_after_s,
        )

    async def _read_up_to(self, limit: int) -> tuple[list[bytes], bool]:
        parts: list[bytes] = []
        size = 0
        if not self.request.has_body:
            return parts, True
        while size <= limit:
            data = await self.request.read_body()
            if not data:
                return parts, True
            parts.append(data)
            size += len(data)
        return parts, False

    def _fingerprint(self, start: bytes) -> str:
        request = self.request
        digest = xxhash.xxh3_128(_encode(f"{request.method} {request.target}\n"))
        digest.update(start)
        if self.source is not None:
            digest.update(f"\n{request.body_length}".encode())
        return digest.hexdigest()

    def _build_prefix(self) -> bytes:
        request = self.request
        headers = request.headers
        lines = [_encode(f"{request.method} {request.target} HTTP/1.1\r\n")]
        lines += copy_lines(
            request.raw_headers,
            headers.get("Connection"),
            self._list_dropped(),
        )
        lines += self._list_framing()
        lines.append(_encode(self.dialect.list_request_lines(request)))
        if self.tenant:
            lines.append(_encode(f"{self.dialect.tenant_header}: {self.tenant}\r\n"))
        return b"".join(lines)

    def _list_dropped(self) -> frozenset[bytes]:
        """Return the fields that are not copied; keys are for the gateway only."""
        dropped = self.dialect.dropped_from_requests
        if self.authentication is None:
            return dropped
        return _add_tenant_fields(dropped, self.dialect.tenant_header)

    def _list_framing(self) -> list[bytes]:
        """Return the header line that frames the body, if there is one."""
        request = self.request
        if self.source is None:
            if self.body or request.has_body or request.body_length is None:
                return [b"Content-Length: %d\r\n" % len(self.body)]
            if "Content-Length" in request.headers:
                return [b"Content-Length: 0\r\n"]
            return []
        if request.body_length is None:
            return [b"Transfer-Encoding: chunked\r\n"]
        return [b"Content-Length: %d\r\n" % request.body_length]


@cache
def _add_tenant_fields(dropped: frozenset[bytes], tenant: str) -> frozenset[bytes]:
    """Add the key and the caller's own forms of the tenant's field.

    Servers with a CGI interface cannot tell ``X_Tenant`` from ``X-Tenant``.
    """
    name = tenant.lower().encode()
    return dropped | {b"authorization", name, name.replace(b"-", b"_")}


def _encode(text: str) -> bytes:
    # surrogateescape restores the bytes of the caller that are not UTF-8.
    return text.encode("utf-8", "surrogateescape")
