"""Listening socket that is open before the process can accept its connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from geraniumbend.adapters._ports import create_listener
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from geraniumbend.settings import GatewaySettings

# Connections that the kernel completes before they are accepted. Their unread bytes
# count as memory of the host, so there are fewer than later.
BACKLOG = 128

declare_event(
    142,
    "early_listener_used",
    "info",
    "Callers could connect before the gateway was ready; waited_s tells for how long.",
)
declare_event(
    143,
    "early_listener_closed",
    "warning",
    "The start took too long; callers that had connected were turned away. The stages "
    "of the start tell what it waits for.",
)


class EarlyListener:
    """Socket whose connections the kernel completes while a gateway starts.

    Callers that connect wait for the end of the start, which is some tenths of a second
    away, in place of being refused. Nothing is read from them before.

    Parameters
    ----------
    listener : socket.socket
        Listening socket.
    limit_s : float
        Longest wait of callers, in seconds.
    read_clock : callable, default=time.monotonic
        Returns the present time in seconds.
    """

    def __init__(
        self,
        listener: socket.socket,
        limit_s: float,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._listener: socket.socket | None = listener
        self._limit_s = limit_s
        self._read_clock = read_clock
        self._opened_at = read_clock()

    @classmethod
    def from_config(cls, settings: GatewaySettings) -> EarlyListener | None:
        """Open the socket for callers; None if it is off or cannot be opened yet.

        The listener for callers opens it again later, and reports what prevents it.
        """
        listen = settings.caller
        if not settings.early_listen_limit_s:
            return None
        try:
            listener = create_listener(listen.host, listen.port, BACKLOG)
        except OSError:
            return None
        return cls(listener, settings.early_listen_limit_s)

    def take(self) -> socket.socket | None:
        """Return the socket to accept its connections; None after it was closed."""
        listener, self._listener = self._listener, None
        if listener is not None:
            log_event(142, waited_s=round(self._measure_age_s(), 3))
        return listener

    def check_age(self) -> None:
        """Close the socket if callers have waited for too long.

        Those that wait are reset. Callers know from it that nothing of their requests
        was read, and use other gateways.
        """
        if self._listener is not None and self._measure_age_s() > self._limit_s:
            log_event(143, limit_s=self._limit_s)
            self.close()

    def close(self) -> None:
        """Close the socket unless it was taken."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()

    def _measure_age_s(self) -> float:
        return self._read_clock() - self._opened_at
