"""Ends connections of callers so that their last responses arrive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.adapters._lingering_close import LOOK_PERIOD_S, LingeringClose
from geraniumbend.adapters._sockets import count_unacknowledged, count_unread
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

declare_event(
    205,
    "response_at_risk",
    "info",
    "A connection was closed before its caller had acknowledged the response, or with "
    "bytes of the caller unread; a reset may cut the response off.",
)


async def shut_down(
    transport: asyncio.Transport,
    bounds: LingeringClose,
    count_discarded: Callable[[], int],
    ends_by_close: bool = False,
) -> None:
    """End the sending side; wait until the caller has closed, or a bound is reached.

    Bytes that arrive after a plain close make the kernel reset the connection, and the
    caller loses the part of the response that it has not received. The owner of the
    connection discards what arrives meanwhile, and closes it afterwards.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection whose last response has been written.
    bounds : LingeringClose
        How long the connection stays open.
    count_discarded : callable
        Function that returns the bytes that were received and discarded so far.
    ends_by_close : bool, default=False
        Whether the end of the connection is the end of the response.
    """
    can_end = transport.can_write_eof()
    if can_end:
        transport.write_eof()
    # TLS has no end of one direction: there, only the close ends the response.
    waits_for_close = ends_by_close and not can_end
    stays = True
    while stays and not transport.is_closing():
        await asyncio.sleep(LOOK_PERIOD_S)
        unacknowledged = count_unsent(transport)
        unread = count_bytes(transport, count_unread)
        stays = bounds.look(unacknowledged, count_discarded(), unread)
        if waits_for_close and not unacknowledged:
            return


def count_unsent(transport: asyncio.Transport) -> int:
    """Return the bytes that were written and that the caller has not acknowledged."""
    unwritten = transport.get_write_buffer_size()
    return unwritten + count_bytes(transport, count_unacknowledged)


def count_bytes(
    transport: asyncio.Transport, count: Callable[[int], int | None]
) -> int:
    """Return a count of the connection's socket; 0 if it is not known.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection.
    count : callable
        Function of `_sockets` that counts bytes of a descriptor.
    """
    connected = transport.get_extra_info("socket")
    if connected is None or connected.fileno() < 0:
        return 0
    return count(connected.fileno()) or 0


def log_close_at_risk(transport: asyncio.Transport, listener: str, reason: str) -> None:
    """Log that a connection is closed, if bytes are on their way.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection, which is still open.
    listener : str
        Name of the listener.
    reason : str
        Why the connection is closed.
    """
    unwritten = transport.get_write_buffer_size()
    unacknowledged = count_bytes(transport, count_unacknowledged)
    unread = count_bytes(transport, count_unread)
    if unwritten or unacknowledged or unread:
        log_event(
            205,
            listener=listener,
            reason=reason,
            unwritten=unwritten,
            unacknowledged=unacknowledged,
            unread=unread,
        )
