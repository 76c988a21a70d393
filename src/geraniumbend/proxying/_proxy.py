"""Handling of a request from end to end."""

from __future__ import annotations

import asyncio
import hmac
import random
from typing import TYPE_CHECKING, TypeVar

from geraniumbend.admission import AdmissionRequest
from geraniumbend.caller_waits import limit_return
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying._attempts import Attempts, LinkLostError
from geraniumbend.proxying._context import RequestContext
from geraniumbend.proxying._headers import (
    FORWARD_CALLER,
    FORWARD_TENANT,
    FORWARD_TOKEN,
)
from geraniumbend.proxying._hedging import Hedging
from geraniumbend.proxying._latencies import HeadLatencies
from geraniumbend.proxying._order_executor import OrderExecutor
from geraniumbend.proxying._ports import CallerLostError, UpstreamError
from geraniumbend.proxying._promises import check_status, may_send_status
from geraniumbend.proxying._relay import relay
from geraniumbend.proxying._request_log import RequestLog
from geraniumbend.routing import GroupSplitter, Outcome, RequestProperties, RuleTable
from geraniumbend.tenants import Authentication, Authenticator

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.model import Rule
    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._order_executor import ReadResponse, StoredResponse
    from geraniumbend.proxying._ports import CallerRequest, QuotaPort, TicketPort
    from geraniumbend.proxying._proxy_parts import ProxyParts
    from geraniumbend.settings import Settings
    from geraniumbend.tenants import TenantTotals

T = TypeVar("T")
# Time in seconds by which the outer timeout comes after the deadline. Each step has its
# own timeout at the deadline and reports its state more precisely, so it comes first.
DEADLINE_GRACE_S = 0.02
# Time in seconds beyond the deadline that a response has to end once it has started.
# Its caller reads it already, and is promised an end within half a second.
STARTED_RESPONSE_GRACE_S = 0.4
# Kinds of refusals that show that a group has no room.
FULL_KINDS = frozenset(("saturated", "limited"))
# Retry-After in seconds while a gateway that has just started has no configuration; it
# usually gets one within some tenths of a second.
NO_CONFIGURATION_RETRY_S = 0.2

declare_event(
    211,
    "answer_cut_off",
    "warning",
    "A backend server's response ended early; the caller's connection was reset.",
)


