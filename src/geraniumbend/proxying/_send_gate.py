"""Checks of one attempt right before its request is written."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._ports import (
        LimitsPort,
        RetryBudgetPort,
        RouterPort,
        SendKind,
        UpstreamRequest,
    )
    from geraniumbend.timers import TimerService


declare_event(
    218,
    "write_withheld",
    "info",
    "A request whose server was chosen before a pause of the process was not written.",
)


class RetryRules:
    """What an attempt may ask about retries of its request.

    Parameters
    ----------
    may_retry : callable
        Tells whether the request may be retried, without spending the budget.
    spend_retry : callable
        Takes one retry from the budget; tells whether it is allowed.
    has_valid_key : callable
        Tells whether the key of the request is still known.
    budget : RetryBudgetPort
        Tells whether a resend on a new connection counts as a retry.
    may_write : callable or None, default=None
        Tells whether the state was renewed after the last pause of the process.
    """

    __slots__ = ("budget", "has_valid_key", "may_retry", "may_write", "spend_retry")

    def __init__(
        self,
        may_retry: Callable[[RequestContext], bool],
        spend_retry: Callable[[RequestContext], bool],
        has_valid_key: Callable[[RequestContext], bool],
        budget: RetryBudgetPort,
        may_write: Callable[[], bool] | None = None,
    ) -> None:
        self.may_write = may_write
        self.may_retry = may_retry
        self.spend_retry = spend_retry
        self.has_valid_key = has_valid_key
        self.budget = budget


class SendGate:
    """Decides at the moment of writing whether an attempt may be sent.

    A request is written some time after its server was chosen: the server may have
    begun to leave, its limit or the request's key may have changed; or the process was
    paused and does not know yet. Neither the attempt nor the context refers to the
    gate, so that a request leaves no reference cycle.

    Parameters
    ----------
    attempt : Attempt
        Attempt.
    context : RequestContext
        Request.
    router : Router
        State of the backend servers.
    limits : ServerLimits or None
        Limits that backend servers name.
    rules : RetryRules
        Limits of retries.
    timers : TimerService
        Clock.
    silence_timeout_s : float
        Time without a byte after which a reused connection is suspected to be broken,
        in seconds.
    """

    __slots__ = (
        "_attempt",
        "_context",
        "_limits",
        "_router",
        "_rules",
        "_silence_timeout_s",
        "_timers",
    )

    def __init__(
        self,
        attempt: Attempt,
        context: RequestContext,
        router: RouterPort,
        limits: LimitsPort | None,
        rules: RetryRules,
        timers: TimerService,
        silence_timeout_s: float,
    ) -> None:
        self._attempt = attempt
        self._context = context
        self._router = router
        self._limits = limits
        self._rules = rules
        self._timers = timers
        self._silence_timeout_s = silence_timeout_s

    def build_request(self, kind: SendKind) -> UpstreamRequest:
        """Return the upstream request of the attempt.

        If the connection goes silent, the upstream asks for the request again and
        resends it to the same server on a new connection, with the time that is left
        then.
        """
        request = self._context.build_request(
            self._attempt.view.server, self._timers.now(), self._silence_timeout_s
        )
        return request._replace(
            build_resend=self.build_resend,
            is_server_full=self.is_server_full,
            may_send=partial(self.may_send, kind),
        )

    def may_send(self, kind: SendKind) -> bool:
        """Tell whether the request may be written now.

        A server that has begun to leave gets nothing, neither a resend nor a request
        that waited for a connection.
        """
        attempt, limits = self._attempt, self._limits
        if self._is_outdated() or not self._router.accepts_requests(attempt.view):
            return False
        if not self._rules.has_valid_key(self._context):
            return False
        return limits is None or limits.may_send(
            attempt.view.server, attempt.permit, kind
        )

    def is_server_full(self) -> bool:
        """Tell whether the server has more requests than slots by its last report."""
        return self._router.is_full(self._attempt.view)

    def build_resend(self) -> UpstreamRequest | None:
        """Return the request to send again, None if it must not be.

        Where resends count as retries, the limits of retries apply to them.

        Raises
        ------
        UpstreamError
            If the server leaves or the state is not renewed after a pause, the request
            may be retried and there is another server.
        """
        attempt, context, limits = self._attempt, self._context, self._limits
        if self._is_outdated():
            self._move_resend("the process was paused")
            return None
        if not self._router.accepts_requests(attempt.view):
            self._move_resend("the backend server leaves")
            return None
        if self.is_server_full():
            return None
        if limits is not None:
            server_id = attempt.view.server.server_id
            attempt.permit = limits.take(server_id)
            if attempt.permit is None and limits.is_limited(server_id):
                return None
        if self._rules.budget.counts_resends:
            if not self._rules.spend_retry(context):
                return None
            context.attempts += 1
        attempt.resent = True
        return self.build_request("resend")

    def _is_outdated(self) -> bool:
        """Tell whether the state is not renewed after a pause of the process."""
        may_write = self._rules.may_write
        if may_write is None or may_write():
            return False
        self._attempt.outdated = True
        log_event(
            218,
            request_id=self._context.request.request_id,
            server=self._attempt.view.server_id,
        )
        return True

    def _move_resend(self, reason: str) -> None:
        """End an attempt whose connection is silent if another server can take over."""
        context = self._context
        has_alternative = self._router.has_alternative(context.group, context.tried)
        if has_alternative and self._rules.may_retry(context):
            raise UpstreamError(f"the connection is silent and {reason}", "unknown")
