"""Highest shedding rank that is admitted."""

from __future__ import annotations

import math

from geraniumbend.admission._demand import DemandWindow

# Standard deviations that are subtracted from the demand estimate, and factor by which
# more are subtracted for small samples. A gateway that sees ten long requests in the
# window would otherwise refuse some by chance; under overload it sees hundreds.
CONFIDENCE_DEVIATIONS = 0.5
SMALL_SAMPLE_FACTOR = 20.0
UPDATE_PERIOD_S = 0.1
# Queue wait, as a share of the time until the deadline, above which the threshold is
# lowered and below which it may be raised. Between the two it stays unchanged while the
# backlog from the onset of an overload drains.
HIGH_WAIT_SHARE = 0.6
LOW_WAIT_SHARE = 0.15
# Reported utilization below which the threshold may be raised. All gateways see about
# the same utilization, so their corrections stay close together.
LOW_UTILIZATION = 0.95
CORRECTION_STEP = 0.005
# Below this utilization no request is refused for its rank, whatever the demand
# estimate is, because a short burst may look like an overload in its first seconds.
NO_SHEDDING_UTILIZATION = 0.7
MIN_CORRECTION = 0.5
MAX_CORRECTION = 1.3
# The utilization cap bounds the threshold for requests that belong to no sheet open. It
# differs between gateways, so applying it to sheet opens would leave them incomplete.
# The constants are the robust utilization that the cap aims for, the change of the cap
# in one update period per unit of deviation, and its bounds. An overload lasts only a
# few seconds, so the cap halves the admitted requests within half a second when servers
# report twice as many requests as slots.
CAP_TARGET = 1.0
CAP_GAIN = 0.15
MIN_CAP = 0.3
MAX_CAP = 1.0


class AdmissionThreshold:
    """Computes the highest shedding rank that is admitted.

    The threshold is this gateway's capacity divided by the offered work, which gives
    about the same value on all gateways, times a correction that follows the queue wait
    and the utilization that the servers report.
    """

    def __init__(self) -> None:
        self.demand = DemandWindow()
        self.value = math.inf
        self.correction = 1.0
        self.utilization_cap = MAX_CAP
        self._updated = -math.inf
        self._mean_wait_share = 0.0

    def value_for(self, sheet: str) -> float:
        """Return the admission threshold for a request.

        Parameters
        ----------
        sheet : str
            Identifier of the sheet open; empty when the request belongs to none, in
            which case the utilization cap applies.
        """
        if sheet or self.utilization_cap >= MAX_CAP:
            return self.value
        return min(self.value, self.utilization_cap)

    def observe_wait(self, waited_s: float, allowed_s: float) -> None:
        """Record the queue wait of a request and its maximum wait, in seconds."""
        share = min(1.0, waited_s / allowed_s) if allowed_s > 0 else 1.0
        self._mean_wait_share += 0.1 * (share - self._mean_wait_share)

    def is_due(self, now: float) -> bool:
        """Tell whether an update period has passed since the last update."""
        return now - self._updated >= UPDATE_PERIOD_S

    def update(
        self,
        slots: float,
        utilization: float,
        running: int,
        now: float,
        robust_utilization: float = 0.0,
    ) -> float:
        """Recompute the threshold.

        Parameters
        ----------
        slots : float
            This gateway's share of the slots of the pool.
        utilization : float
            Mean reported requests per slot of the group; 0 when unknown.
        running : int
            Requests of this gateway in flight in the pool.
        now : float
            Current time, in seconds.
        robust_utilization : float, default=0.0
            Reported requests per slot on most servers of the group; 0 when unknown.

        Returns
        -------
        float
            The threshold without the utilization cap; above 1 when demand is below
            capacity.
        """
        self._updated = now
        offered, deviation = self.demand.rate(now)
        if offered <= 0:
            self.value = math.inf
            self.correction = 1.0
            return self.value
        self._update_correction(utilization)
        relative_deviation = deviation / offered
        lower_bound = (
            1.0
            - (CONFIDENCE_DEVIATIONS + SMALL_SAMPLE_FACTOR * relative_deviation**2)
            * relative_deviation
        )
        lower_bound = offered * max(0.1, lower_bound)
        self.value = slots * self.correction / lower_bound
        current_utilization = (
            utilization if utilization > 0 else running / max(slots, 1.0)
        )
        if current_utilization < NO_SHEDDING_UTILIZATION:
            self.value = max(1.0, self.value)
        self._update_cap(robust_utilization)
        return self.value

    def _update_cap(self, robust_utilization: float) -> None:
        """Move the cap by the deviation of the robust utilization from its target."""
        if robust_utilization <= 0:
            self.utilization_cap = MAX_CAP
            return
        step = CAP_GAIN * (CAP_TARGET - robust_utilization)
        self.utilization_cap = min(MAX_CAP, max(MIN_CAP, self.utilization_cap + step))

    def _update_correction(self, utilization: float) -> None:
        """Move the correction by queue wait and utilization, or back towards 1."""
        if self.value >= 1:
            self.correction += CORRECTION_STEP * (1.0 - self.correction)
        elif self._mean_wait_share > HIGH_WAIT_SHARE:
            self.correction = max(MIN_CORRECTION, self.correction - CORRECTION_STEP)
        elif (
            self._mean_wait_share < LOW_WAIT_SHARE and 0 < utilization < LOW_UTILIZATION
        ):
            self.correction = min(MAX_CORRECTION, self.correction + CORRECTION_STEP)
