"""Limits of the account from the settings and the limits of the process."""

from __future__ import annotations

from geraniumbend.caller_limits._account import AccountLimits
from geraniumbend.caller_limits._receive_windows import limit_connections

# Part of the descriptors that callers may have. The rest is for control hosts, peers,
# backend servers and files.
CALLER_SHARE = 2 / 3
MIN_CONNECTIONS = 16


def choose_limits(
    held_bytes: int, descriptor_limit: int, process_limit: int | None
) -> AccountLimits:
    """Return the limits of the account of a process.

    Parameters
    ----------
    held_bytes : int
        Bytes that may be held for unfinished work.
    descriptor_limit : int
        Descriptors that the settings permit; 0 sets no limit.
    process_limit : int or None
        Descriptors that the system permits, None if it sets no limit.
    """
    connections = limit_connections(held_bytes)
    known = [limit for limit in (descriptor_limit, process_limit) if limit]
    if known:
        connections = min(connections, int(CALLER_SHARE * min(known)))
    return AccountLimits(held_bytes, max(MIN_CONNECTIONS, connections))
