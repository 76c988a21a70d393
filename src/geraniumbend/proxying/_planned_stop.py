"""Times of a planned stop of the gateway."""

from __future__ import annotations

import math

from geraniumbend.errors import RefusedError


class PlannedStop:
    """Time from the beginning of a planned stop until open requests are cut off.

    At first all requests are taken, since callers have not been moved to other gateways
    yet. Later only those are taken whose deadline comes before the end.
    """

    def __init__(self) -> None:
        self._callers_moved_s = math.inf
        self._end_s = math.inf

    def begin(self, now_s: float, move_s: float, duration_s: float) -> None:
        """Set the period.

        Parameters
        ----------
        now_s : float
            Reading of the timer service's clock.
        move_s : float
            Time until callers have been moved to other gateways, in seconds.
        duration_s : float
            Time until open requests are cut off, in seconds.
        """
        self._callers_moved_s = now_s + min(move_s, duration_s / 2)
        self._end_s = now_s + duration_s

    def check(self, now_s: float, deadline_s: float) -> None:
        """Refuse a request that the end of the process might cut off.

        Parameters
        ----------
        now_s : float
            Reading of the timer service's clock.
        deadline_s : float
            Reading at which the response is due.

        Raises
        ------
        RefusedError
            If the deadline comes after the end; the request was not run.
        """
        if now_s >= self._callers_moved_s and deadline_s > self._end_s:
            raise RefusedError(
                "this gateway stops before the deadline of the request",
                "send it again at once; another gateway takes it",
                kind="stopping",
                retry_after_s=0.0,
            )
