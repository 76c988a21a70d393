from __future__ import annotations

import math

from geraniumbend.admission._demand import DemandWindow

# Standard deviations that are taken off the estimate of demand, and how many more for
# an estimate from few requests. A gateway that sees ten long requests in the window
# would otherwise refuse some by chance; at a crest there are hundreds.
SURE_DEVIATIONS = 0.5
FEW_REQUESTS = 20.0
PERIOD_S = 0.1
# Queue wait as a share of the deadline at which the level is lowered or may be
# raised. Between the two, the backlog from the onset of a crest passes.
HIGH_WAIT = 0.6
LOW_WAIT = 0.15
# Reported utilization below which the level is raised. All gateways see about the
# same utilization, so their corrections stay close together.
LOW_UTILIZATION = 0.95
STEP = 0.005
# Below this utilization nothing is refused for its rank, whatever the estimate of
# demand says; a short burst may look like a crest in the first seconds.
IDLE_UTILIZATION = 0.7
LOWEST_CORRECTION = 0.5
HIGHEST_CORRECTION = 1.3
# The guard bounds the level of requests that belong to no open of a sheet. Gateways do
# not agree on it, so opens would be served in part if it ranked them.
# Reported utilization that the guard holds, how much it moves in a period for each
# unit of difference, and its bounds. A crest is over after a few seconds, so the guard
# halves what is admitted half a second after servers were filled twice.
GUARD_TARGET = 1.0
GUARD_GAIN = 0.15
LOWEST_GUARD = 0.3
HIGHEST_GUARD = 1.0


class AdmissionLevel:
    """Highest rank that is admitted, from capacity and offered work.

    The level is capacity divided by offered work, which all gateways compute alike
    from their own demand, times a correction that follows the queue delay and the
    utilization that the servers report.
    """

    def __init__(self) -> None:
        self.demand = DemandWindow()
        self.value = math.inf
        self.correction = 1.0
        self.guard = HIGHEST_GUARD
        self._updated = -math.inf
        self._wait = 0.0

    def choose(self, sheet: str) -> float:
        """Return the highest rank that is admitted.

        Parameters
        ----------
        sheet : str
            Identifier of the open of a sheet; empty when there is none.
        """
        if sheet or self.guard >= HIGHEST_GUARD:
            return self.value
        return min(self.value, self.guard)

    def observe_wait(self, waited_s: float, allowed_s: float) -> None:
        """Take the queue wait of one request and the time it had, in seconds."""
        share = min(1.0, waited_s / allowed_s) if allowed_s > 0 else 1.0
        self._wait += 0.1 * (share - self._wait)

    def is_due(self, now: float) -> bool:
        """Tell whether a period has passed since the last update."""
        return now - self._updated >= PERIOD_S

    def update(
        self,
        slots: float,
        utilization: float,
        running: int,
        now: float,
        robust_utilization: float = 0.0,
    ) -> float:
        """Compute the level anew.

        Parameters
        ----------
        slots : float
            Slots of the group that fall to this gateway.
        utilization : float
            Reported requests per slot of the group; 0 when unknown.
        running : int
            Requests of this gateway in flight.
        now : float
            Present time in seconds.
        crowding : float, default=0.0
            Requests per slot on most servers of the group; 0 when unknown.

        Returns
        -------
        float
            Ranks above it are refused; above 1 when demand is below capacity.
        """
        self._updated = now
        offered, deviation = self.demand.rate(now)
        if offered <= 0:
            self.value = math.inf
            self.correction = 1.0
            return self.value
        self._correct(utilization)
        noise = deviation / offered
        sure = 1.0 - (SURE_DEVIATIONS + FEW_REQUESTS * noise**2) * noise
        sure = offered * max(0.1, sure)
        self.value = slots * self.correction / sure
        busy = utilization if utilization > 0 else running / max(slots, 1.0)
        if busy < IDLE_UTILIZATION:
            self.value = max(1.0, self.value)
        self._guard(robust_utilization)
        return self.value

    def _guard(self, robust_utilization: float) -> None:
        """Follow the utilization that the servers report, whatever demand says."""
        if robust_utilization <= 0:
            self.guard = HIGHEST_GUARD
            return
        step = GUARD_GAIN * (GUARD_TARGET - robust_utilization)
        self.guard = min(HIGHEST_GUARD, max(LOWEST_GUARD, self.guard + step))

    def _correct(self, utilization: float) -> None:
        if self.value >= 1:
            self.correction += STEP * (1.0 - self.correction)
        elif self._wait > HIGH_WAIT:
            self.correction = max(LOWEST_CORRECTION, self.correction - STEP)
        elif self._wait < LOW_WAIT and 0 < utilization < LOW_UTILIZATION:
            self.correction = min(HIGHEST_CORRECTION, self.correction + STEP)
