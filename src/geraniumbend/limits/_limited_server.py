"""Permits that a gateway holds for one limited server."""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    import asyncio

    from geraniumbend.timers import TimerService

# Period in seconds in which the sends to a limited server are logged.
SENDS_LOG_PERIOD_S = 4.0
REFUSED = "refused"

declare_event(
    313,
    "limited_server_sends",
    "info",
    "What this gateway sent to a backend server while it names a limit, by kind.",
)


class Permit:
    """Permission to send one request to a limited server.

    Parameters
    ----------
    expires_at : float
        Reading of the timer service's clock after which it is void.
    """

    __slots__ = ("expires_at",)

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at


class LimitedServer:
    """A server that names a limit, and the permits that this gateway holds for it.

    Parameters
    ----------
    server_id : str
        Backend server.
    incarnation : int
        Incarnation that the limit belongs to.
    per_s : float
        Limit in requests a second.
    timers : TimerService
        Clock.

    Attributes
    ----------
    known_since, confirmed_at, heard_at : float
        Readings of the clock when the limit became known, when it was last confirmed by
        anybody, and when the server itself last responded to this gateway.
    announced : bool
        Whether the directory of servers has listed the server since.
    permits_granted : int
        Permits of the last grant.
    has_expired : bool
        Whether a permit expired unused since the last request for permits.
    hold_until : float
        Reading before which the allocator wants no further request.
    request_number : int
        Number of the request that waits for an answer, 0 without one.
    requested_at : float
        Reading at the last request for permits.
    answer : asyncio.Future or None
        Done when the last request was answered.
    totals : Counter of str
        Requests sent by kind, and those refused because of the limit.
    """

    def __init__(
        self, server_id: str, incarnation: int, per_s: float, timers: TimerService
    ) -> None:
        now = timers.now()
        self._server_id = server_id
        self._timers = timers
        self.incarnation = incarnation
        self.per_s = per_s
        self.known_since = now
        self.confirmed_at = now
        self.heard_at = -math.inf
        self.announced = False
        self.permits_granted = 0
        self.has_expired = False
        self.hold_until = -math.inf
        self.request_number = 0
        self.requested_at = -math.inf
        self.answer: asyncio.Future[None] | None = None
        self.totals: Counter[str] = Counter()
        self._permits: deque[Permit] = deque()
        self._logged_at = now
        self._logged_totals: Counter[str] = Counter()

    def count_permits(self) -> int:
        """Return the number of permits that can be used now."""
        now = self._timers.now()
        while self._permits and self._permits[0].expires_at <= now:
            self._permits.popleft()
            self.has_expired = True
        return len(self._permits)

    def add_permits(self, count: int, expires_at: float) -> None:
        """Store granted permits."""
        self._permits.extend(Permit(expires_at) for _ in range(count))
        self.permits_granted = count

    def change_limit(self, per_s: float) -> None:
        """Set another limit; a lower one voids the permits of the earlier one."""
        if per_s < self.per_s:
            self._permits.clear()
        self.per_s = per_s

    def take_permit(self) -> Permit | None:
        """Return a permit, None if there is none."""
        return self._permits.popleft() if self.count_permits() else None

    def return_permit(self, permit: Permit) -> None:
        """Store an unused permit again."""
        if permit.expires_at > self._timers.now():
            self._permits.appendleft(permit)

    def is_waiting(self) -> bool:
        """Tell whether a request for permits has no answer yet."""
        return self.answer is not None and not self.answer.done()

    def end_wait(self) -> None:
        """Wake the callers' requests that wait for the answer."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(None)

    def count(self, kind: str) -> None:
        """Count a request that was sent or refused; log the counts periodically."""
        self.totals[kind] += 1
        elapsed_s = self._timers.now() - self._logged_at
        if elapsed_s < SENDS_LOG_PERIOD_S:
            return
        counts = self.totals - self._logged_totals
        log_event(
            313,
            server=self._server_id,
            limit=self.per_s,
            seconds=round(elapsed_s, 3),
            **counts,
        )
        self._logged_at = self._timers.now()
        self._logged_totals = self.totals.copy()

    def dump(self) -> dict[str, Any]:
        """Return limit, permits and counts, for operators."""
        heard_s_ago = self._timers.now() - self.heard_at
        return {
            "limit": self.per_s,
            "heard_s_ago": round(heard_s_ago, 3) if heard_s_ago < math.inf else None,
            "permits": self.count_permits(),
            "requests": dict(self.totals),
        }
