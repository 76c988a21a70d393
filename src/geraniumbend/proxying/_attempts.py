"""Attempts of a request until one gets a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.caller_waits import compute_max_wait
from geraniumbend.errors import GeraniumbendError, RefusedError
from geraniumbend.proxying._attempt import (
    Attempt,
    build_asked_refusal,
    build_failure_refusal,
    build_shed_refusal,
)
from geraniumbend.proxying._hedge import HedgedRequest
from geraniumbend.proxying._hedging import Hedging
from geraniumbend.proxying._ports import UpstreamError
from geraniumbend.proxying._relay import parse_content_length
from geraniumbend.proxying._request_log import describe_choice
from geraniumbend.proxying._send_gate import RetryRules, SendGate
from geraniumbend.proxying._server_signals import observe_signals
from geraniumbend.proxying._takeover import Takeover
from geraniumbend.routing import Outcome, SlotTurn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._latencies import HeadLatencies
    from geraniumbend.proxying._ports import (
        LimitsPort,
        LinksPort,
        QuarantinePort,
        RankingPort,
        RetryBudgetPort,
        RouterPort,
        SendKind,
        Upstream,
        UpstreamResponse,
    )
    from geraniumbend.proxying._request_log import RequestLog
    from geraniumbend.tenants import Authenticator
    from geraniumbend.timers import TimerService

# Statuses of a failing backend server; a retry on another one may succeed.
RETRIED_STATUSES = frozenset((500, 502, 503, 504))
# Pause in seconds before a request waits again whose slot another one has taken.
SLOT_LOST_PAUSE_S = 0.005


class LinkLostError(GeraniumbendError):
    """No server of the group is reached from here; the request was not run."""


class Attempts:
    """Sends a request to backend servers until one of them responds without failing.

    Parameters
    ----------
    router : Router
        Chooses backend servers.
    budget : RetryBudget
        Bounds retries and hedges.
    quarantine : Quarantine
        Is notified of requests during which a backend server crashed.
    upstream : Upstream
        Sends requests.
    latencies : HeadLatencies
        Recent latencies of response heads, for hedges and silence timeouts.
    timers : TimerService
        Clock.
    log : RequestLog
        Log of failed, retried and hedged attempts.
    wait_synchronised : callable or None, default=None
        Waits until the known servers are up to date after a pause of the process.
    limits : ServerLimits or None, default=None
        Hears the limits that backend servers name.
    links : LinksPort or None, default=None
        Links from this gateway to the backend servers.
    needs_forwarding : callable or None, default=None
        Tells by group whether other gateways take the requests in place of this one.
    authenticator : Authenticator or None, default=None
        Finds out whether the key of a waiting request was removed meanwhile.
    find_ranking : callable or None, default=None
        Returns the admission by rank and tenant; None while it is off.
    hedging : Hedging or None, default=None
        Decides about hedges; None bounds them by the retry budget alone.
    servers_may_hang : bool, default=False
        Whether backend servers may hang in place of refusing requests.
    may_write : callable or None, default=None
        Tells whether the state was renewed after the last pause of the process.
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
        wait_synchronised: Callable[[], Awaitable[object]] | None = None,
        limits: LimitsPort | None = None,
        links: LinksPort | None = None,
        needs_forwarding: Callable[[str], bool] | None = None,
        authenticator: Authenticator | None = None,
        find_ranking: Callable[[], RankingPort | None] | None = None,
        hedging: Hedging | None = None,
        servers_may_hang: bool = False,
        may_write: Callable[[], bool] | None = None,
    ) -> None:
        self.hedging = hedging or Hedging(latencies, router, timers)
        self._authenticator = authenticator
        self._takeover = None
        if servers_may_hang:
            self._takeover = Takeover(router, latencies, timers)
        self._find_ranking = find_ranking
        self._limits = limits
        self._links = links
        self._needs_forwarding = needs_forwarding
        self._wait_synchronised = wait_synchronised
        self._log = log
        self._router = router
        self._budget = budget
        self._quarantine = quarantine
        self._upstream = upstream
        self._latencies = latencies
        self._timers = timers
        self._retry_rules = RetryRules(
            self._may_retry,
            self._spend_retry,
            self._has_valid_key,
            budget,
            may_write,
        )

    def now(self) -> float:
        """Return the clock's reading in seconds."""
        return self._timers.now()

    async def fetch(self, context: RequestContext) -> Attempt:
        """Return the attempt whose response is sent to the caller.

        Parameters
        ----------
        context : RequestContext
            Request.

        Returns
        -------
        Attempt
            Attempt with a response; the caller of this method ends it with `finish`.

        Raises
        ------
        RefusedError
            If no backend server responded; `run` covers all attempts.
        """
        attempt = await self._begin_first(context)
        while True:
            try:
                attempt = await self._send_hedged(attempt, context)
            except UpstreamError as error:
                self._check_link(context, error)
                if error.unreachable or error.withheld:
                    successor = await self._begin_replacement(context, error)
                else:
                    not_run = error.run == "not_run"
                    successor = await self._begin_retry(context, not_run)
                if successor is None:
                    raise build_failure_refusal(context, error) from error
                self._log.log_attempt(context, successor, error.message)
            else:
                response = attempt.response
                assert response is not None
                not_run = attempt.not_run
                if response.status not in RETRIED_STATUSES and not not_run:
                    return attempt
                if not_run:
                    # It runs nowhere, so it holds no slot while the next one waits.
                    self.finish(attempt, context)
                    if not attempt.resent:
                        context.unresolved_attempts -= 1
                try:
                    successor = await self._begin_retry(context, not_run)
                except BaseException:
                    self.finish(attempt, context)
                    raise
                if successor is None and not not_run:
                    return attempt
                self.finish(attempt, context)
                if successor is None:
                    raise self._refuse_shed(context, response)
                reason = (
                    "backend server did not run it"
                    if not_run
                    else "backend server failed"
                )
                self._log.log_attempt(context, successor, reason)
            attempt = successor

    async def _begin_first(self, context: RequestContext) -> Attempt:
        """Wait for a free slot and choose a server.

        Raises
        ------
        RefusedError
            If no backend server has room for the request in its caller's time.
        """
        while True:
            await self._wait_for_slot(context)
            try:
                return self.begin_attempt(context)
            except RefusedError as error:
                if error.kind != "saturated" or not self.compute_max_wait(context):
                    raise
            # Another request has taken the slot meanwhile.
            await self._timers.sleep(SLOT_LOST_PAUSE_S)

    async def _wait_for_slot(self, context: RequestContext) -> None:
        """Wait until it is the turn of a request and a server may have room for it.

        Raises
        ------
        RefusedError
            If there will be no slot in time.
        """
        ranking = self._find_ranking() if self._find_ranking is not None else None
        if ranking is None:
            turn = SlotTurn(0, 0.0, context.started_s)
        else:
            turn = ranking.find_turn(
                context.group, context.importance, context.tenant, context.started_s
            )
        await self.probe_candidates(context, self.compute_max_wait(context), turn)

    def _refuse_shed(
        self, context: RequestContext, response: UpstreamResponse
    ) -> RefusedError:
        delay_s = self._router.find_return_delay(context.group)
        if delay_s is not None:
            return build_asked_refusal(context, delay_s)
        room_s = self._router.estimate_room_s(context.group, context.rule.request_class)
        return build_shed_refusal(context, response, room_s)

    def _check_link(self, context: RequestContext, error: UpstreamError) -> None:
        """Give up a request that has not run if other gateways take it from now on.

        Raises
        ------
        LinkLostError
            If the links to the group of the request are lost.
        """
        if self._needs_forwarding is None or context.request.is_forwarded:
            return
        is_unsent = error.run == "not_run" and not context.unresolved_attempts
        is_replayable = context.body_replayable and context.rule.order is None
        if is_unsent and is_replayable and self._needs_forwarding(context.group):
            raise LinkLostError("the links to the backend servers are lost")

    async def probe_candidates(
        self,
        context: RequestContext,
        max_wait_s: float = 0.0,
        turn: SlotTurn | None = None,
    ) -> bool:
        """Probe servers of the group for their load.

        If the process was paused meanwhile, the servers that it knows may have left, so
        this returns only after a synchronisation with its peers.

        Returns
        -------
        bool
            Whether one of them has a free slot on a lightly loaded host.
        """
        found = await self._router.probe_candidates(
            context.group,
            context.rule.request_class,
            context.tried,
            context.deadline_s - self._timers.now(),
            max_wait_s,
            **({} if turn is None else {"turn": turn}),
        )
        if self._wait_synchronised is not None:
            await self._wait_synchronised()
        return found

    def compute_max_wait(self, context: RequestContext) -> float:
        """Return how long a request can wait and be answered in its caller's time."""
        response_s = self._router.estimate_response_s(
            context.group, context.rule.request_class
        )
        return compute_max_wait(context.deadline_s - self._timers.now(), response_s)

    def begin_attempt(
        self, context: RequestContext, kind: SendKind = "first"
    ) -> Attempt:
        """Choose a backend server for the next attempt.

        Parameters
        ----------
        context : RequestContext
            Request.
        kind : {"first", "retry", "hedge"}, default="first"
            Why the attempt is made.

        Raises
        ------
        RefusedError
            If no backend server is left that was not tried, or the key of the request
            was removed.
        """
        self.check_key(context)
        rule = context.rule
        now_s = self._timers.now()
        view = self._router.choose(
            context.group,
            rule.request_class,
            context.tried,
            context.deadline_s - now_s,
            trial=context.safe,
        )
        context.choice_details = describe_choice(view, now_s)
        if not context.attempts:
            context.waited_s = now_s - context.started_s
        context.tried.add(view.server_id)
        context.attempts += 1
        self._router.start_request(view, rule.request_class)
        permit = self._limits.take(view.server_id) if self._limits else None
        return Attempt(view, now_s, kind, permit)

    def check_key(self, context: RequestContext) -> None:
        """Refuse a request whose key was removed while it waited."""
        authentication = context.authentication
        if authentication is not None and self._authenticator is not None:
            renewed = self._authenticator.renew(authentication)
            if renewed is not authentication:
                context.authentication = renewed

    def _has_valid_key(self, context: RequestContext) -> bool:
        authentication = context.authentication
        if authentication is None or self._authenticator is None:
            return True
        return self._authenticator.is_current(authentication)

    async def begin_hedge(
        self, context: RequestContext, is_first_pending: Callable[[], bool]
    ) -> Attempt | None:
        """Choose a backend server for a hedge.

        A hedge needs a server with spare capacity; on a server as busy as the first one
        it would only add to the load that slows both down.

        Parameters
        ----------
        context : RequestContext
            Request.
        is_first_pending : callable
            Tells whether the first attempt still waits for its response.

        Returns
        -------
        Attempt or None
            None if the budget of hedges or retries or the tenant's quota is spent, if
            no server has a free slot on a lightly loaded host, or if the first attempt
            has ended.
        """
        if not self._may_retry(context):
            self.hedging.count(context, "refused_retry_budget")
            return None
        if not self.hedging.allows(context):
            return None
        if not await self.probe_candidates(context):
            self.hedging.count(context, "refused_no_free_slot")
            return None
        if not is_first_pending() or not await self.hedging.try_spend(context):
            return None
        if not is_first_pending() or not self._budget.try_acquire(context.group):
            return None
        attempt = self._try_begin_attempt(context, "hedge")
        if attempt is not None:
            self.hedging.count(context, "started")
            self._log.log_attempt(context, attempt, "the first attempt is slow")
        return attempt

    async def begin_takeover(
        self, context: RequestContext, is_first_pending: Callable[[], bool]
    ) -> Attempt | None:
        """Choose a backend server that takes over from one that may hang.

        See `begin_hedge`. A free slot is enough, since the request may be lost.
        """
        if not self._may_retry(context):
            return None
        await self.probe_candidates(context)
        if not is_first_pending() or not self._budget.try_acquire(context.group):
            return None
        attempt = self._try_begin_attempt(context)
        if attempt is not None:
            self._log.log_attempt(context, attempt, "the first server may hang")
        return attempt

    async def send(self, attempt: Attempt, context: RequestContext) -> None:
        """Send the request and wait for the head of the response.

        Raises
        ------
        UpstreamError
            If no response arrived, or one that must not reach the caller; the attempt
            is finished.
        RefusedError
            If the request is in quarantine; the attempt is finished.
        """
        rule = context.rule
        fingerprint = context.fingerprint
        silence_timeout_s = self._latencies.silence_timeout(
            context.group, rule.request_class
        )
        try:
            await self._quarantine.begin_run(fingerprint)
        except BaseException:
            self.finish(attempt, context)
            raise
        context.unresolved_attempts += 1
        context.request.is_sent = True
        try:
            gate = SendGate(
                attempt,
                context,
                self._router,
                self._limits,
                self._retry_rules,
                self._timers,
                silence_timeout_s,
            )
            request = gate.build_request(attempt.kind)
            response = await self._upstream.send(attempt.view.server, request)
            self._verify_response(response, attempt, context)
        except UpstreamError as error:
            if error.run == "not_run":
                context.unresolved_attempts -= 1
            self._log.log_failure(
                request_id=context.request.request_id,
                server=attempt.view.server_id,
                run=error.run,
                error=error.message,
                server_lost=error.server_lost,
            )
            is_link_suspect = self._links is not None and self._links.is_suspect(
                context.group
            )
            if error.unreachable or error.withheld:
                context.attempts -= 1
            if error.withheld:
                attempt.not_run = True
                if attempt.outdated:
                    context.tried.discard(attempt.view.server_id)
            spared = (
                error.server_full
                or error.withheld
                or attempt.outdated
                or is_link_suspect
            )
            if self._takeover is not None and not (spared or error.server_lost):
                self._takeover.report(attempt, context)
            self.finish(attempt, context, failed=not spared)
            if error.server_full:
                self._router.report_full(attempt.view)
            if error.server_lost and not is_link_suspect:
                server_id = attempt.view.server_id
                await self._quarantine.report_loss(fingerprint, server_id)
            self._quarantine.end_run(fingerprint)
            raise
        except BaseException:
            self._quarantine.end_run(fingerprint)
            if self._takeover is not None:
                self._takeover.report(attempt, context)
            self.finish(attempt, context)
            raise
        attempt.response = response
        attempt.head_latency_s = self._timers.now() - attempt.started_s
        attempt.not_run = context.dialect.was_not_run(response)
        report = context.dialect.read_report(response.headers)
        if report is not None:
            self._router.observe_report(attempt.view, report)
        self._observe_limit(attempt, context)
        observe_signals(self._router, attempt.view, response, context.dialect)
        if attempt.not_run:
            self._handle_not_run(attempt, context)
            return
        self._latencies.observe(
            context.group, rule.request_class, attempt.head_latency_s
        )
        self._quarantine.report_success(fingerprint)

    def _verify_response(
        self, response: UpstreamResponse, attempt: Attempt, context: RequestContext
    ) -> None:
        """Check that a response may be passed on to the caller.

        One that has the request's id comes from the server even if it is damaged, so
        what the server states in it about itself holds.

        Raises
        ------
        UpstreamError
            If the response is damaged or belongs to another request.
        """
        dialect, request_id = context.dialect, context.request.request_id
        defect = dialect.find_defect(response, request_id)
        if defect:
            if response.headers.get(dialect.request_id_header) == request_id:
                observe_signals(self._router, attempt.view, response, dialect)
            response.discard()
            raise UpstreamError(defect, "unknown")

    def _observe_limit(self, attempt: Attempt, context: RequestContext) -> None:
        response = attempt.response
        assert response is not None
        if self._limits is None or context.dialect.is_misdirected(response):
            return
        statement = context.dialect.read_limit(response.headers)
        source = "refusal" if attempt.not_run else "response"
        self._limits.observe(attempt.view.server, statement, source, attempt.started_s)

    def _handle_not_run(self, attempt: Attempt, context: RequestContext) -> None:
        assert attempt.response is not None
        self._quarantine.end_run(context.fingerprint)
        if context.dialect.is_misdirected(attempt.response):
            self._router.report_address_reused(attempt.view)

    def finish(
        self, attempt: Attempt, context: RequestContext, failed: bool = False
    ) -> None:
        """End an attempt and report its outcome to the router and the retry budget.

        The connection is closed unless the response was read completely.
        """
        if attempt.finished:
            return
        attempt.finished = True
        if attempt.permit is not None and self._limits is not None:
            self._limits.give_back(attempt.view.server_id, attempt.permit)
        status = 0
        if attempt.response is not None:
            status = attempt.response.status
            attempt.response.close()
        latency_s = self._timers.now() - attempt.started_s
        size = (
            parse_content_length(attempt.response)
            if attempt.response is not None
            else None
        )
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
            self._budget.record_success(context.group)

    async def _begin_retry(
        self, context: RequestContext, not_run: bool
    ) -> Attempt | None:
        if not (context.safe or not_run) or not self._may_retry(context):
            return None
        try:
            await self._wait_for_slot(context)
        except RefusedError:
            return None
        return self._try_begin_attempt(context) if self._spend_retry(context) else None

    def _spend_retry(self, context: RequestContext) -> bool:
        """Take one retry from the budget; tell whether it is allowed."""
        return self._may_retry(context) and self._budget.try_acquire(context.group)

    def _may_retry(self, context: RequestContext) -> bool:
        """Tell whether the request may be retried, without spending the budget."""
        return (
            not context.send_once
            and context.body_replayable
            and context.attempts < context.rule.retry.attempts
            and self._timers.now() < context.deadline_s
            and self._budget.allows(context.group)
        )

    async def _begin_replacement(
        self, context: RequestContext, error: UpstreamError
    ) -> Attempt | None:
        """Choose another server after a request could not be written to one.

        A failed connection, or a server at its limit, neither counts as an attempt nor
        spends the retry budget, because it cost no server any work. If it did, the loss
        of two servers would make the gateway refuse requests while others are idle. The
        replacements end when all servers of the group were tried.
        """
        if not context.body_replayable or (context.send_once and not error.withheld):
            return None
        if self._timers.now() >= context.deadline_s:
            return None
        self.check_key(context)
        try:
            await self._wait_for_slot(context)
        except RefusedError:
            return None
        return self._try_begin_attempt(context)

    def _try_begin_attempt(
        self, context: RequestContext, kind: SendKind = "retry"
    ) -> Attempt | None:
        try:
            return self.begin_attempt(context, kind)
        except RefusedError:
            return None

    async def _send_hedged(self, first: Attempt, context: RequestContext) -> Attempt:
        delay_s = self.hedging.find_delay_s(context)
        begin = self.begin_hedge
        if delay_s is None and self._takeover is not None:
            delay_s = self._takeover.compute_delay(first, context)
            begin = self.begin_takeover
        if delay_s is None:
            await self.send(first, context)
            return first
        return await HedgedRequest(self, first, context, begin).run(delay_s)
