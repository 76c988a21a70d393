from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError
from geraniumbend.proxying._hedge import Hedge
from geraniumbend.proxying._ports import UpstreamError
from geraniumbend.proxying._relay import read_length
from geraniumbend.proxying._request_log import describe_choice
from geraniumbend.routing import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._latencies import HeadLatencies
    from geraniumbend.proxying._ports import (
        QuarantinePort,
        RetryBudgetPort,
        RouterPort,
        Upstream,
        UpstreamRequest,
        UpstreamResponse,
    )
    from geraniumbend.proxying._request_log import RequestLog
    from geraniumbend.routing import ServerView
    from geraniumbend.timers import TimerService

# Answers of a failing backend server that another one may do better.
RETRIED_STATUSES = frozenset((500, 502, 503, 504))
# A server that sheds a request says nothing of the others, so the caller may soon come
# back, in seconds.
SHED_RETRY_AFTER_S = 0.05
# Mean service times that are left for the answer when a request waits for a server
# with room, and the largest part of its objective that it waits.
SERVICE_MARGIN = 1.5
WAIT_SHARE = 0.4


class Attempt:
    """One request to one backend server.

    Parameters
    ----------
    view : ServerView
        Backend server.
    started_s : float
        Reading of the timer service's clock.

    Attributes
    ----------
    not_run : bool
        The backend server states that it did not run the request.
    """

    __slots__ = ("answer", "finished", "head_latency_s", "not_run", "started_s", "view")

    def __init__(self, view: ServerView, started_s: float) -> None:
        self.not_run = False
        self.view = view
        self.started_s = started_s
        self.head_latency_s = 0.0
        self.answer: UpstreamResponse | None = None
        self.finished = False


