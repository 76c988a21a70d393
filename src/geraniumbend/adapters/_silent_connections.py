"""Detection of silent connections, and safe resends."""

from __future__ import annotations

import asyncio
import weakref
from typing import TYPE_CHECKING, Any

import aiohttp

from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying import UpstreamError

if TYPE_CHECKING:
    from geraniumbend.adapters._connection_pool import ConnectionPool
    from geraniumbend.adapters._exchange import Exchange
    from geraniumbend.adapters._generation import Generation
    from geraniumbend.proxying import UpstreamRequest
    from geraniumbend.timers import TimerService

MAX_TIMEOUT_FACTOR = 16.0
# A backend server that stops closes its connections and its listener one after the
# other. The second check covers the case that the first one was made in between.
REFUSAL_CHECK_DELAYS_S = (0.0, 0.05)
REFUSAL_CHECK_TIMEOUT_S = 0.2

declare_event(
    200,
    "connections_silent",
    "warning",
    "A reused connection made no progress while a new one worked; the pool replaces "
    "all connections to that backend server.",
)


class SilentConnectionRecovery:
    """Detects silent connections and resends safe requests on new ones.

    A connection is silent if it stays open but carries no more bytes, for example
    because a middlebox has dropped its state. A slow response looks the same, so a
    new connection is opened as a test before the pool replaces the old ones.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of the connections.
    timers : TimerService
        Clock.

    Attributes
    ----------
    timeout_factor : float
        Factor on the silence timeout of requests, 1 to 16. It doubles if a resent
        request is slow on its new connection too, so that a slow server does not get
        every request twice, and halves if the response arrives quickly.
    """

    def __init__(self, pool: ConnectionPool, timers: TimerService) -> None:
        self.timeout_factor = 1.0
        # Not a reference: the pool of each check of a server would make a cycle.
        self._find_pool = weakref.ref(pool)
        self._timers = timers

    @property
    def _pool(self) -> ConnectionPool:
        pool = self._find_pool()
        # A request that is being sent, or the task that opens its new connection,
        # refers to the pool.
        assert pool is not None
        return pool

    async def recover(self, exchange: Exchange, request: UpstreamRequest) -> Exchange:
        """Get the response to a request whose connection may be silent.

        Parameters
        ----------
        exchange : Exchange
            Exchange without progress; closed if the request is resent.
        request : UpstreamRequest
            Request of the exchange.

        Returns
        -------
        Exchange
            Exchange whose response head has arrived.

        Raises
        ------
        UpstreamError
            If no response arrived before the deadline.
        """
        if not is_resendable(request):
            opening = asyncio.ensure_future(
                self._open_replacement(exchange.generation, request)
            )
            opening.add_done_callback(_close_opened)
            await exchange.read_head(self._remaining_s(request))
            return exchange
        if not self._pool.free_capacity():
            resent = prepare_resend(request)
            if resent is None:
                await exchange.read_head(self._remaining_s(request))
                return exchange
            exchange.close()
            return await self._send_on(await self._reopen(exchange, resent), resent)
        return await self._race_replacement(exchange, request)

    async def resend(self, request: UpstreamRequest) -> Exchange:
        """Resend a safe request after its reused connection was closed.

        Raises
        ------
        UpstreamError
            If no response arrived; `server_lost` is set if the server refuses a new
            connection.
        """
        resent = prepare_resend(request)
        if resent is None:
            is_full = request.is_server_full
            raise UpstreamError(
                "connection broke before the answer",
                "unknown",
                server_full=is_full is not None and is_full(),
            )
        self._pool.free_capacity()
        try:
            fresh = await self._pool.open_new(self._pool.current, resent)
        except UpstreamError as error:
            raise UpstreamError(
                f"connection broke before the answer; {error.message}",
                "unknown",
                server_lost=isinstance(_find_cause(error), ConnectionRefusedError),
            ) from error
        return await self._send_on(fresh, resent, adapt=False)

    async def describe_loss(
        self, cause: Exception, request: UpstreamRequest
    ) -> UpstreamError:
        """Return the error for a connection that broke before the response.

        Its `server_lost` is set if the server refuses a new connection. A full server
        is not asked for one.
        """
        message = f"connection broke before the answer: {cause}"
        if request.is_server_full is not None and request.is_server_full():
            return UpstreamError(message, "unknown", server_full=True)
        refused = False
        for delay_s in REFUSAL_CHECK_DELAYS_S:
            if delay_s:
                await self._timers.sleep(delay_s)
            refused = await self._is_connection_refused()
            if refused:
                break
        return UpstreamError(message, "unknown", refused)

    async def _race_replacement(
        self, exchange: Exchange, request: UpstreamRequest
    ) -> Exchange:
        """Wait for a response on the old connection while a new one is opened.

        If the new connection opens first, the request is resent on it.
        """
        remaining_s = self._remaining_s(request)
        waiting = asyncio.ensure_future(exchange.read_head(remaining_s))
        opening = asyncio.ensure_future(
            self._open_replacement(exchange.generation, request)
        )
        try:
            await asyncio.wait({waiting, opening}, return_when=asyncio.FIRST_COMPLETED)
            resent = None
            if not waiting.done() and opening.exception() is None:
                resent = prepare_resend(request)
            if resent is None:
                opening.add_done_callback(_close_opened)
                await waiting
                return exchange
        except asyncio.CancelledError:
            opening.add_done_callback(_close_opened)
            raise
        finally:
            await _cancel_and_wait(waiting)
        exchange.close()
        return await self._send_on(opening.result(), resent)

    async def _reopen(self, exchange: Exchange, request: UpstreamRequest) -> Exchange:
        """Open a replacement after the silent connection was closed.

        The request may have run on the closed connection, so an error says "unknown".
        """
        try:
            return await self._open_replacement(exchange.generation, request)
        except UpstreamError as error:
            raise UpstreamError(
                f"connection was silent; {error.message}", "unknown"
            ) from error

    async def _open_replacement(
        self, suspect: Generation, request: UpstreamRequest
    ) -> Exchange:
        """Open a new connection; if that works, replace the suspect generation."""
        pool = self._pool
        fresh = pool.current
        if fresh is suspect:
            fresh = pool.create_generation()
        opened = await pool.open_new(fresh, request)
        if not suspect.retired:
            log_event(200, server=pool.server.server_id, generation=suspect.number)
        pool.replace_generation(suspect, fresh)
        return opened

    async def _send_on(
        self, fresh: Exchange, request: UpstreamRequest, adapt: bool = True
    ) -> Exchange:
        """Send a request on a new connection; `adapt` adjusts `timeout_factor`."""
        started_s = self._timers.now()
        try:
            self._pool.transmit(fresh, request)
            await fresh.read_head(self._remaining_s(request))
        except ConnectionError as error:
            fresh.close()
            raise await self.describe_loss(error, request) from error
        except UpstreamError as error:
            fresh.close()
            # The request was sent before, so it may have run although this copy of it
            # was not sent.
            error.run = "unknown"
            error.withheld = False
            raise
        except BaseException:
            fresh.close()
            raise
        if adapt:
            taken_s = self._timers.now() - started_s
            slow = taken_s > 0.5 * request.silence_timeout_s * self.timeout_factor
            factor = 2.0 if slow else 0.5
            self.timeout_factor = min(
                max(self.timeout_factor * factor, 1.0), MAX_TIMEOUT_FACTOR
            )
        return fresh

    async def _is_connection_refused(self) -> bool:
        generation = self._pool.current
        try:
            connection = await generation.open(REFUSAL_CHECK_TIMEOUT_S)
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (aiohttp.ClientError, OSError):
            return False
        connection.close()
        return False

    def _remaining_s(self, request: UpstreamRequest) -> float:
        return request.deadline_s - self._timers.now()


def is_resendable(request: UpstreamRequest) -> bool:
    """Return whether a request may be resent on another connection."""
    return request.safe and request.source is None


def prepare_resend(request: UpstreamRequest) -> UpstreamRequest | None:
    """Return the request to resend, None if a resend is not permitted."""
    return request if request.build_resend is None else request.build_resend()


def _find_cause(error: BaseException) -> BaseException | None:
    cause = error.__cause__
    return getattr(cause, "os_error", cause)


def _close_opened(task: asyncio.Task[Exchange]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def _cancel_and_wait(task: asyncio.Task[Any]) -> None:
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
    if not task.cancelled():
        # Retrieves the exception: the other attempt decides the outcome.
        task.exception()
