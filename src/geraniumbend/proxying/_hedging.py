"""Decision whether and when a request is hedged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.caller_waits import compute_max_wait

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._latencies import HeadLatencies
    from geraniumbend.proxying._ports import HedgeBudgetPort, RouterPort
    from geraniumbend.timers import TimerService


class Hedging:
    """Decides whether a request is hedged, within the budget of the operator.

    Without a budget, hedges are bounded by the retry budget alone.

    Parameters
    ----------
    latencies : HeadLatencies
        Recent latencies of response heads.
    router : Router
        Service times.
    timers : TimerService
        Clock.
    ratio : float, default=0.0
        Extra work allowed by the settings, as a share of requests and of server time;
        0 sets no budget.
    budget : HedgeBudget or None, default=None
        Budget; needed where the settings or a rule allow a share.
    count_quota : callable or None, default=None
        Counts a hedge against the quota of its tenant; tells whether it is allowed.
    """

    def __init__(
        self,
        latencies: HeadLatencies,
        router: RouterPort,
        timers: TimerService,
        ratio: float = 0.0,
        budget: HedgeBudgetPort | None = None,
        count_quota: Callable[[RequestContext], Awaitable[bool]] | None = None,
    ) -> None:
        self._latencies = latencies
        self._router = router
        self._timers = timers
        self._ratio = ratio
        self._budget = budget
        self._count_quota = count_quota

    def find_delay_s(self, context: RequestContext) -> float | None:
        """Return the time after which a request is hedged, None if it never is.

        With a budget, the delay is the quantile of the recent latencies that as many
        requests exceed as the budget allows hedges, or earlier where no other server
        could answer in the caller's time otherwise.
        """
        rule = context.rule
        is_hedgeable = (
            context.safe
            and rule.retry.hedge
            and context.source is None
            and context.attempts < rule.retry.attempts
        )
        if not is_hedgeable:
            return None
        ratio = self._find_ratio(context)
        # Retries earn nothing: failing servers would raise the share of hedges.
        if ratio and self._budget is not None and context.attempts <= 1:
            service_s = self._estimate_service_s(context)
            self._budget.record_request(context.group, service_s, ratio)
        delay_s = self._latencies.hedge_delay(
            context.group,
            rule.request_class,
            1 - ratio if ratio else None,
        )
        latest_s = self._find_latest_s(context)
        if not latest_s:
            return delay_s
        return latest_s if delay_s is None else min(delay_s, latest_s)

    def _find_latest_s(self, context: RequestContext) -> float:
        """Return the latest time at which a hedge can be answered in time, in seconds.

        0 if there is none, or if the time that a response needs is unknown.
        """
        rule = context.rule
        response_s = self._router.estimate_response_s(context.group, rule.request_class)
        if not response_s:
            return 0.0
        return compute_max_wait(context.deadline_s - self._timers.now(), response_s)

    def allows(self, context: RequestContext) -> bool:
        """Tell whether the budget has room for a hedge, without spending it."""
        if not self._find_ratio(context) or self._budget is None:
            return True
        is_allowed = self._budget.allows(
            context.group, self._estimate_service_s(context)
        )
        if not is_allowed:
            self._budget.count("refused_budget")
        return is_allowed

    async def try_spend(self, context: RequestContext) -> bool:
        """Count a hedge against budget and quota; tell whether it may be sent.

        The budget is checked again: other hedges may have spent it since `allows`.
        """
        if not self.allows(context):
            return False
        budget = self._budget if self._find_ratio(context) else None
        service_s = 0.0
        if budget is not None:
            service_s = self._estimate_service_s(context)
            budget.spend(context.group, service_s)
        if self._count_quota is None:
            return True
        is_counted = False
        try:
            is_counted = await self._count_quota(context)
        finally:
            # Also when the first attempt has responded meanwhile.
            if not is_counted and budget is not None:
                budget.refund(context.group, service_s)
        if not is_counted:
            self.count(context, "refused_quota")
        return is_counted

    def count(self, context: RequestContext, outcome: str) -> None:
        """Count an outcome, where there is a budget."""
        if self._find_ratio(context) and self._budget is not None:
            self._budget.count(outcome)

    def _find_ratio(self, context: RequestContext) -> float:
        own = context.rule.retry.hedge_ratio
        return self._ratio if own is None else own

    def _estimate_service_s(self, context: RequestContext) -> float:
        return self._router.estimate_service_s(
            context.group, context.rule.request_class
        )
