"""Responses of refused requests."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.errors import RefusedError
    from geraniumbend.proxying._dialect import Dialect

TYPE_PREFIX = "https://geraniumbend.invalid/problems/"


def describe_refusal(error: RefusedError, request_id: str) -> bytes:
    """Return the problem document of a refusal (RFC 9457).

    Parameters
    ----------
    error : RefusedError
        Refusal with its cause, status and run state.
    request_id : str
        Id of the request, empty if the request's head could not be parsed.

    Returns
    -------
    bytes
        JSON document of type ``application/problem+json``.
    """
    return json.dumps(
        {
            "type": TYPE_PREFIX + error.kind,
            "title": describe_status(error.status),
            "status": error.status,
            "detail": str(error),
            "run": error.run,
            "request_id": request_id,
        }
    ).encode()


def list_refusal_lines(
    error: RefusedError, request_id: str, dialect: Dialect
) -> list[bytes]:
    """Return the header lines of a refusal, without framing fields."""
    lines = [b"Content-Type: application/problem+json\r\n"]
    if request_id:
        lines.append(dialect.list_response_lines(request_id).encode())
    if error.status == HTTPStatus.UNAUTHORIZED:
        # RFC 9110, 15.5.2, requires a challenge.
        lines.append(b"WWW-Authenticate: Bearer\r\n")
    if error.retry_after_s is not None:
        value = dialect.write_retry_after(error.retry_after_s)
        lines.append(b"Retry-After: %b\r\n" % value.encode())
    return lines


def describe_status(status: int) -> str:
    """Return the reason phrase of a status code, empty if it has none."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
