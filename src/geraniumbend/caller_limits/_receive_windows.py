"""Receive windows of callers' connections, which share what the host can hold unread.

Bytes that have arrived count towards the memory of the process before they are read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.caller_limits._account import Holding

# Bytes that may wait unread in the kernel, as a part of the account. The account is a
# fifth of the memory of the host, so this is an eighth of it.
UNREAD_SHARE = 0.625
# Parts of these bytes that all narrow windows and all ordinary ones take together; wide
# ones take the rest.
NARROW_SHARE = 0.5
ORDINARY_SHARE = 0.25
# About the smallest receive buffer that the kernel grants.
MIN_NARROW_BYTES = 2 * 1024
# Receive buffer of a connection while there are few; enough for the largest legal head.
ORDINARY_BYTES = 16 * 1024
# Part of the account that a wide receive buffer takes, and its bounds in bytes.
WIDE_SHARE = 1 / 512
MIN_WIDE_BYTES = 16 * 1024
MAX_WIDE_BYTES = 128 * 1024
# The kernel doubles a receive buffer for its own overhead, and fills most of it with
# payload once the window has grown.
KERNEL_FACTOR = 2


class WindowSizes(NamedTuple):
    """Sizes of receive buffers, as they are set on sockets.

    Parameters
    ----------
    narrow_bytes : int
        Receive buffer of a connection when it is accepted.
    ordinary_bytes : int
        Receive buffer of a connection while there are few.
    ordinary_connections : int
        Connections that may have an ordinary one at the same time.
    wide_bytes : int
        Receive buffer of a connection that receives a long body.
    wide_connections : int
        Connections that may have a wide one at the same time.
    """

    narrow_bytes: int
    ordinary_bytes: int
    ordinary_connections: int
    wide_bytes: int
    wide_connections: int


def limit_connections(held_bytes: int) -> int:
    """Return the connections for which the narrowest windows stay within their share.

    Parameters
    ----------
    held_bytes : int
        Limit of the account.
    """
    narrow_bytes = NARROW_SHARE * UNREAD_SHARE * held_bytes
    return int(narrow_bytes) // (KERNEL_FACTOR * MIN_NARROW_BYTES)


def choose_windows(held_bytes: int, connections: int) -> WindowSizes:
    """Return sizes with which all connections together stay below `UNREAD_SHARE`.

    Parameters
    ----------
    held_bytes : int
        Limit of the account.
    connections : int
        Connections that callers may have; 0 stands for `limit_connections`.
    """
    unread_bytes = UNREAD_SHARE * held_bytes
    count = connections or limit_connections(held_bytes)
    narrow = int(NARROW_SHARE * unread_bytes) // (KERNEL_FACTOR * count)
    narrow = min(max(narrow, MIN_NARROW_BYTES), ORDINARY_BYTES)
    ordinary_count = int(ORDINARY_SHARE * unread_bytes) // (
        KERNEL_FACTOR * ORDINARY_BYTES
    )
    wide = min(max(int(WIDE_SHARE * held_bytes), MIN_WIDE_BYTES), MAX_WIDE_BYTES)
    taken_bytes = KERNEL_FACTOR * (count * narrow + ordinary_count * ORDINARY_BYTES)
    wide_count = int(unread_bytes - taken_bytes) // (KERNEL_FACTOR * wide)
    return WindowSizes(narrow, ORDINARY_BYTES, ordinary_count, wide, max(1, wide_count))


class ReceiveWindows:
    """Decides which connections have an ordinary or a wide receive window.

    Parameters
    ----------
    sizes : WindowSizes
        Sizes of the windows; may be replaced.
    """

    def __init__(self, sizes: WindowSizes) -> None:
        self.sizes = sizes
        self._ordinary: set[Holding] = set()
        self._wide: dict[Holding, None] = {}
        self._is_wanted = False

    def __len__(self) -> int:
        """Return the number of wide windows."""
        return len(self._wide)

    def open(self, holding: Holding) -> bool:
        """Return whether a new connection gets an ordinary window in its place."""
        if len(self._ordinary) >= self.sizes.ordinary_connections:
            return False
        self._ordinary.add(holding)
        return True

    def close(self, holding: Holding) -> None:
        """Note that a connection is closed."""
        self._ordinary.discard(holding)
        self._wide.pop(holding, None)

    def widen(self, holding: Holding) -> bool:
        """Return whether a connection with a long body gets a wide window."""
        if len(self._wide) >= self.sizes.wide_connections:
            self._is_wanted = True
            return False
        self._wide[holding] = None
        return True

    def narrow(self, holding: Holding) -> None:
        """Note that the window of a connection is not wide any more."""
        self._wide.pop(holding, None)

    def choose_narrowings(self) -> Iterable[Holding]:
        """Return connections to narrow at a tick because others ask for their windows.

        One that has received less than an ordinary window of late needs no more.
        """
        if not self._is_wanted:
            return []
        self._is_wanted = False
        return [h for h in self._wide if h.received < self.sizes.ordinary_bytes]
