"""Orders that run at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import xxhash

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._ports import UpstreamError
from geraniumbend.proxying._promises import check_status
from geraniumbend.proxying._relay import list_response_lines

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._attempts import Attempts
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._ports import OrdersPort
    from geraniumbend.timers import TimerService

    ReadResponse = Callable[[RequestContext, Attempt], Awaitable["StoredResponse"]]
    Fetch = Callable[[RequestContext, ReadResponse], Awaitable["StoredResponse"]]

# The response to an order is read completely before it is recorded and sent.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_KEY_CHARACTERS = 255


class StoredResponse(NamedTuple):
    """Response to an order as the journal stores it.

    Parameters
    ----------
    status : int
        Status code.
    reason : str
        Reason phrase.
    lines : list of bytes
        Header lines with their line ends, without framing fields and request id.
    body : bytes
        Body.
    """

    status: int
    reason: str
    lines: list[bytes]
    body: bytes


class OrderExecutor:
    """Runs each order at most once, by means of the order journal.

    Parameters
    ----------
    attempts : Attempts
        Sends requests.
    orders : OrderClient or None
        Client of the order journal; without it orders are refused.
    timers : TimerService
        Clock.
    node : str
        Name of this gateway, which becomes the owner of its claims.
    """

    def __init__(
        self,
        attempts: Attempts,
        orders: OrdersPort | None,
        timers: TimerService,
        node: str,
    ) -> None:
        self._attempts = attempts
        self._orders = orders
        self._timers = timers
        self._node = node
        self._running: set[asyncio.Task[StoredResponse]] = set()

    def in_flight(self) -> int:
        """Return the number of running orders, with those of disconnected callers."""
        return len(self._running)

    async def execute(
        self, context: RequestContext, caller: str, fetch: Fetch
    ) -> int | None:
        """Run an order, or repeat the stored response of a completed one.

        An order that may have reached a backend server runs to its end even if the
        caller disconnects, so that a retry with the same key gets the response.

        Parameters
        ----------
        context : RequestContext
            Request that matched a rule with `order`.
        caller : str
            Identity of the caller.
        fetch : callable
            Coroutine function that admits and sends the request, passes the attempt to
            the coroutine function given as second argument, and returns its result.

        Returns
        -------
        int or None
            Status of the response; None if the order has no key and the rule wants
            such orders sent as ordinary requests that are never retried.

        Raises
        ------
        RefusedError
            If there is no response; `run` states whether the order may have run.
        """
        order = context.rule.order
        assert order is not None
        key = context.request.headers.get(order.key_header, "")
        if not key and order.keyless == "once":
            context.send_once = True
            return None
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise RefusedError(
                f"an order needs the header {order.key_header}",
                "send a new unique key with each order and repeat it with each retry",
                status=400,
                kind="order_key_missing",
            )
        claim = await self._claim(context, key, caller)
        if claim.state == "completed":
            stored = msgspec.msgpack.decode(claim.response, type=StoredResponse)
            # An earlier version may have stored it.
            check_status(context, stored.status)
            return await self._send(context, stored)
        running = asyncio.ensure_future(self._run(context, claim, fetch))
        self._running.add(running)
        running.add_done_callback(self._handle_run_done)
        try:
            stored = await asyncio.shield(running)
        except asyncio.CancelledError:
            if not context.unresolved_attempts:
                running.cancel()
            raise
        return await self._send(context, stored)

    async def _claim(self, context: RequestContext, key: str, caller: str) -> Any:
        request = context.request
        if self._orders is None:
            raise RefusedError(
                "this gateway has no order journal", kind="orders_unavailable"
            )
        digest = xxhash.xxh3_128(
            f"{request.method} {request.target}\n".encode("utf-8", "surrogateescape")
        )
        digest.update(context.body)
        claim = await self._orders.claim(
            key,
            xxhash.xxh3_128_digest(caller.encode("utf-8", "surrogateescape")),
            digest.digest(),
            self._node,
            context.deadline_s - self._timers.now(),
        )
        if claim.state == "granted" or (
            claim.state == "completed" and claim.response is not None
        ):
            return claim
        if claim.state == "mismatch":
            raise RefusedError(
                "the key was used for another order or by another caller",
                "use a new key",
                status=422,
                kind="order_key_reused",
            )
        raise RefusedError(
            f"an earlier request with this key may have run: {claim.state}",
            "ask the backend application for the order's state",
            run="unknown",
            status=409,
            kind="order_unknown",
        )

    async def _run(
        self, context: RequestContext, claim: Any, fetch: Fetch
    ) -> StoredResponse:
        assert self._orders is not None
        try:
            stored = await fetch(context, self._read_response)
        except BaseException:
            if context.unresolved_attempts:
                await self._orders.abandon(claim)
            else:
                await self._orders.release(claim)
            raise
        await self._orders.complete(claim, msgspec.msgpack.encode(stored))
        return stored

    async def _read_response(
        self, context: RequestContext, attempt: Attempt
    ) -> StoredResponse:
        response = attempt.response
        assert response is not None
        failed = True
        try:
            lines = list_response_lines(context.request, response, context.dialect)[:-1]
            parts: list[bytes] = []
            size = 0
            complete = False
            while not complete:
                data, complete = response.read_ready()
                if not complete and not data:
                    data = await response.read()
                parts.append(data)
                size += len(data)
                if size > MAX_RESPONSE_BYTES:
                    raise UpstreamError(
                        f"the response to an order exceeds {MAX_RESPONSE_BYTES} bytes",
                        "unknown",
                    )
            failed = False
            return StoredResponse(
                response.status, response.reason, lines, b"".join(parts)
            )
        finally:
            self._attempts.finish(attempt, context, failed)

    async def _send(self, context: RequestContext, stored: StoredResponse) -> int:
        request = context.request
        id_lines = context.dialect.list_response_lines(request.request_id)
        lines = [*stored.lines, id_lines.encode()]
        length = len(stored.body)
        await request.start_response(stored.status, stored.reason, lines, length)
        request.finish_response(stored.body)
        return stored.status

    def _handle_run_done(self, task: asyncio.Task[StoredResponse]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Without this, asyncio reports an exception that nobody retrieved if the
            # caller has disconnected.
            task.exception()
