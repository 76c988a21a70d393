"""Receive window of one connection of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.adapters._sockets import count_unread, set_receive_buffer

if TYPE_CHECKING:
    import socket

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.caller_limits import Holding


class ConnectionWindow:
    """Receive window of one connection, wide while a long body arrives.

    Parameters
    ----------
    guard : CallerGuard
        Decides whether the window may be wide.
    holding : Holding
        Holding of the connection.
    connected : socket.socket
        Socket of the connection, whose window is narrow.
    """

    __slots__ = ("_bytes", "_connected", "_guard", "_holding", "is_wide")

    def __init__(
        self, guard: CallerGuard, holding: Holding, connected: socket.socket
    ) -> None:
        self._guard = guard
        self._holding = holding
        self._connected = connected
        self.is_wide = False
        # Receive buffer while it is not wide, in bytes.
        self._bytes = guard.open_window(holding)
        if self._bytes > guard.window_sizes.narrow_bytes:
            set_receive_buffer(connected, self._bytes)

    def widen(self) -> None:
        """Receive more at once, if the guard permits it."""
        if not self.is_wide and self._guard.widen(self._holding):
            self.is_wide = True
            sizes = self._guard.window_sizes
            set_receive_buffer(self._connected, sizes.wide_bytes)

    def narrow(self) -> None:
        """Receive no more at once than without a long body, unless more is unread."""
        if not self.is_wide:
            return
        unread = count_unread(self._connected.fileno())
        if unread is not None and unread <= self._bytes:
            self.is_wide = False
            set_receive_buffer(self._connected, self._bytes)
            self._guard.narrow(self._holding)
