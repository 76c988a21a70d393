"""Header lines that are passed on, and request ids."""

from __future__ import annotations

import os
import re
from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from geraniumbend.proxying._ports import RawHeaders

# Fields of a single connection (RFC 9110, 7.6.1), with older ones that proxies remove.
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
        # Fields between gateways.
        b"forward-token",
        b"forward-caller",
        b"forward-refused",
        b"forward-tenant",
    )
)
# Token of the session in which a gateway forwards requests to another one.
FORWARD_TOKEN = "Forward-Token"
# Address and scheme of the caller, as the gateway that it called saw them.
FORWARD_CALLER = "Forward-Caller"
# Tenant and digest of the key that the forwarding gateway has checked, empty without a
# key. With the digest, the other gateway notices when the key is removed.
FORWARD_TENANT = "Forward-Tenant"
# In a refusal: why the request did not run, so that another gateway may take it.
FORWARD_REFUSED = "Forward-Refused"
# Fields that frame or route a message; a Connection field must not remove them.
PROTECTED = frozenset((b"host", b"content-length", b"x-request-id", b"date"))
REQUEST_ID = re.compile(r"[!-~]{1,128}")
MAX_DEADLINE_S = 86_400.0


def copy_lines(
    raw_headers: RawHeaders, connection: str | None, dropped: frozenset[bytes]
) -> list[bytes]:
    """Return the header lines of a message that are passed on.

    Parameters
    ----------
    raw_headers : sequence of (bytes, bytes)
        Field names and values as received.
    connection : str or None
        Value of ``Connection``, which lists further fields to drop.
    dropped : frozenset of bytes
        Lower-case names of the fields to drop.
    """
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


def contains_line_break(lines: list[bytes]) -> bool:
    """Tell whether any header line contains NUL or a line break before its end."""
    joined = b"".join(lines)
    return (
        joined.count(b"\n") != len(lines)
        or joined.count(b"\r") != len(lines)
        or b"\0" in joined
    )


def choose_request_id(given: str | None) -> str:
    """Return the caller's request id, or a new one if it is absent or invalid."""
    if given is not None and REQUEST_ID.fullmatch(given):
        return given
    return os.urandom(16).hex()


def build_deadline_error(name: str, text: str) -> RefusedError:
    """Return the refusal of a request whose time limit is malformed."""
    return RefusedError(
        f"{name} {text[:40]!r} is not a positive number",
        "send a decimal number",
        status=400,
        kind="bad_request",
    )


def parse_request_timeout(text: str | None, default_s: float) -> float:
    """Return the time limit that a caller sets for its request, in seconds.

    Parameters
    ----------
    text : str or None
        Value of ``Request-Timeout``.
    default_s : float
        Time limit of the rule, in seconds; used when the field is absent.

    Returns
    -------
    float
        Time limit in seconds, at most one day.

    Raises
    ------
    RefusedError
        If the value is not a positive number.
    """
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 < seconds < float("inf"):
        raise build_deadline_error("Request-Timeout", text)
    return min(seconds, MAX_DEADLINE_S)
