"""Rate-limited log lines about single requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.proxying._attempt import Attempt
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.routing import ServerView
    from geraniumbend.timers import TimerService

# Lines per second for requests that succeeded in time at the first attempt; further
# ones are only counted.
SAMPLED_LINES_PER_S = 5.0
# Lines per second for refusals, retries, hedges, failures and late responses. The limit
# is high because operators search for these by request id.
MAX_NOTABLE_LINES_PER_S = 300.0
# Capacity of a token bucket, in seconds of its rate.
BURST_S = 2.0

declare_event(
    210, "request_refused", "info", "A caller's request was refused or timed out."
)
declare_event(
    212,
    "request_answered",
    "info",
    "A request got a response; of those in time at the first attempt only a sample.",
)
declare_event(
    213,
    "attempt_failed",
    "info",
    "An attempt got no usable response; run tells whether the request may have run.",
)
declare_event(
    214,
    "attempt_started",
    "info",
    "A retry or hedge starts; with the load of the chosen server as far as known.",
)
declare_event(
    215, "caller_left", "info", "The caller disconnected before the response."
)


class _TokenBucket:
    """Limit on log lines per second that counts the lines it skipped."""

    __slots__ = ("limit", "skipped", "tokens", "updated")

    def __init__(self, per_s: float) -> None:
        self.limit = per_s
        self.tokens = per_s * BURST_S
        self.updated = 0.0
        self.skipped = 0

    def try_take(self, now: float) -> bool:
        refilled = (now - self.updated) * self.limit
        self.tokens = min(self.limit * BURST_S, self.tokens + refilled)
        self.updated = now
        if self.tokens < 1:
            self.skipped += 1
            return False
        self.tokens -= 1
        return True


class RequestLog:
    """Writes log lines about single requests, limited in number per second.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._ordinary = _TokenBucket(SAMPLED_LINES_PER_S)
        self._notable = _TokenBucket(MAX_NOTABLE_LINES_PER_S)

    def log_response(self, ordinary: bool, **fields: object) -> None:
        """Log the response to a request.

        `ordinary` marks one that succeeded in time at the first attempt; of these only
        a sample is logged.
        """
        if self._may_log(self._ordinary if ordinary else self._notable, fields):
            log_event(212, **fields)

    def log_refusal(self, **fields: object) -> None:
        """Log that a request was refused or timed out."""
        if self._may_log(self._notable, fields):
            log_event(210, **fields)

    def log_failure(self, **fields: object) -> None:
        """Log that an attempt failed."""
        if self._may_log(self._notable, fields):
            log_event(213, **fields)

    def log_caller_left(self, **fields: object) -> None:
        """Log that a caller disconnected before its response."""
        if self._may_log(self._notable, fields):
            log_event(215, **fields)

    def log_attempt(
        self, context: RequestContext, attempt: Attempt, reason: str
    ) -> None:
        """Log why a retry or hedge starts, with the known load of its server."""
        now = self._timers.now()
        fields: dict[str, object] = {
            "request_id": context.request.request_id,
            "attempt": context.attempts,
            "reason": reason,
            "server": attempt.view.server_id,
            "server_incarnation": attempt.view.server.incarnation,
            "left_ms": round((context.deadline_s - now) * 1000),
            **context.choice_details,
        }
        if self._may_log(self._notable, fields):
            log_event(214, **fields)

    def _may_log(self, budget: _TokenBucket, fields: dict[str, object]) -> bool:
        """Tell whether a line is within its rate; add the number of skipped ones."""
        if not budget.try_take(self._timers.now()):
            return False
        if budget.skipped:
            fields["skipped_before"], budget.skipped = budget.skipped, 0
        return True


def describe_choice(view: ServerView, now: float) -> dict[str, object]:
    """Return log fields with the known load of a chosen server and its age."""
    fields: dict[str, object] = {"own_in_flight": view.in_flight}
    if view.report is not None:
        fields["reported_in_flight"] = view.report.in_flight
        fields["slowdown"] = view.report.slowdown
        fields["report_age_ms"] = round((now - view.report_at) * 1000)
    return fields
