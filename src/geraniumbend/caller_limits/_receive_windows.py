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
# Part of these bytes that all narrow windows take together; wide ones take the rest.
NARROW_SHARE = 0.75
# About the smallest receive buffer that the kernel grants.
MIN_NARROW_BYTES = 2 * 1024
# The largest legal head arrives in one round trip.
MAX_NARROW_BYTES = 16 * 1024
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
        Receive buffer of a connection without a long body.
    wide_bytes : int
        Receive buffer of a connection that receives a long body.
    wide_connections : int
        Connections that may have a wide one at the same time.
    """

    narrow_bytes: int
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
    narrow = min(max(narrow, MIN_NARROW_BYTES), MAX_NARROW_BYTES)
    wide = min(max(int(WIDE_SHARE * held_bytes), MIN_WIDE_BYTES), MAX_WIDE_BYTES)
    left_bytes = unread_bytes - KERNEL_FACTOR * count * narrow
    return WindowSizes(narrow, wide, max(1, int(left_bytes) // (KERNEL_FACTOR * wide)))


class ReceiveWindows:
    """Decides which connections have a wide receive window.

    Parameters
    ----------
    sizes : WindowSizes
        Sizes of the windows; may be replaced.
    """

    def __init__(self, sizes: WindowSizes) -> None:
        self.sizes = sizes
        self._wide: dict[Holding, None] = {}
        self._is_wanted = False

    def __len__(self) -> int:
        """Return the number of wide windows."""
        return len(self._wide)

    def widen(self, holding: Holding) -> bool:
        """Return whether a connection with a long body gets a wide window."""
        if len(self._wide) >= self.sizes.wide_connections:
            self._is_wanted = True
            return False
        self._wide[holding] = None
        return True

    def narrow(self, holding: Holding) -> None:
        """Note that a connection is closed, or narrow and has nothing unread."""
        self._wide.pop(holding, None)

    def choose_narrowings(self) -> Iterable[Holding]:
        """Return connections to narrow at a tick because others ask for their windows.

        One that has received less than a narrow window of late does not need more.
        """
        if not self._is_wanted:
            return []
        self._is_wanted = False
        return [h for h in self._wide if h.received < self.sizes.narrow_bytes]
