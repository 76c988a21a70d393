"""Header fields of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.limits import LimitStatement, parse_statement, parse_warmup
from geraniumbend.proxying import HOP_BY_HOP, build_deadline_error, choose_request_id
from geraniumbend.routing import LoadReport, SignalFields, parse_counts

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.proxying import CallerRequest, UpstreamResponse

REQUEST_ID = "Geraniumbend-Request-Id"
DEADLINE = "Geraniumbend-Deadline-Ms"
TENANT = "Geraniumbend-Tenant"
TARGET = "Geraniumbend-Target-Instance"
SIGNATURE = "Geraniumbend-Response-Signature"
NOT_RUN = "Geraniumbend-Not-Executed"
LOAD = "Geraniumbend-Instance-Load"
LIMIT = "Server-Limit"
WARMUP = "Geraniumbend-Warmup-Ms"
INSTANCE_ID = "Geraniumbend-Instance-Id"
MISDIRECTED_STATUS = 421


class PlatformDialect(SignalFields):
    """Header fields of the platform."""

    not_run_statuses = frozenset((408, 421, 429, 503))
    honoured_share = 1 / 3
    request_id_header = REQUEST_ID
    tenant_header = TENANT
    dropped_from_requests = HOP_BY_HOP | frozenset(
        (
            b"content-length",
            b"expect",
            REQUEST_ID.lower().encode(),
            DEADLINE.lower().encode(),
            TARGET.lower().encode(),
        )
    )
    dropped_from_responses = HOP_BY_HOP | frozenset(
        (
            b"content-length",
            REQUEST_ID.lower().encode(),
            NOT_RUN.lower().encode(),
            LOAD.lower().encode(),
        )
    )

    def read_request_id(self, headers: Mapping[str, str]) -> str:
        """Return the client's id of this attempt, or a new one if it is absent."""
        return choose_request_id(headers.get(REQUEST_ID))

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the client's deadline in seconds.

        Raises
        ------
        RefusedError
            If the field is not a positive number of milliseconds.
        """
        text = headers.get(DEADLINE)
        if text is None:
            return default_s
        if not (text.isascii() and text.isdecimal() and int(text[:12])):
            raise build_deadline_error(DEADLINE, text)
        return int(text[:12]) / 1000

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the header line with the request id, as the client sent it."""
        return f"{REQUEST_ID}: {request.request_id}\r\n"

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the header lines with the remaining time and the target instance."""
        return f"{self.list_deadline_line(remaining_s)}{TARGET}: {server.server_id}\r\n"

    def list_deadline_line(self, remaining_s: float) -> str:
        """Return the header line with the remaining time."""
        remaining_ms = max(1, int(remaining_s * 1000))
        return f"{DEADLINE}: {remaining_ms}\r\n"

    def list_response_lines(self, request_id: str) -> str:
        """Return the header line with the request id."""
        return f"{REQUEST_ID}: {request_id}\r\n"

    def write_retry_after(self, delay_s: float) -> str:
        """Return the delay as decimal seconds with three places."""
        return f"{delay_s:.3f}"

    def was_not_run(self, response: UpstreamResponse) -> bool:
        """Return whether the instance states that it did not run the request."""
        return response.status == MISDIRECTED_STATUS or NOT_RUN in response.headers

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return whether another instance has taken over the address."""
        return response.status == MISDIRECTED_STATUS

    def find_defect(self, response: UpstreamResponse, request_id: str) -> str:
        """Return why a response must not reach the client, empty if it may."""
        headers = response.headers
        if REQUEST_ID not in headers:
            # A late copy of the response to a health check has no id either.
            return "the response has no request id"
        if headers[REQUEST_ID] != request_id:
            return "the response belongs to another request"
        if "Content-Encoding" in headers:
            return "the response body has a content encoding"
        if response.status < 300 and SIGNATURE not in headers:
            return "the response has no signature"
        return ""

    def find_probe_defect(
        self, response: UpstreamResponse, server: BackendServer
    ) -> str:
        """Return why a response says nothing about an instance, empty if it does."""
        if REQUEST_ID in response.headers:
            return "the response belongs to a request"
        if response.headers.get(INSTANCE_ID, server.server_id) != server.server_id:
            return "the response is another instance's"
        return ""

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return running plus queued requests, slots and slowdown.

        None is returned if the field is absent or malformed.
        """
        return parse_counts(headers.get(LOAD))

    def read_limit(self, headers: Mapping[str, str]) -> LimitStatement:
        """Return the requests a second that an instance takes, if it names them."""
        return parse_statement(headers.get(LIMIT))

    def read_warmup(self, headers: Mapping[str, str]) -> float | None:
        """Return how much longer an instance is cold, in seconds."""
        return parse_warmup(headers.get(WARMUP))

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return a GET request for the health path of the instance's service."""
        return f"GET {path} HTTP/1.1\r\nHost: {server.host}\r\n\r\n".encode()