class Attempts:
    """Sends requests to backend servers until one answers properly.

    Parameters
    ----------
    router : Router
        Chooses backend servers.
    budget : RetryBudget
        Bounds retries and hedges.
    quarantine : Quarantine
        Told about requests that end backend servers.
    upstream : Upstream
        Sends requests.
    latencies : HeadLatencies
        Recent latencies.
    timers : TimerService
        Clock.
    log : RequestLog
        Lines about the decisions.
    """

    def __init__(
        self,
        router: RouterPort,
        budget: RetryBudgetPort,
        quarantine: QuarantinePort,
        upstream: Upstream,
        latencies: HeadLatencies,
        timers: TimerService,
        log: RequestLog,
    ) -> None:
        self._log = log
        self._router = router
        self._budget = budget
        self._quarantine = quarantine
        self._upstream = upstream
        self._latencies = latencies
        self._timers = timers

    def now(self) -> float:
        """Return the clock's reading in seconds."""
        return self._timers.now()

    async def fetch(self, context: RequestContext) -> Attempt:
        """Return an attempt whose answer is to be sent to the caller.

        Parameters
        ----------
        context : RequestContext
            Request.

        Returns
        -------
        Attempt
            Attempt with an answer; the receiver ends it with `finish`.

        Raises
        ------
        RefusedError
            If no backend server answered; `run` is truthful for all attempts.
        """
        await self.probe_candidates(context, self._choose_patience(context))
        attempt = self.begin(context)
        while True:
            try:
                attempt = await self._send_hedged(attempt, context)
            except UpstreamError as error:
                if error.unreachable:
                    successor = await self._begin_replacement(context)
                else:
                    not_run = error.run == "not_run"
                    successor = await self._begin_retry(context, not_run)
                if successor is None:
                    raise _explain(context, error) from error
                self._log.log_attempt(context, successor, error.message)
            else:
                answer = attempt.answer
                assert answer is not None
                not_run = attempt.not_run
                if answer.status not in RETRIED_STATUSES and not not_run:
                    return attempt
                if not_run:
                    context.unresolved -= 1
                successor = await self._begin_retry(context, not_run)
                if successor is None and not not_run:
                    return attempt
                self.finish(attempt, context)
                if successor is None:
                    raise _explain_shed(context, answer)
                reason = "rejected, not run" if not_run else "server failed"
                self._log.log_attempt(context, successor, reason)
            attempt = successor

    async def probe_candidates(
        self, context: RequestContext, patience_s: float = 0.0
    ) -> bool:
        """Learn the load of some servers; whether one has room on a quiet host."""
        return await self._router.probe_candidates(
            context.group,
            context.rule.request_class,
            context.tried,
            context.deadline_s - self._timers.now(),
            patience_s,
        )

    def _choose_patience(self, context: RequestContext) -> float:
        """Return how long a request may wait for a server with room, in seconds.

        The answer still has to meet its objective, and a request that is refused in
        the end must not have waited for long.
        """
        rule = context.rule
        service_s = self._router.expect_service(context.group, rule.request_class)
        spent_s = self._timers.now() - context.started_s
        spare_s = rule.objective_s - SERVICE_MARGIN * service_s - spent_s
        return max(0.0, min(spare_s, WAIT_SHARE * rule.objective_s))

    def begin(self, context: RequestContext) -> Attempt:
        """Choose a backend server for the next attempt.

        Raises
        ------
        RefusedError
            If there is none that was not tried.
        """
        rule = context.rule
        now_s = self._timers.now()
        view = self._router.choose(
            context.group,
            rule.request_class,
            context.tried,
            context.deadline_s - now_s,
            trial=context.safe,
        )
        context.evidence = describe_choice(view, now_s)
        if not context.attempts:
            context.waited_s = now_s - context.started_s
        context.tried.add(view.server_id)
        context.attempts += 1
        self._router.start_request(view, rule.request_class)
        return Attempt(view, now_s)

    async def begin_hedge(
        self, context: RequestContext, is_wanted: Callable[[], bool]
    ) -> Attempt | None:
        """Choose a server for a hedge.

        A hedge on a server that is as busy as the first one would only add to the
        load that makes both slow.

        Parameters
        ----------
        context : RequestContext
            Request.
        is_wanted : callable
            Whether the first attempt still runs.

        Returns
        -------
        Attempt or None
            None if the budget is spent or no server has room on a quiet host.
        """
        if not self._may_repeat(context) or not await self.probe_candidates(context):
            return None
        if not is_wanted() or not self._budget.spend(context.group):
            return None
        attempt = self._begin_next(context)
        if attempt is not None:
            self._log.log_attempt(context, attempt, "the first attempt is slow")
        return attempt

    async def send(self, attempt: Attempt, context: RequestContext) -> None:
        """Send the request and wait for the head of the answer.

        Raises
        ------
        UpstreamError
            If no answer arrived; the attempt is finished.
        RefusedError
            If the request is in quarantine; the attempt is finished.
        """
        rule = context.rule
        fingerprint = context.fingerprint
        silence_s = self._latencies.silence_bound(context.group, rule.request_class)
        try:
            await self._quarantine.enter(fingerprint)
        except BaseException:
            self.finish(attempt, context)
            raise
        context.unresolved += 1
        try:
            request = self._build(attempt, context, silence_s)
            answer = await self._upstream.send(attempt.view.server, request)
            self._check(answer, context)
        except UpstreamError as error:
            if error.run == "not_run":
                context.unresolved -= 1
            self._log.log_failure(
                request_id=context.request.request_id,
                server=attempt.view.server_id,
                run=error.run,
                error=error.message,
                server_lost=error.server_lost,
            )
            self.finish(attempt, context, failed=True)
            if error.server_lost:
                server_id = attempt.view.server_id
                await self._quarantine.report_loss(fingerprint, server_id)
            self._quarantine.leave(fingerprint)
            raise
        except BaseException:
            self._quarantine.leave(fingerprint)
            self.finish(attempt, context)
            raise
        attempt.answer = answer
        attempt.head_latency_s = self._timers.now() - attempt.started_s
        attempt.not_run = context.dialect.was_not_run(answer)
        report = context.dialect.read_report(answer.headers)
        if report is not None:
            self._router.observe_report(attempt.view, report)
        if attempt.not_run:
            self._note_not_run(attempt, context)
            return
        self._latencies.observe(
            context.group, rule.request_class, attempt.head_latency_s
        )
        self._quarantine.report_success(fingerprint)

    def _build(
        self, attempt: Attempt, context: RequestContext, silence_s: float
    ) -> UpstreamRequest:
        """Return the request of an attempt.

        The server may get it a second time, on another connection and with the time
        that is left then; where moves count as retries, within their bounds.
        """
        server = attempt.view.server

        def renew() -> UpstreamRequest | None:
            if self._budget.counts_moves:
                if not self._spend_repeat(context):
                    return None
                context.attempts += 1
            return build()

        def build() -> UpstreamRequest:
            now_s = self._timers.now()
            return context.build_request(server, now_s, silence_s)._replace(renew=renew)

        return build()

    def _check(self, answer: UpstreamResponse, context: RequestContext) -> None:
        """Refuse an answer that must not reach the caller.

        Raises
        ------
        UpstreamError
            If the answer is damaged or belongs to another request.
        """
        defect = context.dialect.find_defect(answer, context.request.request_id)
        if defect:
            answer.discard()
            raise UpstreamError(defect, "unknown")

    def _note_not_run(self, attempt: Attempt, context: RequestContext) -> None:
        assert attempt.answer is not None
        self._quarantine.leave(context.fingerprint)
        if context.dialect.is_stale_entry(attempt.answer):
            self._router.report_gone(attempt.view)

    def finish(
        self, attempt: Attempt, context: RequestContext, failed: bool = False
    ) -> None:
        """End an attempt and close its connection unless it was read completely."""
        if attempt.finished:
            return
        attempt.finished = True
        status = 0
        if attempt.answer is not None:
            status = attempt.answer.status
            attempt.answer.close()
        latency_s = self._timers.now() - attempt.started_s
        size = read_length(attempt.answer) if attempt.answer is not None else None
        outcome = Outcome(
            status,
            latency_s,
            attempt.head_latency_s,
            failed,
            attempt.not_run,
            size or 0,
        )
        self._router.finish_request(attempt.view, context.rule.request_class, outcome)
        if status and status < 500 and not failed:
            self._budget.earn(context.group)

    async def _begin_retry(
        self, context: RequestContext, not_run: bool
    ) -> Attempt | None:
        if not (context.safe or not_run) or not self._may_repeat(context):
            return None
        await self.probe_candidates(context)
        return self._begin_next(context) if self._spend_repeat(context) else None

    def _spend_repeat(self, context: RequestContext) -> bool:
        """Spend the budget for one more attempt if one is allowed."""
        return self._may_repeat(context) and self._budget.spend(context.group)

    def _may_repeat(self, context: RequestContext) -> bool:
        """Tell whether the request may be sent once more."""
        return (
            not context.single
            and context.repeatable
            and context.attempts < context.rule.retry.attempts
            and self._timers.now() < context.deadline_s
            and self._budget.allows(context.group)
        )

    async def _begin_replacement(self, context: RequestContext) -> Attempt | None:
        """Choose another server after a connection could not be opened.

        This neither counts as an attempt nor spends the retry budget, since no server
        got work from it; it ends when all servers of the group were tried. Otherwise
        the loss of two servers would refuse requests while others are idle.
        """
        context.attempts -= 1
        if context.single or not context.repeatable:
            return None
        if self._timers.now() >= context.deadline_s:
            return None
        await self.probe_candidates(context)
        return self._begin_next(context)

    def _begin_next(self, context: RequestContext) -> Attempt | None:
        try:
            return self.begin(context)
        except RefusedError:
            return None

    async def _send_hedged(self, first: Attempt, context: RequestContext) -> Attempt:
        rule = context.rule
        delay_s = None
        if (
            context.safe
            and rule.retry.hedge
            and context.source is None
            and context.attempts < rule.retry.attempts
        ):
            delay_s = self._latencies.hedge_delay(
                context.group, rule.request_class, rule.objective_s
            )
        if delay_s is None:
            await self.send(first, context)
            return first
        return await Hedge(self, first, context).run(delay_s)


def _explain(context: RequestContext, error: UpstreamError) -> RefusedError:
    if error.timed_out:
        return context.refuse(error, 504, "deadline_passed")
    if context.unresolved:
        return context.refuse(error, 502, "backend_failed")
    return context.refuse(error, 503, "backend_unreachable", 1.0)


def _explain_shed(context: RequestContext, answer: UpstreamResponse) -> RefusedError:
    after = answer.headers.get("Retry-After", "")
    stated = after.isdecimal() and len(after) < 6
    delay_s = float(after) if stated else SHED_RETRY_AFTER_S
    cause = RefusedError("backend server shed the request before running it")
    return context.refuse(cause, 503, "shed", delay_s)
