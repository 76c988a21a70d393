"""Connections to one backend server that are replaced together."""

from __future__ import annotations

import asyncio
import functools
import socket
import traceback
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from yarl import URL

from geraniumbend.adapters._backend_protocol import BackendProtocol
from geraniumbend.adapters._sockets import limit_silence, set_receive_buffer

if TYPE_CHECKING:
    import ssl

    from aiohttp.connector import Connection

    from geraniumbend.timers import TimerService

# Receive buffer of a connection to a backend server. What a response has beyond it
# waits at the server while the caller reads slowly.
RECEIVE_BYTES = 64 * 1024


class IdleConnection(NamedTuple):
    """A connection without an open request.

    Parameters
    ----------
    connection : aiohttp.connector.Connection
        The connection.
    since_s : float
        Time at which its last response was complete, by the timer service's clock.
    """

    connection: Connection
    since_s: float


class Generation:
    """Connections to one backend server that are replaced together.

    When one connection turns out to be silent, the pool starts a new generation and
    sends no further request on this one. aiohttp's connector opens the connections;
    idle ones are kept here, because the connector can neither close only the idle
    connections nor tell whether a connection was used before.

    Parameters
    ----------
    host : str
        IP address of the backend server.
    port : int
        TCP port.
    number : int
        Number of the generation within its pool, from 1.
    timers : TimerService
        Clock.
    tls : ssl.SSLContext or None
        TLS to the backend server.
    """

    def __init__(
        self,
        host: str,
        port: int,
        number: int,
        timers: TimerService,
        tls: ssl.SSLContext | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.number = number
        self.retired = False
        self.idle: list[IdleConnection] = []
        self._timers = timers
        self._connector = aiohttp.TCPConnector(
            limit=0, socket_factory=_create_socket, happy_eyeballs_delay=None
        )
        # The connector has no public way to choose the protocol.
        factory: Any = functools.partial(BackendProtocol, loop)
        self._connector._factory = factory
        literal = f"[{host}]" if ":" in host else host
        scheme = "http" if tls is None else "https"
        self._request = ClientRequest(
            "GET",
            URL(f"{scheme}://{literal}:{port}/"),
            loop=loop,
            ssl=True if tls is None else tls,
        )

    async def open(self, timeout_s: float) -> Connection:
        """Open a connection.

        Parameters
        ----------
        timeout_s : float
            Maximum wait in seconds.

        Returns
        -------
        aiohttp.connector.Connection
            Connection with a `BackendProtocol`.

        Raises
        ------
        aiohttp.ClientError, TimeoutError
            If the connection could not be opened in time.
        """
        timeout = aiohttp.ClientTimeout(connect=timeout_s, ceil_threshold=60)
        try:
            return await self._connector.connect(self._request, [], timeout)
        except (aiohttp.ClientError, OSError) as error:
            # The connector's frames keep the errors that refer to them: 40 objects in
            # reference cycles for each connection that is refused.
            clear_tracebacks(error)
            raise

    def take_idle(self, max_idle_s: float) -> IdleConnection | None:
        """Return the most recently used idle connection, None if there is none.

        Parameters
        ----------
        max_idle_s : float
            Maximum idle time in seconds; connections that were idle for longer are
            not returned and stay idle.
        """
        oldest_s = self._timers.now() - max_idle_s
        while self.idle and self.idle[-1].since_s >= oldest_s:
            idle = self.idle.pop()
            if get_protocol(idle.connection).is_usable():
                return idle
            idle.connection.close()
        return None

    def give_back(self, connection: Connection) -> None:
        """Add a connection to the idle ones, after its response was read completely."""
        get_protocol(connection).busy = False
        self.idle.append(IdleConnection(connection, self._timers.now()))

    def close_idle(self, older_than_s: float = -1.0) -> int:
        """Close connections that were idle for longer than a time in seconds.

        Returns
        -------
        int
            Number of closed connections.
        """
        limit_s = self._timers.now() - older_than_s
        closed = 0
        kept = []
        for entry in self.idle:
            if entry.since_s < limit_s or entry.connection.closed:
                entry.connection.close()
                closed += 1
            else:
                kept.append(entry)
        self.idle = kept
        return closed

    def retire(self) -> None:
        """Close idle connections; the others carry no further requests."""
        self.retired = True
        self.close_idle()

    async def close(self) -> None:
        """Close all connections."""
        self.retire()
        await self._connector.close()


def get_protocol(connection: Connection) -> BackendProtocol:
    """Return the protocol of an open connection."""
    protocol = connection.protocol
    assert isinstance(protocol, BackendProtocol)
    return protocol


def clear_tracebacks(error: BaseException | None) -> None:
    """Clear the finished frames of an error and of its causes."""
    while error is not None:
        traceback.clear_frames(error.__traceback__)
        error = error.__cause__ or error.__context__


def _create_socket(address: Any) -> socket.socket:
    family, kind, number = address[:3]
    created = socket.socket(family, kind, number)
    created.setblocking(False)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    limit_silence(created)
    set_receive_buffer(created, RECEIVE_BYTES)
    return created
