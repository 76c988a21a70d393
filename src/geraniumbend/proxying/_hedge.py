"""Hedged attempts of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._attempts import Attempts
    from geraniumbend.proxying._context import RequestContext

    Begin = Callable[[RequestContext, Callable[[], bool]], Awaitable[Attempt | None]]


class HedgedRequest:
    """An attempt with a hedge, a second attempt that starts if the first one is slow.

    The first attempt runs in the task that calls `run`, so that a request that needs no
    hedge costs only a timer. A hedge that wins cancels that task and `run` catches the
    cancellation, as `asyncio.timeout` does.

    Parameters
    ----------
    attempts : Attempts
        Sends the attempts.
    first : Attempt
        First attempt.
    context : RequestContext
        Request.
    begin : callable or None, default=None
        Begins the second attempt; `Attempts.begin_hedge` if None.
    """

    def __init__(
        self,
        attempts: Attempts,
        first: Attempt,
        context: RequestContext,
        begin: Begin | None = None,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._attempts = attempts
        self._begin = begin or attempts.begin_hedge
        self._first = first
        self._context = context
        self._first_task = task
        self._hedge: asyncio.Task[Attempt] | None = None
        self._first_pending = True
        self._hedge_won = False

    async def run(self, delay_s: float) -> Attempt:
        """Return the attempt that got a response first.

        Parameters
        ----------
        delay_s : float
            Time after which the hedge starts, in seconds.

        Raises
        ------
        UpstreamError
            If both attempts failed.
        """
        cancelling = self._first_task.cancelling()
        timer = asyncio.get_running_loop().call_later(delay_s, self._start_hedge)
        try:
            await self._attempts.send(self._first, self._context)
        except asyncio.CancelledError:
            if self._hedge_won and self._first_task.uncancel() <= cancelling:
                assert self._hedge is not None
                return self._hedge.result()
            self._discard_hedge()
            raise
        except UpstreamError as error:
            self._first_pending = False
            if self._hedge is None:
                raise
            try:
                return await self._hedge
            except RefusedError:
                # No hedge was allowed, so the error of the first attempt is raised.
                raise error from None
            except asyncio.CancelledError:
                self._discard_hedge()
                raise
        except BaseException:
            # The request is in quarantine: nothing else waits for the hedge.
            self._discard_hedge()
            raise
        else:
            if self._hedge_won and self._first_task.cancelling() > cancelling:
                # Both responded in the same iteration of the event loop.
                self._first_task.uncancel()
            self._discard_hedge()
            return self._first
        finally:
            self._first_pending = False
            timer.cancel()
            # The task's traceback refers to this object, so keeping the task would make
            # a reference cycle.
            self._hedge = None

    def _start_hedge(self) -> None:
        context = self._context
        now_s = self._attempts.now()
        if not self._first_pending or now_s >= context.deadline_s:
            return
        self._hedge = asyncio.ensure_future(self._run_hedge())
        self._hedge.add_done_callback(self._handle_hedge_done)

    async def _run_hedge(self) -> Attempt:
        hedge = await self._begin(self._context, lambda: self._first_pending)
        if hedge is None:
            raise RefusedError("no hedge is allowed")
        await self._attempts.send(hedge, self._context)
        return hedge

    def _handle_hedge_done(self, task: asyncio.Task[Attempt]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        hedge = task.result()
        assert hedge.response is not None
        failed = hedge.not_run or hedge.response.status >= 500
        if not self._first_pending or failed:
            # A failed hedge must not cancel the first attempt, which may still succeed.
            return
        self._hedge_won = True
        self._attempts.hedging.count(self._context, "won")
        self._first_task.cancel()

    def _discard_hedge(self) -> None:
        task = self._hedge
        if task is None:
            return
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            self._attempts.finish(task.result(), self._context)