class Proxy:
    """Forwards callers' requests to backend servers and returns the responses.

    Parameters
    ----------
    parts : ProxyParts
        Components that handle a request.
    node : str
        Name of this gateway, which becomes the owner of the orders that it claims.
    sheet_header, caller_header : str
        Names of the header fields that identify the sheet open and the caller.
    body_idle_timeout_s : float
        Longest wait for the next bytes of a response, in seconds.
    observe : callable or None, default=None
        Called with group, request class, status and duration in seconds at the end of
        each request.
    hedge_ratio : float, default=0.0
        Extra work that hedges may cause, as a share of requests and of server time; 0
        leaves them to the retry budget.
    servers_may_hang : bool, default=False
        Whether backend servers may hang in place of refusing requests.
    """

    def __init__(
        self,
        parts: ProxyParts,
        node: str = "",
        sheet_header: str = "Sheet-Open",
        caller_header: str = "Authorization",
        body_idle_timeout_s: float = 20.0,
        observe: Callable[[str, str, int, float], None] | None = None,
        hedge_ratio: float = 0.0,
        servers_may_hang: bool = False,
    ) -> None:
        self._parts = parts
        self._sheet_header = sheet_header
        self._caller_header = caller_header
        self._is_key_header = caller_header.lower() == "authorization"
        self._body_idle_timeout_s = body_idle_timeout_s
        self._observe = observe
        self._rules = RuleTable(parts.configuration.current)
        self._splitter = GroupSplitter()
        self._authenticator = Authenticator(
            parts.configuration, parts.is_configuration_stale
        )
        self._log = RequestLog(parts.timers)
        latencies = HeadLatencies()
        hedging = Hedging(
            latencies,
            parts.router,
            parts.timers,
            hedge_ratio,
            parts.hedge_budget,
            self._count_hedge,
        )
        self._attempts = Attempts(
            parts.router,
            parts.budget,
            parts.quarantine,
            parts.upstream,
            latencies,
            parts.timers,
            self._log,
            parts.wait_synchronised,
            parts.limits,
            parts.links,
            parts.forwarder.is_needed if parts.forwarder is not None else None,
            self._authenticator,
            parts.find_ranking,
            hedging,
            servers_may_hang,
            parts.may_write,
        )
        self._order_executor = OrderExecutor(
            self._attempts, parts.orders, parts.timers, node
        )

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        parts: ProxyParts,
        observe: Callable[[str, str, int, float], None] | None = None,
    ) -> Proxy:
        """Build the proxy of a gateway from its settings."""
        gateway = settings.gateway
        return cls(
            parts,
            settings.node.name,
            gateway.sheet_header,
            gateway.caller_header,
            gateway.body_idle_timeout_s,
            observe,
            gateway.hedge_ratio,
            gateway.servers_may_hang,
        )

    def set_quotas(self, quotas: QuotaPort | None) -> None:
        """Set the quotas of tenants; None if no tenant has one."""
        self._parts = self._parts._replace(quotas=quotas)

    async def handle_forwarded(self, request: CallerRequest, token: str) -> None:
        """Handle a request that another gateway forwards; see `handle`.

        Parameters
        ----------
        request : CallerRequest
            Request of the other gateway.
        token : str
            Token that this process has given to its peers.

        Raises
        ------
        RefusedError
            If the request has another token; nothing was run.
        """
        request.is_forwarded = True
        given = request.headers.get(FORWARD_TOKEN, "")
        if not hmac.compare_digest(given.encode(), token.encode()):
            raise RefusedError(
                "the forwarded request has no token of this process",
                "open a session with this gateway",
                kind="unverified_peer",
            )
        caller = request.headers.get(FORWARD_CALLER, "").split()
        if len(caller) == 2:
            request.remote, request.scheme = caller
        await self.handle(request)

    @property
    def tenant_totals(self) -> TenantTotals:
        """Return the counts of requests by tenant."""
        return self._authenticator.totals

    def dump_tenants(self) -> dict[str, object]:
        """Return the entry of the state dump about tenants, empty without any."""
        if not self._authenticator.is_needed():
            return {}
        return {"authentication": self._authenticator.dump()}

    def orders_in_flight(self) -> int:
        """Return the number of running orders, with those of disconnected callers."""
        return self._order_executor.in_flight()

    async def handle(self, request: CallerRequest) -> None:
        """Handle one request until its response is complete or aborted.

        Parameters
        ----------
        request : CallerRequest
            Request of a caller.

        Raises
        ------
        RefusedError
            If nothing was written; the listener responds with a problem document.
        CallerLostError
            If the caller disconnected, or the response was aborted after it started.
        """
        parts = self._parts
        dialect = parts.dialect
        request.request_id = dialect.read_request_id(request.headers)
        started_s = parts.timers.now()
        try:
            rule = self._find_rule(request)
            authentication = self._authenticate(request, rule)
        except RefusedError as error:
            self._log.log_refusal(
                request_id=request.request_id,
                status=error.status,
                run=error.run,
                reason=error.message,
                revision=parts.configuration.current.revision,
            )
            raise
        allowed_s = dialect.read_allowed_time(request.headers, rule.deadline_s)
        if rule.wait_limit_s:
            allowed_s = min(allowed_s, rule.wait_limit_s)
        group = self._splitter.choose(rule)
        context = RequestContext(
            request, rule, group, started_s + allowed_s, dialect, started_s
        )
        context.authentication = authentication
        status = 0
        try:
            async with asyncio.timeout(allowed_s + DEADLINE_GRACE_S) as limit:
                status = await self._respond(context, limit)
        except TimeoutError:
            if request.response_started:
                self._abort_response(request, "deadline passed")
                return
            cause = RefusedError("the deadline passed")
            raise self._finalize_refusal(
                context, context.build_refusal(cause, 504, "deadline_passed")
            ) from None
        except UpstreamError as error:
            if request.response_started:
                self._abort_response(request, error.message)
                return
            raise self._finalize_refusal(
                context, context.build_refusal(error)
            ) from error
        except RefusedError as error:
            status = error.status
            raise self._finalize_refusal(context, error) from None
        except (CallerLostError, ConnectionError, asyncio.CancelledError):
            self._log_caller_left(context, started_s)
            raise
        else:
            self._log_response(context, status, started_s)
        finally:
            if context.tenant:
                self._authenticator.totals.count_request(
                    context.tenant, _name_outcome(status, request)
                )
            if self._observe is not None:
                seconds = parts.timers.now() - started_s
                self._observe(group, rule.request_class, status, seconds)

    def _find_rule(self, request: CallerRequest) -> Rule:
        configuration = self._parts.configuration.current
        if configuration.revision == 0:
            raise RefusedError(
                "this gateway has no configuration yet",
                "retry at another gateway",
                kind="no_configuration",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        rules = self._rules
        if rules.configuration is not configuration:
            rules = self._rules = RuleTable(configuration)
        facts = RequestProperties(
            request.headers.get("Host", ""),
            request.path,
            request.method,
            request.headers,
        )
        rule = rules.find(facts)
        if rule is None:
            raise RefusedError(
                "no rule matches the request",
                "check path, method and host",
                status=404,
                kind="no_rule",
            )
        return rule

    def _authenticate(
        self, request: CallerRequest, rule: Rule
    ) -> Authentication | None:
        """Return the tenant of a request; None if the configuration has no tenants."""
        authenticator = self._authenticator
        if request.is_forwarded:
            checked = request.headers.get(FORWARD_TENANT)
            if checked is not None:
                return authenticator.authenticate_forwarded(checked, rule)
        if not authenticator.is_needed():
            return None
        return authenticator.authenticate(request.raw_headers, rule)

    async def _respond(self, context: RequestContext, limit: asyncio.Timeout) -> int:
        parts = self._parts
        request = context.request
        if not context.safe:
            await request.wait_turn()
        await context.read_body()
        if parts.planned_stop is not None:
            # A slow body may have arrived late in a stop that began after its head.
            parts.planned_stop.check(parts.timers.now(), context.deadline_s)
        parts.quarantine.check(context.fingerprint)
        if self._is_link_lost(context):
            return await self._respond_through_peer(context, limit)
        try:
            return await self._respond_directly(context, limit)
        except LinkLostError:
            return await self._respond_through_peer(context, limit)

    def _is_link_lost(self, context: RequestContext) -> bool:
        """Tell whether a request has to go through another gateway.

        Raises
        ------
        RefusedError
            If the request comes from another gateway; a second hop is not made.
        """
        parts = self._parts
        if parts.links is None or parts.forwarder is None:
            return False
        if not context.request.is_forwarded:
            return parts.forwarder.is_needed(context.group)
        if parts.links.is_lost(context.group):
            raise RefusedError(
                "this gateway has lost its links to the backend servers as well",
                "forward it to another gateway",
                kind="link_lost",
            )
        return False

    async def _respond_through_peer(
        self, context: RequestContext, limit: asyncio.Timeout
    ) -> int:
        forwarder = self._parts.forwarder
        assert forwarder is not None
        self._attempts.check_key(context)
        response = await forwarder.fetch(context)
        try:
            self._allow_response_time(limit)
            await relay(
                context.request, response, self._body_idle_timeout_s, context.dialect
            )
        finally:
            response.close()
        return response.status

    @staticmethod
    def _allow_response_time(limit: asyncio.Timeout) -> None:
        """Let a response that has started end a little after the deadline."""
        due = limit.when()
        assert due is not None
        limit.reschedule(due + STARTED_RESPONSE_GRACE_S)

    async def _respond_directly(
        self, context: RequestContext, limit: asyncio.Timeout
    ) -> int:
        caller = context.tenant or self._identify_caller(context)
        if context.rule.order is not None:
            # It goes on after its caller has left.
            context.request.is_sent = True

            async def fetch(
                context: RequestContext, read_response: ReadResponse
            ) -> StoredResponse:
                return await self._admit_and_fetch(context, caller, read_response)

            status = await self._order_executor.execute(context, caller, fetch)
            if status is not None:
                return status

        async def forward(context: RequestContext, attempt: Attempt) -> int:
            self._allow_response_time(limit)
            return await self._forward(context, attempt)

        return await self._admit_and_fetch(context, caller, forward)

    def _identify_caller(self, context: RequestContext) -> str:
        """Return the identity of a caller without a tenant.

        With tenants, an unknown key is not kept, as it may be a mistyped one.
        """
        request = context.request
        if context.authentication is not None and self._is_key_header:
            return request.remote
        return request.headers.get(self._caller_header) or request.remote

    async def _admit_and_fetch(
        self,
        context: RequestContext,
        caller: str,
        consume: Callable[[RequestContext, Attempt], Awaitable[T]],
    ) -> T:
        """Count a request against its quota, send it, return what `consume` does."""
        quotas = self._parts.quotas
        authentication = context.authentication
        if quotas is None or authentication is None or authentication.tenant is None:
            return await self._admit_within_quota(context, caller, consume)
        max_wait_s = self._attempts.compute_max_wait(context)
        ticket = await quotas.admit(authentication.tenant, max_wait_s)
        try:
            return await self._admit_within_quota(context, caller, consume)
        except BaseException:
            # Also when the caller has left or another gateway takes the request, which
            # then counts it.
            if not context.unresolved_attempts:
                quotas.refund(ticket)
            raise

    async def _count_hedge(self, context: RequestContext) -> bool:
        """Count a hedge against the quota of its tenant; tell whether it is allowed."""
        quotas, authentication = self._parts.quotas, context.authentication
        if quotas is None or authentication is None or authentication.tenant is None:
            return True
        try:
            # The first attempt may respond at any moment, so a hedge does not wait.
            await quotas.admit(authentication.tenant, 0.0)
        except RefusedError:
            return False
        return True

    async def _admit_within_quota(
        self,
        context: RequestContext,
        caller: str,
        consume: Callable[[RequestContext, Attempt], Awaitable[T]],
    ) -> T:
        rule = context.rule
        timers = self._parts.timers
        self._parts.router.check_asked_time(context.group)
        sheet = context.request.headers.get(self._sheet_header, "")
        ticket = await self._parts.admission.admit(
            AdmissionRequest(
                context.group,
                rule.request_class,
                sheet,
                caller,
                context.deadline_s,
                context.importance,
                context.tenant,
                context.request.connection,
            )
        )
        started_s = timers.now()
        status = 0
        try:
            attempt = await self._fetch(context, ticket)
            assert attempt.response is not None
            status = attempt.response.status
            self._check_response(context, attempt)
            if context.request.is_behind():
                # The response waits for the caller to read earlier ones, perhaps for
                # long; others may be served meanwhile.
                latency_s = timers.now() - started_s
                ticket.release(Outcome(status, latency_s, 0.0, False))
            return await consume(context, attempt)
        finally:
            latency_s = timers.now() - started_s
            ticket.release(Outcome(status, latency_s, 0.0, not status))

    def _check_response(self, context: RequestContext, attempt: Attempt) -> None:
        """End an attempt whose status would be a false promise; its body is not read.

        Raises
        ------
        RefusedError
            In place of the response.
        """
        assert attempt.response is not None
        try:
            check_status(context, attempt.response.status)
        except RefusedError:
            self._attempts.finish(attempt, context)
            raise

    async def _fetch(self, context: RequestContext, ticket: TicketPort) -> Attempt:
        try:
            return await self._attempts.fetch(context)
        except RefusedError as error:
            if error.kind in FULL_KINDS:
                ticket.observe_refusal()
            raise

    async def _forward(self, context: RequestContext, attempt: Attempt) -> int:
        response = attempt.response
        assert response is not None
        failed = False
        try:
            await relay(
                context.request, response, self._body_idle_timeout_s, context.dialect
            )
            return response.status
        except UpstreamError:
            failed = True
            raise
        finally:
            self._attempts.finish(attempt, context, failed)

    def _finalize_refusal(
        self, context: RequestContext, error: RefusedError
    ) -> RefusedError:
        if context.unresolved_attempts:
            error.run = "unknown"
            if not may_send_status(context.dialect, error.status, may_have_run=True):
                error.status, error.retry_after_s = 502, None
        now = self._parts.timers.now()
        share = context.dialect.honoured_share
        if error.retry_after_s is not None and share is not None:
            honoured_s = share * (context.deadline_s - now)
            error.retry_after_s = limit_return(
                error.retry_after_s, honoured_s, random.random()
            )
        self._log.log_refusal(
            request_id=context.request.request_id,
            rule=context.rule.name,
            group=context.group,
            **_name_tenant(context),
            status=error.status,
            run=error.run,
            reason=error.message,
            retry_after_s=error.retry_after_s,
            attempts=context.attempts,
            servers=sorted(context.tried),
            left_ms=round((context.deadline_s - now) * 1000),
            revision=self._parts.configuration.current.revision,
            **error.inputs,
        )
        return error

    def _log_response(
        self, context: RequestContext, status: int, started_s: float
    ) -> None:
        now = self._parts.timers.now()
        took_s = now - started_s
        objective_s = context.rule.objective_s
        late = now > context.deadline_s or (0 < objective_s < took_s)
        ordinary = status < 500 and context.attempts == 1 and not late
        self._log.log_response(
            ordinary,
            request_id=context.request.request_id,
            rule=context.rule.name,
            group=context.group,
            **_name_tenant(context),
            status=status,
            attempts=context.attempts,
            servers=sorted(context.tried),
            took_ms=round(took_s * 1000, 1),
            waited_ms=round(context.waited_s * 1000, 1),
            revision=self._parts.configuration.current.revision,
            **context.choice_details,
        )

    def _log_caller_left(self, context: RequestContext, started_s: float) -> None:
        self._log.log_caller_left(
            request_id=context.request.request_id,
            rule=context.rule.name,
            attempts=context.attempts,
            servers=sorted(context.tried),
            waited_ms=round((self._parts.timers.now() - started_s) * 1000),
        )

    def _abort_response(self, request: CallerRequest, reason: str) -> None:
        log_event(211, request_id=request.request_id, reason=reason)
        request.abort()
        raise CallerLostError(reason)


def _name_outcome(status: int, request: CallerRequest) -> str:
    """Return the outcome of a request in the metric of its tenant."""
    if request.response_started:
        return "answered" if status else "aborted"
    return "refused" if status else "aborted"


def _name_tenant(context: RequestContext) -> dict[str, str]:
    """Return the log field with the tenant of a request, empty without one."""
    return {"tenant": context.tenant} if context.tenant else {}
