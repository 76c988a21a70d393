"""Statements of servers about their limits."""

from __future__ import annotations

import re
from typing import Literal, NamedTuple

LIMIT_HEADER = "Server-Limit"
WARMUP_HEADER = "Warmup-Ms"
# A server that is cold for longer is treated as cold for this time, in seconds.
MAX_WARMUP_S = 3600.0
# A server that takes more requests a second than this is treated as taking this many.
MAX_LIMIT_PER_S = 1e6
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?")


class LimitStatement(NamedTuple):
    """What one response says about the limit of its backend server.

    Parameters
    ----------
    kind : {"named", "absent", "malformed"}
        Whether the response names a limit. One without the field says that there is
        none; a malformed field says nothing.
    per_s : float, default=0.0
        Requests a second that the server takes from all gateways together, if named.
    """

    kind: Literal["named", "absent", "malformed"]
    per_s: float = 0.0


ABSENT = LimitStatement("absent")
MALFORMED = LimitStatement("malformed")


def parse_statement(text: str | None) -> LimitStatement:
    """Parse the value of a limit field.

    Parameters
    ----------
    text : str or None
        Requests a second as a decimal number; None if the response has no such field.

    Returns
    -------
    LimitStatement
        Statement; a limit above `MAX_LIMIT_PER_S` is cut to it.
    """
    if text is None:
        return ABSENT
    number = text.strip(" \t")
    if not _DECIMAL.fullmatch(number):
        return MALFORMED
    return LimitStatement("named", min(float(number), MAX_LIMIT_PER_S))


def parse_warmup(text: str | None) -> float | None:
    """Parse the warm-up field of a health response.

    Parameters
    ----------
    text : str or None
        Milliseconds as a decimal number; None if the response has no such field.

    Returns
    -------
    float or None
        Time for which the server is still cold, in seconds, at most `MAX_WARMUP_S`; 0
        without the field; None if it is malformed, which says nothing.
    """
    if text is None:
        return 0.0
    number = text.strip(" \t")
    if not _DECIMAL.fullmatch(number):
        return None
    return min(float(number) / 1000, MAX_WARMUP_S)
