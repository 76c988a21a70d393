"""Occasional requests to avoided servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.routing._policies import SelectionContext
    from geraniumbend.routing._server_views import ServerView

# A server whose expected cost is more than this many times the group's mean latency is
# avoided. Sampling would hardly choose it, so its recovery would go unnoticed; it gets
# trial requests instead.
AVOID_FACTOR = 3.0
# Seconds between trial requests of one gateway to one server. The period doubles with
# each failed trial up to MAX_TRIAL_PERIOD_S, and is an eighth of TRIAL_PERIOD_S after a
# successful one.
TRIAL_PERIOD_S = 2.0
MAX_TRIAL_PERIOD_S = 16.0
# Seconds between two checks of all servers of a group.
SCAN_PERIOD_S = 0.1

declare_event(
    300,
    "server_avoided",
    "warning",
    "A backend server is so slow or fails so often that it gets only trial requests.",
)
declare_event(
    301, "server_recovered", "info", "An avoided backend server gets traffic again."
)


class TrialRequests:
    """Sends occasional requests to avoided servers to detect their recovery."""

    def __init__(self) -> None:
        self._avoided: set[str] = set()
        self._next_scan: dict[str, float] = {}

    def find_due(
        self, group: str, members: list[ServerView], context: SelectionContext
    ) -> ServerView | None:
        """Return a server that is due for a trial request, or None.

        Also updates which servers of the group are avoided.
        """
        if context.now < self._next_scan.get(group, 0.0):
            return None
        self._next_scan[group] = context.now + SCAN_PERIOD_S
        for view in members:
            if _should_avoid(view, context):
                if view.server_id not in self._avoided:
                    self._avoided.add(view.server_id)
                    view.last_trial_at = context.now
                    view.trial_failures = 0
                    log_event(300, server=view.server_id, group=group)
                elif view.in_flight == 0 and context.now >= view.last_trial_at + min(
                    MAX_TRIAL_PERIOD_S, TRIAL_PERIOD_S * 2**view.trial_failures
                ):
                    view.last_trial_at = context.now
                    return view
            elif view.server_id in self._avoided:
                self._avoided.discard(view.server_id)
                log_event(301, server=view.server_id, group=group)
        return None

    def record_result(self, view: ServerView, failed: bool) -> None:
        """Update the trial period of a server after a request, if it is avoided."""
        if view.server_id not in self._avoided:
            return
        if failed:
            view.trial_failures = min(8, view.trial_failures + 1)
            return
        view.reduce_error_rate()
        view.trial_failures = -3


def _should_avoid(view: ServerView, context: SelectionContext) -> bool:
    latency_s = view.estimate_latency(
        context.request_class, context.now, context.mean_s, context.tail_s
    )
    errors = view.error_rate(context.now)
    cost_s = (1 - errors) * latency_s + errors * context.deadline_s
    return cost_s > AVOID_FACTOR * context.mean_s
