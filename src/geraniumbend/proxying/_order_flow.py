from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import xxhash

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._ports import UpstreamError
from geraniumbend.proxying._relay import list_response_lines

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._attempts import Attempt, Attempts
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._ports import OrdersPort
    from geraniumbend.timers import TimerService

    Collect = Callable[[RequestContext, Attempt], Awaitable["StoredAnswer"]]
    Fetch = Callable[[RequestContext, Collect], Awaitable["StoredAnswer"]]

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
MAX_KEY_CHARACTERS = 255


class StoredAnswer(NamedTuple):
    """Answer of an order as the journal keeps it.

    Parameters
    ----------
    status : int
        Status code.
    reason : str
        Reason phrase.
    lines : list of bytes
        Header lines without framing fields and request id.
    body : bytes
        Body.
    """

    status: int
    reason: str
    lines: list[bytes]
    body: bytes


class OrderFlow:
    """Runs orders at most once with the help of the journal.

    Parameters
    ----------
    attempts : Attempts
        Sends requests.
    orders : OrderClient or None
        Journal; without it orders are refused.
    timers : TimerService
        Clock.
    node : str
        Name of this gateway, the owner of claims.
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
        self._running: set[asyncio.Task[StoredAnswer]] = set()

    def in_flight(self) -> int:
        """Return the orders that run, also those whose caller went away."""
        return len(self._running)

    async def answer(
        self, context: RequestContext, caller: str, fetch: Fetch
    ) -> int | None:
        """Answer an order.

        An order that was sent runs to its end even if its caller goes away, so that a
        retry with the same key finds the answer.

        Parameters
        ----------
        context : RequestContext
            Request whose rule has `order`.
        caller : str
            Identity of the caller.
        fetch : callable
            Coroutine function that admits and sends the request and returns what a
            second argument makes of the attempt.

        Returns
        -------
        int or None
            Status of the answer; None if the order has no key and is to be sent as
            an ordinary request that is never repeated.

        Raises
        ------
        RefusedError
            If the order is not answered; `run` is truthful.
        """
        order = context.rule.order
        assert order is not None
        key = context.request.headers.get(order.key_header, "")
        if not key and order.keyless == "once":
            context.single = True
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
            stored = msgspec.msgpack.decode(claim.answer, type=StoredAnswer)
            return await self._send(context, stored)
        running = asyncio.ensure_future(self._run(context, claim, fetch))
        self._running.add(running)
        running.add_done_callback(self._forget)
        try:
            stored = await asyncio.shield(running)
        except asyncio.CancelledError:
            if not context.unresolved:
                running.cancel()
            raise
        return await self._send(context, stored)

    async def _claim(self, context: RequestContext, key: str, caller: str) -> Any:
        request = context.request
        if self._orders is None:
            raise RefusedError("orders are not available", kind="orders_unavailable")
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
            claim.state == "completed" and claim.answer is not None
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
    ) -> StoredAnswer:
        assert self._orders is not None
        try:
            stored = await fetch(context, self._collect)
        except BaseException:
            if context.unresolved:
                await self._orders.abandon(claim)
            else:
                await self._orders.release(claim)
            raise
        await self._orders.complete(claim, msgspec.msgpack.encode(stored))
        return stored

    async def _collect(self, context: RequestContext, attempt: Attempt) -> StoredAnswer:
        answer = attempt.answer
        assert answer is not None
        failed = True
        try:
            lines = list_response_lines(context.request, answer, context.dialect)[:-1]
            parts: list[bytes] = []
            size = 0
            complete = False
            while not complete:
                data, complete = answer.read_ready()
                if not complete and not data:
                    data = await answer.read()
                parts.append(data)
                size += len(data)
                if size > ANSWER_LIMIT_BYTES:
                    raise UpstreamError("an order's answer is too long", "unknown")
            failed = False
            return StoredAnswer(answer.status, answer.reason, lines, b"".join(parts))
        finally:
            self._attempts.finish(attempt, context, failed)

    async def _send(self, context: RequestContext, stored: StoredAnswer) -> int:
        request = context.request
        own = context.dialect.list_response_lines(request.request_id)
        lines = [*stored.lines, own.encode()]
        length = len(stored.body)
        await request.start_response(stored.status, stored.reason, lines, length)
        request.finish_response(stored.body)
        return stored.status

    def _forget(self, task: asyncio.Task[StoredAnswer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Retrieved here too, because the caller may be gone.
            task.exception()
