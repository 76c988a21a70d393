"""HTTP/1.1 listener for callers."""

from __future__ import annotations

import asyncio
import itertools
import select
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp.web_server import Server

from geraniumbend.adapters._caller_protocol import CallerProtocol
from geraniumbend.adapters._field_sizes import MIN_FIELD_BYTES
from geraniumbend.adapters._ports import PORT_WAIT_S, open_listener
from geraniumbend.adapters._tls_listener import listen
from geraniumbend.certificates import listener_certificates
from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying import StandardDialect

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.adapters._caller_request import HttpCallerRequest
    from geraniumbend.adapters._tls_listener import ListeningServer
    from geraniumbend.model import CallerLimits
    from geraniumbend.proxying import Dialect
    from geraniumbend.settings import GatewaySettings, ListenSettings

    Handler = Callable[[HttpCallerRequest], Awaitable[None]]

BACKLOG = 1024
IDLE_TIMEOUT_S = 75.0
POLL_PERIOD_S = 0.02
# Interval and longest wait in seconds for the backlog to be empty in a stop.
BACKLOG_POLL_S = 0.002
MAX_BACKLOG_WAIT_S = 1.0
# Longest time between two polls that counts towards that wait, in seconds. An event
# loop that stalls accepts nothing meanwhile.
MAX_BACKLOG_STEP_S = 0.05
READ_BUFFER_BYTES = 128 * 1024

_connection_numbers = itertools.count(1)

declare_event(
    203,
    "requests_cut_off",
    "error",
    "Requests were still open when the time for shutting down ended.",
)


class Limits(NamedTuple):
    """Limits against slow or oversized requests.

    Parameters
    ----------
    header_limit_bytes : int, default=16384
        Maximum size of all header fields in bytes.
    header_timeout_s : float, default=10.0
        Maximum time until all header fields have arrived, in seconds.
    body_idle_timeout_s : float, default=20.0
        Maximum time without progress on a body, in seconds.
    idle_timeout_s : float, default=75.0
        Maximum time for which an idle connection is kept, in seconds.
    body_limit_bytes : int, default=0
        Maximum size of a body in bytes; 0 sets no limit.
    """

    header_limit_bytes: int = 16_384
    header_timeout_s: float = 10.0
    body_idle_timeout_s: float = 20.0
    idle_timeout_s: float = IDLE_TIMEOUT_S
    body_limit_bytes: int = 0


