from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.routing._policies import Choice
    from geraniumbend.routing._views import ServerView

# A server that looks this many times worse than the group's mean gets trial requests
# only, because sampling would never choose it and nothing would show its recovery.
TRIAL_FACTOR = 3.0
# Seconds between trial requests of one gateway to one server; doubled with each
# failed trial up to the limit, and an eighth of it after a successful one.
TRIAL_PERIOD_S = 2.0
TRIAL_LIMIT_S = 16.0
# Seconds between two reviews of a group.
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


class Trials:
    """Trial requests to servers that looked bad, so that their recovery shows."""

    def __init__(self) -> None:
        self._avoided: set[str] = set()
        self._next_scan: dict[str, float] = {}

    def find(
        self, group: str, members: list[ServerView], choice: Choice
    ) -> ServerView | None:
        """Return a server that is due for a trial request, None if there is none."""
        if choice.now < self._next_scan.get(group, 0.0):
            return None
        self._next_scan[group] = choice.now + SCAN_PERIOD_S
        for view in members:
            if _is_avoidable(view, choice):
                if view.server_id not in self._avoided:
                    self._avoided.add(view.server_id)
                    view.trial_at = choice.now
                    view.trial_failures = 0
                    log_event(300, server=view.server_id, group=group)
                elif view.in_flight == 0 and choice.now >= view.trial_at + min(
                    TRIAL_LIMIT_S, TRIAL_PERIOD_S * 2**view.trial_failures
                ):
                    view.trial_at = choice.now
                    return view
            elif view.server_id in self._avoided:
                self._avoided.discard(view.server_id)
                log_event(301, server=view.server_id, group=group)
        return None

    def finish(self, view: ServerView, failed: bool) -> None:
        """Learn from the end of a request to an avoided server."""
        if view.server_id not in self._avoided:
            return
        if failed:
            view.trial_failures = min(8, view.trial_failures + 1)
            return
        view.forgive()
        view.trial_failures = -3


def _is_avoidable(view: ServerView, choice: Choice) -> bool:
    latency_s = view.estimate_latency(
        choice.request_class, choice.now, choice.mean_s, choice.tail_s
    )
    errors = view.error_rate(choice.now)
    cost_s = (1 - errors) * latency_s + errors * choice.deadline_s
    return cost_s > TRIAL_FACTOR * choice.mean_s
