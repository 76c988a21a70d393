"""Servers that neither run nor refuse a request that finds them full."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event
from geraniumbend.routing._free_slot_finder import build_saturated_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.model import BackendServer
    from geraniumbend.routing._policies import SelectionContext
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

# A report up to this age, in seconds, tells whether a server may hang. A burst fills
# slots and queue of a server in some tenths of a second.
ROOM_REPORT_AGE_S = 0.1

declare_event(
    306,
    "server_hanging",
    "warning",
    "A request to a backend server got no byte for longer than its class explains.",
)


class HangingServers:
    """Leaves out servers that may hang, and records those that were found hanging.

    Parameters
    ----------
    timers : TimerService
        Clock.
    is_on : bool, default=False
        Whether servers may hang in place of refusing requests.
    announce_full : callable or None, default=None
        Tells the other gateways that a server is full.
    """

    def __init__(
        self,
        timers: TimerService,
        is_on: bool = False,
        announce_full: Callable[[BackendServer], None] | None = None,
    ) -> None:
        self.is_on = is_on
        self.reports = 0
        self._timers = timers
        self._announce_full = announce_full

    def may_hang(self, view: ServerView) -> bool:
        """Tell whether a server may have no room for another request.

        It has room if a report of the last `ROOM_REPORT_AGE_S` shows a free slot.
        """
        now = self._timers.now()
        is_recent = now - view.report_at <= ROOM_REPORT_AGE_S
        return not (is_recent and view.has_known_room(now))

    def report(self, view: ServerView, waited_s: float) -> None:
        """Count a server as full, here and on other gateways, until it reports again.

        Parameters
        ----------
        view : ServerView
            Server that sent no byte.
        waited_s : float
            Time for which a request waited, in seconds.
        """
        self.reports += 1
        log_event(306, server=view.server_id, waited_ms=round(waited_s * 1000))
        if not self.may_hang(view):
            return
        view.observe_full(self._timers.now())
        if self._announce_full is not None:
            self._announce_full(view.server)

    def list_with_room(
        self, members: list[ServerView], may_repeat: bool
    ) -> list[ServerView]:
        """Leave out servers that may be full while others have room.

        A request that must not be repeated goes to a server with a known free slot if
        there is one.
        """
        if not self.is_on:
            return members
        now = self._timers.now()
        if not may_repeat:
            free = [view for view in members if view.has_known_room(now)]
            if free:
                return free
        return [view for view in members if not view.is_full(now)] or members

    def exclude_busy(
        self,
        members: list[ServerView],
        context: SelectionContext,
        estimate_room: Callable[[], float],
    ) -> list[ServerView]:
        """Leave out servers whose slots are all busy by a recent report.

        `estimate_room` returns the time until the request would have a slot.

        Raises
        ------
        RefusedError
            If none is left. A server that has no room would hang.
        """
        if not self.is_on:
            return members
        unknown = [view for view in members if not view.is_known_busy(context.now)]
        if not unknown:
            raise build_saturated_refusal(context, estimate_room())
        return unknown
