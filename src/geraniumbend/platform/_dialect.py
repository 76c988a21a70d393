from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.proxying import HOP_BY_HOP, choose_request_id, refuse_deadline
from geraniumbend.routing import LoadReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.proxying import CallerRequest, UpstreamResponse

REQUEST_ID = "Geraniumbend-Request-Id"
DEADLINE = "Geraniumbend-Deadline-Ms"
TARGET = "Geraniumbend-Target-Instance"
SIGNATURE = "Geraniumbend-Response-Signature"
NOT_RUN = "Geraniumbend-Not-Executed"
LOAD = "Geraniumbend-Instance-Load"
MISDIRECTED_STATUS = 421
# The load's fourth figure is a percentage of the usual duration of work.
USUAL_DURATION = 100.0


class PlatformDialect:
    """Header fields of the platform."""

    not_run_statuses = frozenset((408, 421, 429, 503))
    request_id_header = REQUEST_ID
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
        """Return the client's id of this attempt."""
        return choose_request_id(headers.get(REQUEST_ID))

    def read_allowed_time(self, headers: Mapping[str, str], default_s: float) -> float:
        """Return the client's deadline in seconds."""
        text = headers.get(DEADLINE)
        if text is None:
            return default_s
        if not (text.isascii() and text.isdecimal() and int(text[:12])):
            raise refuse_deadline(DEADLINE, text)
        return int(text[:12]) / 1000

    def list_request_lines(self, request: CallerRequest) -> str:
        """Return the request id, as the client sent it."""
        return f"{REQUEST_ID}: {request.request_id}\r\n"

    def list_attempt_lines(self, server: BackendServer, remaining_s: float) -> str:
        """Return the time that is left and the instance that is meant."""
        remaining_ms = max(1, int(remaining_s * 1000))
        return f"{DEADLINE}: {remaining_ms}\r\n{TARGET}: {server.server_id}\r\n"

    def list_response_lines(self, request_id: str) -> str:
        """Return the request id."""
        return f"{REQUEST_ID}: {request_id}\r\n"

    def write_retry_after(self, delay_s: float) -> str:
        """Return seconds with fractions."""
        return f"{delay_s:.3f}"

    def was_not_run(self, answer: UpstreamResponse) -> bool:
        """Tell whether the instance states that it did not run the request."""
        return answer.status == MISDIRECTED_STATUS or NOT_RUN in answer.headers

    def is_stale_entry(self, answer: UpstreamResponse) -> bool:
        """Tell whether another instance has the address now."""
        return answer.status == MISDIRECTED_STATUS

    def find_defect(self, answer: UpstreamResponse, request_id: str) -> str:
        """Return why an answer must not reach the client, empty if it may."""
        headers = answer.headers
        if headers.get(REQUEST_ID, request_id) != request_id:
            return "the answer belongs to another request"
        if "Content-Encoding" in headers:
            return "the answer's body is encoded"
        if answer.status < 300 and SIGNATURE not in headers:
            return "the answer has no signature"
        return ""

    def read_report(self, headers: Mapping[str, str]) -> LoadReport | None:
        """Return running and waiting requests, slots and the duration of work."""
        text = headers.get(LOAD)
        if text is None:
            return None
        try:
            figures = [float(part) for part in text.split(",")]
        except ValueError:
            return None
        if len(figures) < 3 or not all(0 <= figure < 1e9 for figure in figures):
            return None
        slowdown = figures[3] / USUAL_DURATION if len(figures) > 3 else None
        return LoadReport(
            figures[0] + figures[1], int(figures[2]) or None, slowdown=slowdown
        )

    def write_probe(self, server: BackendServer, path: str) -> bytes:
        """Return a request for the health path of the instance's service."""
        return f"GET {path} HTTP/1.1\r\nHost: {server.host}\r\n\r\n".encode()
