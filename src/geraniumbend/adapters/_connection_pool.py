"""Connections to one backend server."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import aiohttp

from geraniumbend.adapters._exchange import Exchange
from geraniumbend.adapters._generation import Generation
from geraniumbend.adapters._silent_connections import (
    SilentConnectionRecovery,
    is_resendable,
)
from geraniumbend.proxying import UpstreamError
from geraniumbend.reachability import SILENCE_S

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from aiohttp.connector import Connection

    from geraniumbend.adapters._link_observer import LinkObserver
    from geraniumbend.model import BackendServer
    from geraniumbend.proxying import UpstreamRequest
    from geraniumbend.timers import TimerService

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 15.0
# Part of the idle time in a server's Keep-Alive field for which its connections are
# reused. Later, a request could arrive just when the server closes the connection.
KEEP_ALIVE_FACTOR = 0.8
# A request that must not be sent twice reuses a connection only if its last response is
# at most this old. Otherwise it uses a new connection, which costs about 1 ms.
UNSAFE_IDLE_S = 0.5
# Factor on the silence timeout of requests on a retired generation, where another
# connection turned out to be silent.
RETIRED_GENERATION_FACTOR = 0.25
# If the last response on a connection is at most this old, the silence timeout is
# multiplied by the factor: a slow request is then more likely than a broken connection.
RECENT_RESPONSE_S = 1.0
RECENT_RESPONSE_FACTOR = 4.0


class ConnectionPool:
    """Connections to one backend server.

    Parameters
    ----------
    server : BackendServer
        Server with its address and connection limit.
    timers : TimerService
        Clock.
    share : callable
        Returns this gateway's share of the server's connection limit, 0 to 1.
    tls : ssl.SSLContext or None, default=None
        TLS to the backend server.
    count_bytes : callable or None, default=None
        Called with the purpose and the bytes of each exchange.
    links : LinkObserver or None, default=None
        Hears whether the server accepts connections.
    """

    def __init__(
        self,
        server: BackendServer,
        timers: TimerService,
        share: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        count_bytes: Callable[[str, int], None] | None = None,
        links: LinkObserver | None = None,
    ) -> None:
        self.server = server
        self._links = links
        self._count_bytes = count_bytes
        self._timers = timers
        self._share = share
        self._tls = tls
        self._generations = 0
        self.current = self.create_generation()
        self._open: set[Exchange] = set()
        self._opening = 0
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._recovery = SilentConnectionRecovery(self, timers)
        self._closed = False
        self._idle_limit_s = IDLE_TIMEOUT_S

    def limit(self) -> int:
        """Return the maximum number of connections of this gateway, at least one."""
        return max(1, int(self.server.connection_limit * self._share()))

    def count(self) -> int:
        """Return the number of busy, idle and opening connections."""
        return len(self._open) + self._opening + len(self.current.idle)

    async def send(self, request: UpstreamRequest) -> Exchange:
        """Send a request and wait for the head of its response.

        Parameters
        ----------
        request : UpstreamRequest
            Request.

        Returns
        -------
        Exchange
            Exchange whose response head has arrived; the caller of this method closes
            it.

        Raises
        ------
        UpstreamError
            If no response arrived; `run` states whether the request may have run.
        """
        exchange = await self.acquire(request)
        try:
            self.transmit(exchange, request)
            if exchange.reused and not await self._wait_for_progress(exchange, request):
                return await self._recovery.recover(exchange, request)
            await exchange.read_head(request.deadline_s - self._timers.now())
            return exchange
        except ConnectionError as error:
            exchange.close()
            dropped_idle = exchange.reused and exchange.protocol.received == 0
            if dropped_idle and is_resendable(request):
                return await self._recovery.resend(request)
            raise await self._recovery.describe_loss(error, request) from error
        except BaseException:
            exchange.close()
            raise

    def transmit(self, exchange: Exchange, request: UpstreamRequest) -> None:
        """Write a request to the connection of an exchange.

        Raises
        ------
        UpstreamError
            If it may not be sent any more, or the connection is closed.
        """
        if request.may_send is not None and not request.may_send():
            raise UpstreamError(
                "the backend server takes no more requests", "not_run", withheld=True
            )
        exchange.transmit(request)

    def replace_generation(self, suspect: Generation, fresh: Generation) -> None:
        """Retire a generation; its open requests check for silence earlier."""
        if self.current is suspect:
            self.current = fresh
        suspect.retire()
        for exchange in self._open:
            if exchange.generation is suspect:
                exchange.protocol.interrupt_wait()

    def sweep(self) -> None:
        """Close connections that were idle for too long or exceed the limit."""
        self.current.close_idle(self._idle_limit_s)
        while self.current.idle and self.count() > self.limit():
            self.current.idle.pop(0).connection.close()
        self._wake_waiter()

    def retire(self) -> None:
        """Close idle connections now, the others after their requests."""
        self._closed = True
        self.current.retire()

    async def close(self) -> None:
        """Close all connections."""
        self.retire()
        for exchange in list(self._open):
            exchange.close()
        await self.current.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of the pool, for operators."""
        return {
            "open": len(self._open),
            "idle": len(self.current.idle),
            "limit": self.limit(),
            "waiting": len(self._waiters),
            "generation": self.current.number,
            "patience": self._recovery.timeout_factor,
        }

    def has_idle_connection(self) -> bool:
        """Return whether a safe request would reuse a connection."""
        idle = self.current.idle
        return (
            bool(idle) and self._timers.now() - idle[-1].since_s <= self._idle_limit_s
        )

    def create_generation(self) -> Generation:
        """Return a generation without connections."""
        self._generations += 1
        server = self.server
        return Generation(
            server.host, server.port, self._generations, self._timers, self._tls
        )

    async def acquire(self, request: UpstreamRequest) -> Exchange:
        """Return an exchange on an idle or new connection; wait if all are busy.

        Raises
        ------
        UpstreamError
            If no connection became available in time; the request was not run.
        """
        max_idle_s = self._idle_limit_s if request.safe else UNSAFE_IDLE_S
        woken = False
        while True:
            idle = self.current.take_idle(max_idle_s)
            if idle is not None:
                exchange = self._start_exchange(
                    self.current, idle.connection, reused=True
                )
                exchange.idle_s = self._timers.now() - idle.since_s
                return exchange
            if self.free_capacity():
                return await self.open_new(self.current, request)
            await self._wait_for_capacity(request, woken)
            woken = True

    def free_capacity(self) -> bool:
        """Close idle connections until the limit permits a new one.

        Returns
        -------
        bool
            False if the limit is reached by busy connections alone.
        """
        while self.count() >= self.limit():
            if not self.current.idle:
                return False
            self.current.idle.pop(0).connection.close()
        return True

    async def _wait_for_capacity(self, request: UpstreamRequest, woken: bool) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if woken:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)
        try:
            # Not asyncio.wait_for: it loses a cancellation that arrives when the
            # future is already done.
            async with asyncio.timeout(request.deadline_s - self._timers.now()):
                await waiter
        except TimeoutError as error:
            raise UpstreamError(
                "no free connection in time", "not_run", timed_out=True
            ) from error
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_waiter()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    async def open_new(
        self, generation: Generation, request: UpstreamRequest
    ) -> Exchange:
        """Open a connection of a generation, after `free_capacity`.

        Raises
        ------
        UpstreamError
            If it cannot be opened; the request was not sent on it.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, request.deadline_s - self._timers.now())
        self._opening += 1
        connected = False
        try:
            connection = await self._open_observed(generation, max(timeout_s, 0.001))
            connected = True
        except (aiohttp.ClientError, OSError) as error:
            # The cause contains the server's address, which callers must not see.
            raise UpstreamError(
                "no connection to the backend server", "not_run", unreachable=True
            ) from error
        finally:
            self._opening -= 1
            if not connected:
                self._wake_waiter()
        return self._start_exchange(generation, connection, reused=False)

    async def _open_observed(
        self, generation: Generation, timeout_s: float
    ) -> Connection:
        """Open a connection and tell the outcome to the observer of the links."""
        links, server_id = self._links, self.server.server_id
        if links is None:
            return await generation.open(timeout_s)
        links.begin("connection", server_id)
        started_s = self._timers.now()
        try:
            connection = await generation.open(timeout_s)
        except BaseException as error:
            # An attempt that was given up soon tells nothing of the server.
            is_short = self._timers.now() - started_s < SILENCE_S
            was_given_up = isinstance(error, TimeoutError | asyncio.CancelledError)
            if was_given_up and is_short:
                links.abandon("connection", server_id)
            else:
                links.fail("connection", server_id)
            raise
        links.succeed("connection", server_id)
        return connection

    def _start_exchange(
        self, generation: Generation, connection: Connection, reused: bool
    ) -> Exchange:
        exchange = Exchange(generation, connection, reused, self._on_exchange_closed)
        self._open.add(exchange)
        return exchange

    def _on_exchange_closed(self, exchange: Exchange, reusable: bool) -> None:
        self._open.discard(exchange)
        if self._count_bytes is not None and exchange.purpose:
            size = exchange.sent_bytes + exchange.protocol.received
            self._count_bytes(exchange.purpose, size)
        generation = exchange.generation
        keep_alive_field = exchange.headers.get("Keep-Alive")
        if keep_alive_field is not None:
            self._idle_limit_s = _read_idle_limit(keep_alive_field)
        keep = reusable and generation is self.current and not generation.retired
        if keep and self.count() < self.limit():
            generation.give_back(exchange.connection)
        else:
            exchange.connection.close()
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def _wait_for_progress(
        self, exchange: Exchange, request: UpstreamRequest
    ) -> bool:
        """Wait for bytes of the response; False if the connection may be silent."""
        started_s = self._timers.now()
        while True:
            timeout_s = request.silence_timeout_s * self._recovery.timeout_factor
            if exchange.generation.retired:
                timeout_s *= RETIRED_GENERATION_FACTOR
            elif exchange.idle_s < RECENT_RESPONSE_S:
                timeout_s *= RECENT_RESPONSE_FACTOR
            due_s = min(started_s + timeout_s, request.deadline_s)
            delay_s = due_s - self._timers.now()
            if await exchange.protocol.wait_message(delay_s, interruptible=True):
                return True
            if exchange.protocol.received:
                return True
            now_s = self._timers.now()
            if now_s >= request.deadline_s:
                raise UpstreamError("no response in time", "unknown", timed_out=True)
            if now_s >= due_s:
                return False


def _read_idle_limit(keep_alive: str) -> float:
    """Return the maximum idle time for a Keep-Alive field value, in seconds."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal() and len(value) < 6:
            return min(IDLE_TIMEOUT_S, KEEP_ALIVE_FACTOR * int(value))
    return IDLE_TIMEOUT_S
