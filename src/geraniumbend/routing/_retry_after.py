"""Time for which a backend server asks to get no requests, in its response."""

from __future__ import annotations

import math
from email.utils import parsedate_to_datetime
from typing import Literal, NamedTuple

# Kinds of values that responses carry; each is counted.
AskedKind = Literal["seconds", "date", "zero", "negative", "infinite", "malformed"]


class AskedTime(NamedTuple):
    """Time that a server asks for.

    Parameters
    ----------
    delay_s : float
        Seconds, 0 if the value asks for nothing or is not understood; may be infinite.
    kind : str
        Kind of the value.
    """

    delay_s: float
    kind: AskedKind


def parse_retry_after(text: str, date: str | None = None) -> AskedTime:
    """Parse the value of ``Retry-After``.

    Parameters
    ----------
    text : str
        Seconds, with a fraction if wanted, or an HTTP date.
    date : str or None, default=None
        Value of ``Date`` of the response. An HTTP date counts from it, since the clocks
        of server and gateway may differ; without it the date is not understood.

    Returns
    -------
    AskedTime
        Time, not cut to any maximum.
    """
    value = text.strip(" \t")
    try:
        delay_s = math.nan if "_" in value else float(value)
    except ValueError:
        return _parse_date(value, date)
    if math.isnan(delay_s):
        return AskedTime(0.0, "malformed")
    if delay_s <= 0:
        return AskedTime(0.0, "negative" if delay_s < 0 else "zero")
    return AskedTime(delay_s, "infinite" if math.isinf(delay_s) else "seconds")


def _parse_date(value: str, date: str | None) -> AskedTime:
    if date is None:
        return AskedTime(0.0, "malformed")
    try:
        delay = parsedate_to_datetime(value) - parsedate_to_datetime(date)
    except (ValueError, TypeError, OverflowError):
        return AskedTime(0.0, "malformed")
    return AskedTime(max(0.0, delay.total_seconds()), "date")
