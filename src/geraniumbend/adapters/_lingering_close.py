"""Decides how long a connection stays open behind its last response."""

from __future__ import annotations

# Interval in seconds in which a lingering connection is looked at.
LOOK_PERIOD_S = 0.25
# Time in seconds without progress for which a connection stays open once its caller has
# acknowledged everything.
LINGER_S = 1.0
# Bounds of what is read and discarded behind the last response.
MAX_DISCARD_S = 30.0
MAX_DISCARDED_BYTES = 64 * 1024 * 1024


class LingeringClose:
    """Bounds of one connection that lingers.

    The kernel resets a connection that is closed with unread bytes, or on which bytes
    arrive after the close; the caller then loses what it has not received yet. So a
    connection is read until its caller closes it, within these bounds. They count looks
    instead of elapsed time: a stall of the own event loop is no silence of the caller.

    Parameters
    ----------
    stall_limit_s : float
        Longest time without progress while the caller has not acknowledged all, in
        seconds.
    discard_limit_bytes : int, default=67108864
        Maximum number of bytes that are read and discarded.
    """

    def __init__(
        self, stall_limit_s: float, discard_limit_bytes: int = MAX_DISCARDED_BYTES
    ) -> None:
        self._stall_limit_s = stall_limit_s
        self._discard_limit_bytes = discard_limit_bytes
        self._unacknowledged: int | None = None
        self._discarded = 0
        self._idle_s = 0.0
        self._discarding_s = 0.0

    def look(self, unacknowledged: int, discarded: int, unread: int = 0) -> bool:
        """Return whether the connection stays open until the next look.

        Parameters
        ----------
        unacknowledged : int
            Bytes that the caller has not acknowledged, with those not yet written.
        discarded : int
            Bytes that were read and discarded so far.
        unread : int, default=0
            Bytes that have arrived and are not read yet.
        """
        if discarded > self._discard_limit_bytes:
            return False
        if unacknowledged:
            has_moved = unacknowledged != self._unacknowledged
            limit_s = self._stall_limit_s
        else:
            has_moved = self._unacknowledged != 0 or self._has_received(
                discarded, unread
            )
            limit_s = LINGER_S
        self._unacknowledged = unacknowledged
        self._discarded = discarded
        self._idle_s = 0.0 if has_moved else self._idle_s + LOOK_PERIOD_S
        return self._idle_s < limit_s

    def _has_received(self, discarded: int, unread: int) -> bool:
        """Return whether bytes have arrived since the last look, and may go on to."""
        if self._discarding_s >= MAX_DISCARD_S:
            return False
        self._discarding_s += LOOK_PERIOD_S
        return discarded > self._discarded or bool(unread)
