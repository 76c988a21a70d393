"""Allocation of the permits of one server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from geraniumbend.timers import TimerService

# Lowest rate at which permits are granted, also for a limit of 0: without a request now
# and then nobody would hear that the server has raised or withdrawn its limit.
MIN_RATE_PER_S = 0.25
# Time for which nothing is granted after the live gateways have changed or this process
# was paused, in seconds: another gateway may still grant the permits of the server.
SETTLE_S = 1.0
# Burst that the pacing tolerates: this many permits or one grant, but not more than the
# limit allows in `MAX_TOLERANCE_S` seconds unless one permit takes longer.
TOLERATED_PERMITS = 2.0
MAX_TOLERANCE_S = 0.5
# Highest rate of grants for one server. A server with a high limit gets several permits
# in one grant, so that messages do not grow with the limit.
GRANTS_PER_S = 20.0
# Requests for permits that are invited per grant. With fewer, permits would stay
# unused while the gateways that may ask have no request to send.
REQUESTS_PER_GRANT = 2.5
# Time for which a gateway that asked for permits is expected to ask again, in seconds.
ASKER_MEMORY_S = 10.0


class Grant(NamedTuple):
    """Permits for one gateway.

    Parameters
    ----------
    permits : int
        Number of permits.
    hold_off_s : float
        Time after which the gateway may ask again, in seconds.
    """

    permits: int
    hold_off_s: float


class PermitAllocator:
    """Grants the permits of one backend server at the rate of its limit.

    The pacing is the generic cell rate algorithm: permits are due one interval apart,
    and may be granted early by the tolerated burst.

    Parameters
    ----------
    timers : TimerService
        Clock.
    rng : random.Random
        Spreads the times at which gateways ask again.
    ready_at : float, default=-inf
        Reading of the clock before which nothing is granted.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        ready_at: float = -math.inf,
    ) -> None:
        self._timers = timers
        self._rng = rng
        self._ready_at = ready_at
        self._due_at = max(timers.now(), ready_at)
        self._askers: dict[str, float] = {}
        self.granted = 0

    def settle(self) -> None:
        """Grant nothing for `SETTLE_S`, since another node may have granted."""
        self._ready_at = self._timers.now() + SETTLE_S
        self._due_at = max(self._due_at, self._ready_at)

    def grant(self, node: str, wanted: int, rate_per_s: float) -> Grant:
        """Grant up to the wanted number of permits.

        Parameters
        ----------
        node : str
            Gateway that asks.
        wanted : int
            Permits wanted, at least 1.
        rate_per_s : float
            Permits a second for all gateways that ask here.

        Returns
        -------
        Grant
            Permits, and when the gateway may ask again.
        """
        now = self._timers.now()
        self._askers.pop(node, None)
        self._askers[node] = now
        if now < self._ready_at:
            return Grant(0, self._ready_at - now)
        rate = max(rate_per_s, MIN_RATE_PER_S)
        interval_s = 1 / rate
        batch = max(1, math.ceil(rate / GRANTS_PER_S))
        tolerated = max(TOLERATED_PERMITS, batch)
        tolerance_s = min(tolerated * interval_s, MAX_TOLERANCE_S)
        self._due_at = max(self._due_at, now)
        early_s = now + tolerance_s - self._due_at
        # The small term keeps rounding errors from delaying a permit that is due.
        available = math.floor(early_s / interval_s + 1e-9) + 1 if early_s >= 0 else 0
        count = max(0, min(wanted, available, batch))
        self._due_at += count * interval_s
        self.granted += count
        if count:
            return Grant(count, 0.0)
        batch_s = batch * interval_s
        spread_s = 2 * self._count_askers(now) * batch_s / REQUESTS_PER_GRANT
        return Grant(0, max(0.0, -early_s) + self._rng.uniform(0, spread_s))

    def _count_askers(self, now: float) -> int:
        while True:
            node, asked_at = next(iter(self._askers.items()))
            if now - asked_at <= ASKER_MEMORY_S:
                return len(self._askers)
            del self._askers[node]