class CallerServer(Server):
    """State shared by all connections of a listener.

    Parameters
    ----------
    handler : callable
        Coroutine function that responds to one request.
    limits : Limits
        Limits against slow or oversized requests.
    dialect : Dialect
        Form of the header fields of refusals.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    name : str, default="callers"
        Name of the listener for events.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits,
        dialect: Dialect,
        guard: CallerGuard | None = None,
        name: str = "callers",
    ) -> None:
        super().__init__(
            handler,  # type: ignore[arg-type]
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=limits.header_limit_bytes,
            max_field_size=limits.header_limit_bytes,
            # Only their bytes count for callers.
            max_headers=limits.header_limit_bytes // MIN_FIELD_BYTES,
            read_bufsize=guard.window_sizes.wide_bytes if guard else READ_BUFFER_BYTES,
        )
        self.handler = handler
        self.guard = guard
        self.name = name
        self.limits = limits
        self.dialect = dialect
        self.draining = False
        # Pipelined requests that are handled before their turn, of all connections.
        self.pipelined = 0
        self.note_closed: Callable[[int], object] = _ignore

    def count_connection(self) -> int:
        """Return the number of a new connection, different for all of the process."""
        return next(_connection_numbers)

    def __call__(self) -> CallerProtocol:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)


class HttpListener:
    """Listens for HTTP/1.1 connections of callers.

    Parameters
    ----------
    handler : callable
        Coroutine function that responds to one request.
    listen : ListenSettings
        Address and TLS.
    limits : Limits, default=Limits()
        Limits against slow or oversized requests.
    dialect : Dialect, default=StandardDialect()
        Form of the header fields of refusals.
    port_wait_s : float, default=75.0
        Longest wait for a port that is taken, in seconds.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    name : str, default="callers"
        Name of the listener for events.
    """

    def __init__(
        self,
        handler: Handler,
        listen: ListenSettings,
        limits: Limits | None = None,
        dialect: Dialect | None = None,
        port_wait_s: float = PORT_WAIT_S,
        guard: CallerGuard | None = None,
        name: str = "callers",
    ) -> None:
        self._port_wait_s = port_wait_s
        self._listen = listen
        self.certificates = listener_certificates(listen.tls)
        self._default_limits = limits or Limits()
        self._server = CallerServer(
            handler, self._default_limits, dialect or StandardDialect(), guard, name
        )
        self._asyncio_server: ListeningServer | None = None
        self.port = listen.port

    @classmethod
    def from_config(
        cls,
        settings: GatewaySettings,
        handler: Handler,
        dialect: Dialect,
        guard: CallerGuard | None = None,
    ) -> HttpListener:
        """Build the listener for callers from the settings of the gateway."""
        limits = Limits(
            settings.header_limit_bytes,
            settings.header_timeout_s,
            settings.body_idle_timeout_s,
        )
        return cls(handler, settings.caller, limits, dialect, guard=guard)

    def observe_closed(self, note_closed: Callable[[int], object]) -> None:
        """Call a function with the number of each connection that has ended."""
        self._server.note_closed = note_closed

    def in_flight(self) -> int:
        """Return the number of requests in flight, at most one per connection."""
        return sum(protocol.busy for protocol in self._protocols())

    async def start(self, listener: socket.socket | None = None) -> None:
        """Start to listen.

        Parameters
        ----------
        listener : socket.socket or None, default=None
            Socket that listens on the address already; None opens one.

        Raises
        ------
        ListenError
            If the address cannot be listened on.
        """
        if listener is None:
            listener = await open_listener(
                self._listen.host, self._listen.port, BACKLOG, self._port_wait_s
            )
        self._asyncio_server = await listen(
            self._server,
            listener,
            self.certificates.context if self.certificates else None,
            self._server.guard,
            self._server.name,
            BACKLOG,
        )
        self.port = self._asyncio_server.sockets[0].getsockname()[1]

    def set_limits(self, limits: CallerLimits) -> None:
        """Use the operator's limits; those that are not set keep their default."""
        defaults = self._default_limits
        self._server.limits = defaults._replace(
            header_limit_bytes=limits.header_bytes or defaults.header_limit_bytes,
            header_timeout_s=limits.header_timeout_s or defaults.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s or defaults.idle_timeout_s,
            body_limit_bytes=limits.body_bytes or defaults.body_limit_bytes,
        )

    def begin_drain(self) -> None:
        """Close each connection with its next response."""
        self._server.draining = True

    async def stop(self, limit_s: float) -> int:
        """Stop accepting, finish requests in flight and close all connections.

        Parameters
        ----------
        limit_s : float
            Maximum time for the backlog and for requests in flight, in seconds.

        Returns
        -------
        int
            Number of requests that were cut off.
        """
        self.begin_drain()
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        if self._asyncio_server is not None:
            await self._accept_backlog(self._asyncio_server, end)
            self._asyncio_server.close()
        while loop.time() < end:
            for protocol in self._protocols():
                protocol.close_if_idle()
            if not self._server.connections:
                return 0
            await asyncio.sleep(POLL_PERIOD_S)
        cut_off = self.in_flight()
        if cut_off:
            log_event(203, requests=cut_off)
        for protocol in self._protocols():
            protocol.close_at_limit()
        return cut_off

    async def _accept_backlog(self, server: ListeningServer, limit_s: float) -> None:
        """Wait until the connections that the kernel has completed are accepted.

        Closing the listening socket would reset them.
        """
        poll = select.poll()
        for listening in server.sockets:
            poll.register(listening.fileno(), select.POLLIN)
        loop = asyncio.get_running_loop()
        waited_s = 0.0
        while poll.poll(0) and waited_s < MAX_BACKLOG_WAIT_S:
            polled_at = loop.time()
            if polled_at >= limit_s:
                return
            await asyncio.sleep(BACKLOG_POLL_S)
            waited_s += min(loop.time() - polled_at, MAX_BACKLOG_STEP_S)

    def _protocols(self) -> list[Any]:
        return self._server.connections


def _ignore(number: int) -> None:
    """Do nothing when a connection has ended."""
