from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from geraniumbend.proxying._headers import (
    HOP_BY_HOP,
    choose_request_id,
    parse_request_timeout,
)
from geraniumbend.routing import LoadReport, parse_report

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.proxying._ports import CallerRequest, UpstreamResponse


class Dialect(Protocol):
    """Header fields that callers, gateways and backend servers exchange.

    Attributes
    ----------
    request_id_header : str
        Field that names a request towards both sides.
    dropped_from_requests, dropped_from_answers : frozenset of bytes
        Fields in lower case that are not copied because they concern one connection,
        the gateway, or are written anew.
    not_run_statuses : frozenset of int
        Statuses that callers take for a promise that a request has not run.
    """

    not_run_statuses: frozenset[int]
    request_id_header: str
    dropped_from_requests: frozenset[bytes]
    dropped_from_responses: frozenset[bytes]

    def read_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the id of a request, a new one if the caller sent none."""
        ...

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the time that a caller grants, in seconds.

        Raises
        ------
        RefusedError
            If the field is malformed.
        """
        ...

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the header lines that are the same for all attempts."""
        ...

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the header lines of one attempt."""
        ...

    def list_response_lines(self, request_id: str) -> str:
        """Return the header lines that the gateway adds to an answer."""
        ...

    def write_retry_after(self, delay_s: float) -> str:
        """Return the value of ``Retry-After``."""
        ...

    def was_not_run(self, answer: UpstreamResponse) -> bool:
        """Tell whether a backend server states that it did not run the request."""
        ...

    def is_stale_entry(self, answer: UpstreamResponse) -> bool:
        """Tell whether another backend server than the chosen one has answered."""
        ...

    def find_defect(self, answer: UpstreamResponse, request_id: str) -> str:
        """Return why an answer must not reach the caller, empty if it may."""
        ...

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the load report of an answer, None without one."""
        ...

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return the request that asks a backend server for its load."""
        ...


class StandardDialect:
    """Fields of the gateway's own interface and of published formats."""

    # Callers read the member `run` of the problem document instead.
    not_run_statuses: frozenset[int] = frozenset()
    request_id_header = "X-Request-Id"
    # The caller's own fields are not copied where the gateway writes them anew.
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
        """Return the caller's request id, or a new one if it is absent or unfit."""
        return choose_request_id(headers.get(self.request_id_header))

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the value of ``Request-Timeout`` in seconds."""
        return parse_request_timeout(headers.get("Request-Timeout"), default_s)

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the chain of forwarders and the request id."""
        chain = _append(request.headers.get("X-Forwarded-For"), request.remote)
        schemes = _append(request.headers.get("X-Forwarded-Proto"), request.scheme)
        return (
            f"X-Forwarded-For: {chain}\r\nX-Forwarded-Proto: {schemes}\r\n"
            f"X-Request-Id: {request.request_id}\r\n"
        )

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the time that is left."""
        return f"Request-Timeout: {remaining_s:.3f}\r\n"

    def list_response_lines(self, request_id: str) -> str:
        """Return the request id."""
        return f"X-Request-Id: {request_id}\r\n"

    def write_retry_after(self, delay_s: float) -> str:
        """Return whole seconds, at least one (RFC 9110, 10.2.3)."""
        return str(max(1, math.ceil(delay_s)))

    def was_not_run(self, answer: UpstreamResponse) -> bool:
        """Tell whether the answer is a 503 that says so."""
        return answer.status == 503 and answer.headers.get("Request-Not-Run") == "1"

    def is_stale_entry(self, answer: UpstreamResponse) -> bool:
        """Return False: servers do not check whom a request is meant for."""
        return False

    def find_defect(self, answer: UpstreamResponse, request_id: str) -> str:
        """Return nothing: answers name no request."""
        return ""

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return the report of ``endpoint-load-metrics``."""
        text = headers.get("endpoint-load-metrics")
        return None if text is None else parse_report(text)

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return a request for the health path of the server's group."""
        return f"GET {path} HTTP/1.1\r\nHost: {server.host}\r\n\r\n".encode()


def _append(existing: str | None, value: str) -> str:
    return f"{existing}, {value}" if existing else value
