"""Requests that another server takes over from one that may hang."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.caller_waits import compute_max_wait

if TYPE_CHECKING:
    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._latencies import HeadLatencies
    from geraniumbend.proxying._ports import RouterPort
    from geraniumbend.timers import TimerService

# Time without a byte after which a request may be lost, as a multiple of the 95th
# percentile of its class. Work on a shared host varies by about this factor.
TAIL_FACTOR = 1.5
# Time without a byte after which a request is lost whatever the server reports, as a
# multiple of the 95th percentile. A few requests in a hundred take that long.
LOST_FACTOR = 3.0


class Takeover:
    """Decides when a request without a byte of response goes to another server too.

    Some servers neither run nor refuse a request that finds their queue full. The first
    attempt is kept until another server has responded, since a slow request looks the
    same. So a wrong decision costs one retry of the budget and no time.

    Parameters
    ----------
    router : RouterPort
        Load of the servers.
    latencies : HeadLatencies
        Recent latencies of response heads.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, router: RouterPort, latencies: HeadLatencies, timers: TimerService
    ) -> None:
        self._router = router
        self._latencies = latencies
        self._timers = timers

    def compute_delay(self, attempt: Attempt, context: RequestContext) -> float | None:
        """Return the time without a byte after which another server is tried.

        Parameters
        ----------
        attempt : Attempt
            First attempt, before it is sent.
        context : RequestContext
            Request.

        Returns
        -------
        float or None
            Delay in seconds, early enough for a response in the caller's time if the
            tail of the class allows it; None if the request may not be repeated, too
            few latencies of its class are known, or its server has room by a recent
            report.
        """
        rule = context.rule
        if not context.safe or context.source is not None:
            return None
        if context.attempts >= rule.retry.attempts:
            return None
        tail_s = self._latencies.hedge_delay(context.group, rule.request_class)
        if tail_s is None or not self._router.may_hang(attempt.view):
            return None
        response_s = self._router.estimate_response_s(context.group, rule.request_class)
        left_s = context.deadline_s - self._timers.now()
        latest_s = compute_max_wait(left_s, response_s)
        return max(tail_s, min(TAIL_FACTOR * tail_s, latest_s))

    def report(self, attempt: Attempt, context: RequestContext) -> None:
        """Report the server of an attempt that ended without a byte, if it may hang."""
        if attempt.response is not None:
            return
        tail_s = self._latencies.hedge_delay(context.group, context.rule.request_class)
        waited_s = self._timers.now() - attempt.started_s
        if tail_s is None or waited_s < tail_s:
            return
        if waited_s >= LOST_FACTOR * tail_s or self._router.may_hang(attempt.view):
            self._router.report_hanging(attempt.view, waited_s)
