from __future__ import annotations

import os
import re
from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.proxying._ports import RawHeaders

# RFC 9110, 7.6.1, with the older fields that intermediaries also remove.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Written by the gateway itself, so the caller's own fields are not copied.
REWRITTEN = frozenset(
    (
        b"content-length",
        b"expect",
        b"request-timeout",
        b"x-forwarded-for",
        b"x-forwarded-proto",
        b"x-request-id",
    )
)
# Fields of backend servers that are addressed to the gateway.
INTERNAL = frozenset((b"content-length", b"endpoint-load-metrics", b"request-not-run"))
# A Connection field must not remove what frames or routes the message.
PROTECTED = frozenset((b"host", b"content-length", b"x-request-id", b"date"))
REQUEST_ID = re.compile(r"[!-~]{1,128}")
MAX_DEADLINE_S = 86_400.0
DROPPED_FROM_REQUESTS = HOP_BY_HOP | REWRITTEN
DROPPED_FROM_ANSWERS = HOP_BY_HOP | INTERNAL | {b"x-request-id"}


def copy_request_lines(raw_headers: RawHeaders, connection: str | None) -> list[bytes]:
    """Return the end-to-end header lines of a caller's request."""
    return _copy(raw_headers, connection, DROPPED_FROM_REQUESTS)


def copy_answer_lines(raw_headers: RawHeaders, connection: str | None) -> list[bytes]:
    """Return the end-to-end header lines of a backend server's answer."""
    return _copy(raw_headers, connection, DROPPED_FROM_ANSWERS)


def contains_line_break(lines: list[bytes]) -> bool:
    """Tell whether a header line holds a line break or NUL inside its value."""
    joined = b"".join(lines)
    return (
        joined.count(b"\n") != len(lines)
        or joined.count(b"\r") != len(lines)
        or b"\0" in joined
    )


def choose_request_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id, or a new one if it is absent or unfit."""
    given = headers.get("X-Request-Id")
    if given is not None and REQUEST_ID.fullmatch(given):
        return given
    return os.urandom(16).hex()


def parse_request_timeout(text: str | None, default_s: float) -> float:
    """Return the time that a caller grants, in seconds.

    Parameters
    ----------
    text : str or None
        Value of ``Request-Timeout``.
    default_s : float
        Time of the rule.

    Returns
    -------
    float
        Seconds from now, at most one day.

    Raises
    ------
    RefusedError
        If the value is no positive number.
    """
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 < seconds < float("inf"):
        raise RefusedError(
            f"Request-Timeout {text[:40]!r} is no positive number of seconds",
            "send a decimal number of seconds",
            status=400,
            kind="bad_request",
        )
    return min(seconds, MAX_DEADLINE_S)


def _copy(
    raw_headers: RawHeaders, connection: str | None, dropped: frozenset[bytes]
) -> list[bytes]:
    if connection is not None:
        listed = connection.lower().encode("utf-8", "replace").split(b",")
        named = frozenset(token.strip() for token in listed)
        if named:
            dropped = dropped | (named - PROTECTED)
    return [
        b"%b: %b\r\n" % (name, value)
        for name, value in raw_headers
        if name.lower() not in dropped
    ]
