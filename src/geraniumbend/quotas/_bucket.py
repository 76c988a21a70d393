"""Token bucket that one allocator keeps for a tenant."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Requests that a new bucket holds where one allocator serves all gateways.
INITIAL_TOKENS = 3.0
# A bucket below this part of its capacity restricts its tenant. A tenant that jumps
# from 0.6 to 4.4 times its rate R then uses 3.4 R x reaction time beyond its rate while
# 0.6 of the burst is left; the bound's slack is 0.5 R + a tenth of the burst + 20.
RESTRICT_BELOW = 0.6
# A small bucket restricts its tenant earlier, when it holds less than this many seconds
# of the rate, but not before it has fallen below `RESTRICT_AT_MOST` of its capacity.
REACTION_S = 0.25
RESTRICT_AT_MOST = 0.8
# Shortest time for which a tenant stays restricted, in seconds.
MIN_RESTRICTED_S = 1.0
# Largest debt, in seconds of the rate. Older debt belongs to windows of 5 s that have
# ended.
MAX_DEBT_S = 5.0
# A new bucket may stand beside that of a former allocator until all gateways know
# the new one. It begins without the tokens of this time, in seconds, except for the
# first `TAKEOVER_TOKENS`, which the bound allows beside rate and burst.
TAKEOVER_S = 0.25
TAKEOVER_TOKENS = 5.0
# Requests for permits that are invited for each grant, and grants a second. With fewer
# requests, permits would stay unused while the gateways that may ask need none.
REQUESTS_PER_GRANT = 2.5
GRANTS_PER_S = 20.0
MAX_HOLD_OFF_S = 1.0
# Time in seconds over which refused requests are counted.
MEMORY_S = 1.0


class QuotaBucket:
    """Token bucket of one allocator; it may be in debt.

    Parameters
    ----------
    now : float
        Reading of the clock.
    rate_per_s, capacity : float
        Requests a second, and tokens at most.
    rng : random.Random
        Spreads the times at which gateways ask again.
    part : float, default=1.0
        Part of the gateways that this allocator serves. In a cut with many sides, each
        has new buckets; below one token a bucket begins with a random part of one, so
        that all together admit their rates on average.

    Attributes
    ----------
    level : float
        Requests that may be admitted now; negative in debt.
    restricted : bool
        Whether requests need permits.
    """

    def __init__(
        self,
        now: float,
        rate_per_s: float,
        capacity: float,
        rng: random.Random,
        part: float = 1.0,
    ) -> None:
        self._rng = rng
        self._refilled_at = now
        self._ready_at = -math.inf
        self._restricted_at = now
        self._refused = 0.0
        self._askers: dict[str, float] = {}
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        withheld = max(0.0, TAKEOVER_S * rate_per_s - TAKEOVER_TOKENS)
        tokens = INITIAL_TOKENS * part
        if tokens < 1.0:
            tokens = rng.random()
        self.level = min(self.capacity, tokens) - withheld
        self.restricted = True

    def refill(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Add the tokens of the time since the last call, at a rate that may change."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._refused *= math.exp(-elapsed_s / MEMORY_S)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        # A debt of an earlier, higher rate would outlast the windows that it is for.
        level = max(self.level, -self._find_max_debt())
        self.level = min(self.capacity, level + elapsed_s * rate_per_s)
        if self.restricted and now - self._restricted_at >= MIN_RESTRICTED_S:
            low = self._find_low_level()
            self.restricted = self.level < (low + self.capacity) / 2

    def use(self, now: float, count: int) -> bool:
        """Take tokens, also into debt; return whether this restricts the tenant.

        Parameters
        ----------
        now : float
            Reading of the clock.
        count : int
            Requests admitted without a permit; negative if more were refunded.
        """
        level = max(self.level - count, -self._find_max_debt())
        self.level = min(self.capacity, level)
        if self.restricted or self.level >= self._find_low_level():
            return False
        self.restricted = True
        self._restricted_at = now
        return True

    def grant(self, now: float, node: str, wanted: int) -> int:
        """Return the number of permits that a gateway gets."""
        self._askers.pop(node, None)
        self._askers[node] = now
        if now < self._ready_at:
            return 0
        count = max(0, min(wanted, math.floor(self.level + 1e-9)))
        self.level -= count
        return count

    def count_refused(self, count: int) -> None:
        """Count requests that were refused or got no permit."""
        self._refused += count

    def find_hold_off_s(self, now: float) -> float:
        """Return the time after which a gateway may ask again, in seconds."""
        if now < self._ready_at:
            return self._ready_at - now
        interval_s = 1 / self.rate_per_s
        grant_s = max(interval_s, 1 / GRANTS_PER_S)
        askers = min(self._count_askers(now), math.ceil(self._refused))
        spread_s = 2 * askers * grant_s / REQUESTS_PER_GRANT
        due_s = max(0.0, 1 - self.level) * interval_s
        return min(due_s + self._rng.uniform(0.0, spread_s), MAX_HOLD_OFF_S)

    def estimate_wait_s(self) -> float:
        """Return when the requests refused lately would have been admitted."""
        return (max(0.0, 1 - self.level) + self._refused) / self.rate_per_s

    def settle(self, now: float, ready_at: float) -> None:
        """Begin without tokens, since another gateway may have granted meanwhile.

        Parameters
        ----------
        now : float
            Reading of the clock, of the last `refill`.
        ready_at : float
            Reading before which nothing is granted. Tokens are added from then on.
        """
        tokens = max(0.0, now - ready_at) * self.rate_per_s
        self.level = min(self.capacity, min(self.level, 0.0) + tokens)
        self.restricted = True
        self._ready_at = ready_at

    def _find_max_debt(self) -> float:
        return max(MAX_DEBT_S * self.rate_per_s, 1.0)

    def _find_low_level(self) -> float:
        low = max(RESTRICT_BELOW * self.capacity, REACTION_S * self.rate_per_s)
        return min(low, RESTRICT_AT_MOST * self.capacity)

    def _count_askers(self, now: float) -> int:
        while self._askers:
            node, asked_at = next(iter(self._askers.items()))
            if now - asked_at <= MEMORY_S:
                break
            del self._askers[node]
        return len(self._askers)
