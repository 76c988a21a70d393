"""What counts as a response of a backend server, a probe or a peer."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Literal

from aiohttp.http import HttpVersion10, HttpVersion11
from aiohttp.http_exceptions import BadStatusLine

if TYPE_CHECKING:
    from aiohttp.http import HttpVersion

Meaning = Literal["interim", "switch", "final", "none"]

# Statuses of three digits (RFC 9110, section 15). The parser accepts 000 to 999.
MEANINGS: tuple[tuple[range, Meaning], ...] = (
    (range(100, 101), "interim"),
    (range(101, 102), "switch"),
    (range(102, 200), "interim"),
    (range(200, 600), "final"),
)
# The parser also accepts versions 0.9 and 2.0.
VERSIONS = (HttpVersion10, HttpVersion11)
# Characters that are not part of a reason phrase (RFC 9112, section 4). The parser
# accepts all but line breaks, and parsers of callers refuse them.
NO_REASON = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class StatusLineError(ConnectionError):
    """A status line is that of no response; the connection counts as dropped."""


def classify_status(status: int) -> Meaning:
    """Return what a status code announces; ``none`` if it is that of no response."""
    for statuses, meaning in MEANINGS:
        if status in statuses:
            return meaning
    return "none"


def check_status_line(version: HttpVersion, reason: str) -> None:
    """Check what surrounds the status code of a parsed status line.

    Raises
    ------
    StatusLineError
        If it is not that of a response of HTTP/1.0 or HTTP/1.1.
    """
    if version not in VERSIONS:
        raise StatusLineError(f"HTTP/{version.major}.{version.minor} was not asked for")
    if NO_REASON.search(reason):
        raise StatusLineError("the reason phrase contains control characters")


def describe_status_error(cause: BaseException) -> StatusLineError | None:
    """Return the error for a status line that the parser refuses, None for others."""
    if isinstance(cause, BadStatusLine):
        return StatusLineError("the status line is that of no response")
    return None
