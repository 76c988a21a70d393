from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.proxying._attempts import Attempt
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.routing import ServerView
    from geraniumbend.timers import TimerService

# Lines a second for requests that took the ordinary way; the others are counted.
ORDINARY_PER_S = 5.0
# Lines a second for refusals, repeated attempts and failures, which an operator looks
# for by the request's id.
NOTABLE_PER_S = 300.0
BURST_S = 2.0

declare_event(
    210, "request_refused", "info", "A caller's request was refused or given up."
)
declare_event(
    212,
    "request_answered",
    "info",
    "A request got a backend server's answer; one attempt in time is logged by sample.",
)
declare_event(
    213,
    "attempt_failed",
    "info",
    "A backend server did not answer properly; run tells whether it may have run.",
)
declare_event(
    214,
    "attempt_started",
    "info",
    "A request is sent once more; with what is known of the chosen server.",
)
declare_event(215, "caller_left", "info", "The caller went away before its answer.")


class _Budget:
    __slots__ = ("limit", "skipped", "tokens", "updated")

    def __init__(self, per_s: float) -> None:
        self.limit = per_s
        self.tokens = per_s * BURST_S
        self.updated = 0.0
        self.skipped = 0

    def take(self, now: float) -> bool:
        earned = (now - self.updated) * self.limit
        self.tokens = min(self.limit * BURST_S, self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            self.skipped += 1
            return False
        self.tokens -= 1
        return True


class RequestLog:
    """Writes one line for each decision about a request, bounded a second.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._ordinary = _Budget(ORDINARY_PER_S)
        self._notable = _Budget(NOTABLE_PER_S)

    def log_answer(self, ordinary: bool, **fields: object) -> None:
        """Write how a request was answered; the ordinary case by sample."""
        if self._may_log(self._ordinary if ordinary else self._notable, fields):
            log_event(212, **fields)

    def log_refusal(self, **fields: object) -> None:
        """Write that a request was refused or given up."""
        if self._may_log(self._notable, fields):
            log_event(210, **fields)

    def log_failure(self, **fields: object) -> None:
        """Write that an attempt failed."""
        if self._may_log(self._notable, fields):
            log_event(213, **fields)

    def log_departure(self, **fields: object) -> None:
        """Write that a caller went away."""
        if self._may_log(self._notable, fields):
            log_event(215, **fields)

    def log_attempt(
        self, context: RequestContext, attempt: Attempt, reason: str
    ) -> None:
        """Write why a request is sent once more, and what is known of the server."""
        now = self._timers.now()
        fields: dict[str, object] = {
            "request_id": context.request.request_id,
            "attempt": context.attempts,
            "reason": reason,
            "server": attempt.view.server_id,
            "server_incarnation": attempt.view.server.incarnation,
            "left_ms": round((context.deadline_s - now) * 1000),
            **context.evidence,
        }
        if self._may_log(self._notable, fields):
            log_event(214, **fields)

    def _may_log(self, budget: _Budget, fields: dict[str, object]) -> bool:
        """Tell whether a line fits into its budget; adds how many did not."""
        if not budget.take(self._timers.now()):
            return False
        if budget.skipped:
            fields["skipped_before"], budget.skipped = budget.skipped, 0
        return True


def describe_choice(view: ServerView, now: float) -> dict[str, object]:
    """Return what was known of a backend server when it was chosen, with its age."""
    fields: dict[str, object] = {"own_in_flight": view.in_flight}
    if view.report is not None:
        fields["reported_in_flight"] = view.report.in_flight
        fields["slowdown"] = view.report.slowdown
        fields["report_age_ms"] = round((now - view.report_at) * 1000)
    return fields
