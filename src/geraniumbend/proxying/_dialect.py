"""Header fields towards callers and backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from geraniumbend.limits import (
    LIMIT_HEADER,
    WARMUP_HEADER,
    LimitStatement,
    parse_statement,
    parse_warmup,
)
from geraniumbend.proxying._headers import (
    HOP_BY_HOP,
    choose_request_id,
    parse_request_timeout,
)
from geraniumbend.routing import LoadReport, SignalFields, parse_report

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.proxying._ports import CallerRequest, UpstreamResponse
    from geraniumbend.routing import AskedTime


class Dialect(Protocol):
    """Names and formats of header fields towards callers and backend servers.

    Attributes
    ----------
    request_id_header : str
        Field that carries the request id, for callers and for backend servers.
    tenant_header : str
        Field that tells backend servers the name of the caller's tenant.
    dropped_from_requests, dropped_from_responses : frozenset of bytes
        Lower-case names of fields that are not copied: they concern a single connection
        or the gateway, or the gateway writes them itself.
    not_run_statuses : frozenset of int
        Statuses that callers understand as a promise that the request has not run.
    honoured_share : float or None
        Share of the time that they have left for which callers honour ``Retry-After``;
        None if they return later with a new time limit.
    """

    not_run_statuses: frozenset[int]
    honoured_share: float | None
    request_id_header: str
    tenant_header: str
    dropped_from_requests: frozenset[bytes]
    dropped_from_responses: frozenset[bytes]

    def read_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the id of a request, a new one if the caller sent none."""
        ...

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the time limit that a caller sets for its request, in seconds.

        Raises
        ------
        RefusedError
            If the header field is malformed.
        """
        ...

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the header lines that all attempts of a request share."""
        ...

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the header lines that differ between attempts."""
        ...

    def list_deadline_line(self, remaining_s: float) -> str:
        """Return the header line with the remaining time of a request."""
        ...

    def list_response_lines(self, request_id: str) -> str:
        """Return the header lines that the gateway adds to a response."""
        ...

    def write_retry_after(self, delay_s: float) -> str:
        """Return the value of ``Retry-After`` for a delay in seconds."""
        ...

    def was_not_run(self, response: UpstreamResponse) -> bool:
        """Tell whether a backend server states that it did not run the request."""
        ...

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Tell whether the address now belongs to another backend server."""
        ...

    def find_defect(self, response: UpstreamResponse, request_id: str) -> str:
        """Return why a response must not be passed on, empty if it may be."""
        ...

    def find_probe_defect(
        self, response: UpstreamResponse, server: BackendServer
    ) -> str:
        """Return why a response is none to a probe of a server, empty if it is one."""
        ...

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the load report in a response's header fields, None without one."""
        ...

    def read_limit(self, headers: Mapping[str, str]) -> LimitStatement:
        """Return what a response says about the limit of its backend server."""
        ...

    def read_warmup(self, headers: Mapping[str, str]) -> float | None:
        """Return how much longer a server is cold by its health response, in seconds.

        0 is returned without a statement, None if it is malformed.
        """
        ...

    def read_leaving(self, headers: Mapping[str, str]) -> bool:
        """Tell whether a response says that its backend server leaves."""
        ...

    def read_retry_after(self, response: UpstreamResponse) -> AskedTime | None:
        """Return the time that a server asks for when it turns a request away.

        None is returned without the header field, and for other statuses than 503.
        """
        ...

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return the request that asks a backend server for its load."""
        ...


class StandardDialect(SignalFields):
    """Header fields of the gateway's own interface and of published standards."""

    # Callers read `run` in the problem document instead of relying on the status.
    not_run_statuses: frozenset[int] = frozenset()
    honoured_share: float | None = None
    request_id_header = "X-Request-Id"
    tenant_header = "X-Tenant"
    # The gateway writes its own values of these fields.
    dropped_from_requests = HOP_BY_HOP | frozenset(
        (
            b"content-length",
            b"expect",
            b"request-timeout",
            b"x-forwarded-for",
            b"x-forwarded-proto",
            b"x-request-id",
        )
    )
    dropped_from_responses = HOP_BY_HOP | frozenset(
        (
            b"content-length",
            b"endpoint-load-metrics",
            b"request-not-run",
            b"x-request-id",
        )
    )

    def read_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the caller's request id, or a new one if it is absent or invalid."""
        return choose_request_id(headers.get(self.request_id_header))

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the value of ``Request-Timeout`` in seconds."""
        return parse_request_timeout(headers.get("Request-Timeout"), default_s)

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the ``X-Forwarded-*`` fields and the request id."""
        chain = _append(request.headers.get("X-Forwarded-For"), request.remote)
        schemes = _append(request.headers.get("X-Forwarded-Proto"), request.scheme)
        return (
            f"X-Forwarded-For: {chain}\r\nX-Forwarded-Proto: {schemes}\r\n"
            f"X-Request-Id: {request.request_id}\r\n"
        )

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the remaining time of the request."""
        return self.list_deadline_line(remaining_s)

    def list_deadline_line(self, remaining_s: float) -> str:
        """Return the remaining time of the request."""
        return f"Request-Timeout: {remaining_s:.3f}\r\n"

    def list_response_lines(self, request_id: str) -> str:
        """Return the request id."""
        return f"X-Request-Id: {request_id}\r\n"

    def write_retry_after(self, delay_s: float) -> str:
        """Return whole seconds, at least one (RFC 9110, 10.2.3)."""
        return str(max(1, math.ceil(delay_s)))

    def was_not_run(self, response: UpstreamResponse) -> bool:
        """Tell whether the response is a 503 with ``Request-Not-Run: 1``."""
        return response.status == 503 and response.headers.get("Request-Not-Run") == "1"

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return False: backend servers do not check for which server a request is."""
        return False

    def find_defect(self, response: UpstreamResponse, request_id: str) -> str:
        """Return a text if the response may belong to another request.

        Backend servers need not echo the id, except in a refusal on a connection that
        has carried a request before: it might be the copy of an earlier refusal, and
        a request that runs would be sent to a second server.
        """
        echoed = response.headers.get(self.request_id_header)
        if echoed is None and response.reused and self.was_not_run(response):
            return "the refusal on a used connection has no request id"
        if echoed is not None and echoed != request_id:
            return "the response belongs to another request"
        return ""

    def find_probe_defect(
        self, response: UpstreamResponse, server: BackendServer
    ) -> str:
        """Return a text if the response echoes a request id; probes have none."""
        if self.request_id_header in response.headers:
            return "the response belongs to a request"
        return ""

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the load report in ``endpoint-load-metrics`` (ORCA)."""
        text = headers.get("endpoint-load-metrics")
        return None if text is None else parse_report(text)

    def read_limit(self, headers: Mapping[str, str]) -> LimitStatement:
        """Return the requests a second in ``Server-Limit``."""
        return parse_statement(headers.get(LIMIT_HEADER))

    def read_warmup(self, headers: Mapping[str, str]) -> float | None:
        """Return the time in ``Warmup-Ms`` in seconds, 0 if it is absent."""
        return parse_warmup(headers.get(WARMUP_HEADER))

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return a request for the health path of the server's group."""
        return f"GET {path} HTTP/1.1\r\nHost: {server.host}\r\n\r\n".encode()


def _append(existing: str | None, value: str) -> str:
    return f"{existing}, {value}" if existing else value
