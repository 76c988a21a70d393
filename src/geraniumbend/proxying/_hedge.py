from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from geraniumbend.proxying._attempts import Attempt, Attempts
    from geraniumbend.proxying._context import RequestContext


class Hedge:
    """A second attempt that starts when the first one is slow.

    The first attempt runs in the caller's own task, so that a request without a hedge
    costs one timer; a hedge that wins interrupts that task by cancelling it, in the
    way of `asyncio.timeout`.

    Parameters
    ----------
    attempts : Attempts
        Sends the attempts.
    first : Attempt
        First attempt.
    context : RequestContext
        Request.
    """

    def __init__(
        self, attempts: Attempts, first: Attempt, context: RequestContext
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._attempts = attempts
        self._first = first
        self._context = context
        self._owner = task
        self._second: asyncio.Task[Attempt] | None = None
        self._waiting = True
        self._won = False

    async def run(self, delay_s: float) -> Attempt:
        """Return the attempt that answered first.

        Parameters
        ----------
        delay_s : float
            Time after which the second attempt starts, in seconds.

        Raises
        ------
        UpstreamError
            If both attempts failed.
        """
        cancelling = self._owner.cancelling()
        timer = asyncio.get_running_loop().call_later(delay_s, self._start_second)
        try:
            await self._attempts.send(self._first, self._context)
        except asyncio.CancelledError:
            if self._won and self._owner.uncancel() <= cancelling:
                assert self._second is not None
                return self._second.result()
            self._drop_second()
            raise
        except UpstreamError as error:
            self._waiting = False
            if self._second is None:
                raise
            try:
                return await self._second
            except RefusedError:
                # The hedge was not allowed to run; the first attempt's error counts.
                raise error from None
            except asyncio.CancelledError:
                self._drop_second()
                raise
        else:
            if self._won and self._owner.cancelling() > cancelling:
                # The hedge answered in the turn in which the first one returned.
                self._owner.uncancel()
            self._drop_second()
            return self._first
        finally:
            self._waiting = False
            timer.cancel()

    def _start_second(self) -> None:
        context = self._context
        now_s = self._attempts.now()
        if not self._waiting or now_s >= context.deadline_s:
            return
        self._second = asyncio.ensure_future(self._run_second())
        self._second.add_done_callback(self._end_second)

    async def _run_second(self) -> Attempt:
        second = await self._attempts.begin_hedge(self._context, lambda: self._waiting)
        if second is None:
            raise RefusedError("no second attempt is allowed")
        await self._attempts.send(second, self._context)
        return second

    def _end_second(self, task: asyncio.Task[Attempt]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        second = task.result()
        assert second.answer is not None
        failed = second.not_run or second.answer.status >= 500
        if not self._waiting or failed:
            # A failing hedge must not displace a first attempt that still runs.
            return
        self._won = True
        self._owner.cancel()

    def _drop_second(self) -> None:
        task = self._second
        if task is None:
            return
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            self._attempts.finish(task.result(), self._context)
