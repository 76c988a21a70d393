"""Permits that a gateway holds for one limited server."""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    import asyncio

    from geraniumbend.timers import TimerService

# Period in seconds in which the sends to a limited server are logged.
SENDS_LOG_PERIOD_S = 4.0
REFUSED = "refused"
# Steps by which the limit of a server that has warmed up is raised before it ends:
# length in seconds, and factor on the rate of the cold server. A server that is late
# to warm up is not met by the requests of all gateways at once.
WARM_STEPS = ((0.5, 2.0),)
WARM_STEPS_S = sum(length_s for length_s, _ in WARM_STEPS)

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


class Warmup(NamedTuple):
    """Statement that a server is cold.

    Parameters
    ----------
    per_s : float
        Requests a second that it takes from all gateways together while it is cold.
    warm_at : float
        Reading of the clock when it will be warm.
    stated_at : float
        Reading of the clock at the statement. A later statement replaces it.
    is_exact : bool
        Whether the time of the statement is exact, since a health response made it. An
        announcement reaches each gateway at another time.
    """

    per_s: float
    warm_at: float
    stated_at: float
    is_exact: bool

    def read_limit(self, now: float) -> float:
        """Return the limit in requests a second; infinite when it has ended."""
        end = self.warm_at
        if now < end:
            return self.per_s
        for length_s, factor in WARM_STEPS:
            end += length_s
            if now < end:
                return factor * self.per_s
        return math.inf


class LimitedServer:
    """A server that names a limit or is cold, and this gateway's permits for it.

    Parameters
    ----------
    server_id : str
        Backend server.
    incarnation : int
        Incarnation that the limit belongs to.
    per_s : float or None
        Limit that the server names, in requests a second; None if it names none.
    timers : TimerService
        Clock.

    Attributes
    ----------
    named_per_s : float or None
        Limit that the server names, in requests a second.
    warmup : Warmup or None
        Last statement that the server is cold.
    known_since, confirmed_at, heard_at : float
        Readings of the clock when the named limit became known, when it was last
        confirmed by anybody, and when the server itself last named it to this gateway.
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
        self,
        server_id: str,
        incarnation: int,
        per_s: float | None,
        timers: TimerService,
    ) -> None:
        now = timers.now()
        self._server_id = server_id
        self._timers = timers
        self.incarnation = incarnation
        self.named_per_s = per_s
        self.warmup: Warmup | None = None
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

    @property
    def per_s(self) -> float:
        """Limit in force, in requests a second: the lower of the two."""
        named = math.inf if self.named_per_s is None else self.named_per_s
        if self.warmup is None:
            return named
        return min(named, self.warmup.read_limit(self._timers.now()))

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold or its limit is still raised in steps."""
        warmup = self.warmup
        if warmup is None:
            return False
        return self._timers.now() < warmup.warm_at + WARM_STEPS_S

    @property
    def has_ended(self) -> bool:
        """Whether no limit is in force any more."""
        return self.named_per_s is None and not self.is_cold

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

    def change_limit(self, per_s: float | None) -> None:
        """Set another named limit; a lower one voids the permits of the earlier one."""
        before = self.per_s
        if self.named_per_s is None:
            self.known_since = self._timers.now()
        self.named_per_s = per_s
        if self.per_s < before:
            self._permits.clear()

    def change_warmup(self, warmup: Warmup | None) -> None:
        """Set or end the warm-up; a lower limit voids the permits at hand."""
        before = self.per_s
        self.warmup = warmup
        if self.per_s < before:
            self._permits.clear()

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
        cold_s = 0.0
        if self.warmup is not None:
            cold_s = max(0.0, self.warmup.warm_at - self._timers.now())
        return {
            "limit": self.per_s if self.per_s < math.inf else None,
            "named_limit": self.named_per_s,
            "cold_s": round(cold_s, 3),
            "heard_s_ago": round(heard_s_ago, 3) if heard_s_ago < math.inf else None,
            "permits": self.count_permits(),
            "requests": dict(self.totals),
        }
