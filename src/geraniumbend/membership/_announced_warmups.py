"""Announced warm-ups of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.model import BackendServer
    from geraniumbend.timers import TimerService

# Change of the time at which a server will be warm, in seconds, up to which its record
# stays as it is. A cold server announces another remaining time with each heartbeat;
# without this, each of them would be a change that all gateways must learn.
TOLERANCE_S = 0.25


class _Recorded(NamedTuple):
    incarnation: int
    left_s: float
    warm_at: float


class AnnouncedWarmups:
    """Decides which remaining warm-up the record of a backend server carries.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._recorded: dict[str, _Recorded] = {}
        self._are_used: Callable[[], bool] = lambda: False

    def set_condition(self, are_used: Callable[[], bool]) -> None:
        """Set the function that tells whether the gateways use warm-ups."""
        self._are_used = are_used

    def settle(self, server: BackendServer) -> BackendServer:
        """Return a server as it is recorded.

        Parameters
        ----------
        server : BackendServer
            Server as it announced itself.

        Returns
        -------
        BackendServer
            The server with the remaining time of the record in force, if the time at
            which it will be warm is nearly the same; without one if it is warm or the
            gateways use no warm-ups.
        """
        server_id, left_s = server.server_id, server.warmup_left_s
        if left_s <= 0 or not self._are_used():
            self._recorded.pop(server_id, None)
            return server._replace(warmup_left_s=0.0) if left_s else server
        warm_at = self._timers.now() + left_s
        known = self._recorded.get(server_id)
        if known is not None and known.incarnation == server.incarnation:
            if abs(known.warm_at - warm_at) <= TOLERANCE_S:
                return server._replace(warmup_left_s=known.left_s)
            if round(known.left_s, 3) == round(left_s, 3):
                # The same remaining time as in the record in force, but stated later.
                left_s += 0.001
        left_s = round(left_s, 3)
        self._recorded[server_id] = _Recorded(server.incarnation, left_s, warm_at)
        return server._replace(warmup_left_s=left_s)
