"""Share of the offered work that is admitted while a group is crowded."""

from __future__ import annotations

import math

# Requests per slot that the control aims for. Servers slow down when more than 0.8 of
# their slots are busy, and a request finds a free slot at once while some are left.
TARGET = 0.8
# Requests per slot above the target by which the control starts, and the same when
# other gateways have found the group crowded.
START_MARGIN = 0.12
INFORMED_START_MARGIN = 0.03
# Relative change of the admitted share per second and unit of deviation. A full group
# takes up to a second to drain, so a faster decrease admits too little afterwards.
DECREASE_GAIN = 2.0
INCREASE_GAIN = 4.0
# Relative change of the admitted share per unit of the present deviation, and bounds
# of this change. It corrects an excess at once.
PROPORTIONAL_GAIN = 1.5
MIN_PROPORTION, MAX_PROPORTION = 0.6, 1.6
MIN_SHARE = 0.05
# The control may admit less than the model of demand and slots by this factor, because
# servers may be slower than measured.
MODEL_FLOOR = 0.4
# Longest time between two updates that counts, in seconds.
MAX_STEP_S = 0.5
# Increase of the admitted share per second without fresh load reports.
BLIND_INCREASE = 0.5
# Time without requests in seconds after which a group is no longer crowded: it may have
# been removed, or its callers have left.
IDLE_S = 10.0


class CrowdingControl:
    """Controls the admitted share of the offered work by the load that servers report.

    Attributes
    ----------
    active : bool
        Whether the group is crowded.
    """

    def __init__(self) -> None:
        self.active = False
        self._share = 1.0
        self._deviation = 0.0
        self._updated = -math.inf

    @property
    def share(self) -> float:
        """Share of the offered work to admit, from `MIN_SHARE` to 1."""
        if not self.active:
            return 1.0
        proportion = 1 - PROPORTIONAL_GAIN * self._deviation
        proportion = min(MAX_PROPORTION, max(MIN_PROPORTION, proportion))
        return min(1.0, max(MIN_SHARE, self._share * proportion))

    def end_idle(self, now: float) -> bool:
        """End when there were no requests for `IDLE_S`; return whether it ends now."""
        if not self.active or now - self._updated <= IDLE_S:
            return False
        self.active = False
        return True

    def may_start(
        self, crowding: float | None, is_informed: bool, is_short: bool
    ) -> bool:
        """Tell whether the control is active, or starts at the given crowding.

        Full servers alone are no reason to start: while requests find slots in their
        callers' time, all of them are served.

        Parameters
        ----------
        crowding, is_informed, is_short
            As in `update`.
        """
        if self.active or crowding is None:
            return self.active
        if is_informed:
            return crowding > TARGET + INFORMED_START_MARGIN
        return is_short and crowding > TARGET + START_MARGIN

    def update(
        self,
        now: float,
        crowding: float | None,
        model_share: float | None,
        is_informed: bool = False,
        is_short: bool = False,
    ) -> None:
        """Adjust the admitted share.

        Parameters
        ----------
        now : float
            Present time, in seconds.
        crowding : float or None
            Requests per slot by fresh reports; None without fresh reports.
        model_share : float or None
            Capacity by slots divided by the offered work; None if that is unknown.
        is_informed : bool, default=False
            Whether other gateways have found a group crowded lately.
        is_short : bool, default=False
            Whether a request found no slot in its caller's time lately.
        """
        step_s = min(MAX_STEP_S, max(0.0, now - self._updated))
        self._updated = now
        if crowding is None:
            self._deviation = 0.0
            self._share = min(1.0, self._share + BLIND_INCREASE * step_s)
            self.active = self.active and self._share < 1.0
            return
        deviation = self._deviation = crowding - TARGET
        if not self.active:
            if not self.may_start(crowding, is_informed, is_short):
                return
            self.active = True
            self._share = 1.0 if model_share is None else min(1.0, model_share)
            return
        gain = DECREASE_GAIN if deviation > 0 else INCREASE_GAIN
        share = self._share * math.exp(-gain * deviation * step_s)
        floor = MODEL_FLOOR * min(1.0, model_share or 0.0)
        self._share = min(1.0, max(MIN_SHARE, floor, share))
        if self._share >= 1.0 and deviation < 0:
            self.active = False
