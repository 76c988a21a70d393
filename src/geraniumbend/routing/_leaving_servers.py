"""Backend servers that state in their responses that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.model import BackendServer
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

# A changed announcement that arrives within this time of a response with the field, in
# seconds, may have been sent before it: gossip takes up to a second.
ORDER_UNKNOWN_S = 2.0
# Unchanged announcements are not spread, so a server that still counts as announced
# shows only after the longest lease (60 s) and the detection of a lost lease holder
# that it has announced itself since. Its lease has ended otherwise.
RETURN_AFTER_S = 65.0
# Period of the search for such servers, in seconds.
SEARCH_PERIOD_S = 1.0

declare_event(
    307,
    "server_leaving",
    "info",
    "A backend server states in a response that it leaves; it gets no more requests.",
)
declare_event(
    308,
    "server_returned",
    "info",
    "A backend server that stated that it leaves gets requests again; with the reason.",
)


class _Departure:
    __slots__ = ("heard_at", "incarnation", "since")

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.since = now
        self.heard_at = now


class LeavingServers:
    """Remembers which servers stated in a response that they leave.

    The statement outlives the view of the server, because a server may be missing from
    the announced ones for a moment.

    Parameters
    ----------
    timers : TimerService
        Clock.

    Attributes
    ----------
    withheld : int
        Writes to such servers that were withheld after their choice.
    """

    def __init__(self, timers: TimerService) -> None:
        self.withheld = 0
        self._timers = timers
        self._departures: dict[str, _Departure] = {}
        self._next_search = 0.0

    def are_any(self) -> bool:
        """Tell whether any server has stated that it leaves."""
        return bool(self._departures)

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether this incarnation of a server has stated that it leaves."""
        departure = self._departures.get(server.server_id)
        return departure is not None and departure.incarnation == server.incarnation

    def observe(self, server: BackendServer) -> bool:
        """Record a response with the field; return whether it is the first one."""
        now = self._timers.now()
        departure = self._departures.get(server.server_id)
        if departure is not None:
            if departure.incarnation == server.incarnation:
                departure.heard_at = now
                return False
            if departure.incarnation > server.incarnation:
                return False
        self._departures[server.server_id] = _Departure(server.incarnation, now)
        log_event(307, server=server.server_id, incarnation=server.incarnation)
        return True

    def observe_announcement(
        self, previous: BackendServer | None, announced: BackendServer
    ) -> None:
        """Forget a departure if an announcement is later and says ready.

        Parameters
        ----------
        previous : BackendServer or None
            Announcement until now; None if the server was not announced.
        announced : BackendServer
            New announcement.
        """
        departure = self._departures.get(announced.server_id)
        if departure is None:
            return
        if departure.incarnation != announced.incarnation:
            if departure.incarnation < announced.incarnation:
                self._end(announced.server_id, "incarnation")
            return
        if announced.draining or announced.stale or previous == announced:
            return
        waited_s = self._timers.now() - departure.heard_at
        has_drained = previous is not None and previous.draining
        if has_drained or waited_s >= ORDER_UNKNOWN_S:
            self._end(announced.server_id, "announcement")

    def find_announced_since(
        self, find_view: Callable[[str], ServerView | None]
    ) -> list[ServerView]:
        """Forget departures of servers that must have announced themselves since.

        Parameters
        ----------
        find_view : callable
            Returns the view of an announced server by its id.

        Returns
        -------
        list of ServerView
            Servers that get requests again.
        """
        now = self._timers.now()
        if now < self._next_search:
            return []
        self._next_search = now + SEARCH_PERIOD_S
        returned = []
        for server_id, departure in list(self._departures.items()):
            if now - departure.heard_at < RETURN_AFTER_S:
                continue
            view = find_view(server_id)
            if view is None:
                del self._departures[server_id]
            elif not (view.server.draining or view.server.stale):
                self._end(server_id, "lease")
                returned.append(view)
        return returned

    def read_ages(self) -> dict[tuple[str, ...], float]:
        """Return the seconds since the first response with the field, for a gauge."""
        now = self._timers.now()
        return {(name,): now - d.since for name, d in self._departures.items()}

    def count_withheld(self) -> dict[tuple[str, ...], float]:
        """Return how many writes were withheld, for a gauge."""
        return {(): float(self.withheld)}

    def dump(self) -> dict[str, float]:
        """Return the seconds since the first response with the field, by server id."""
        return {name: round(age_s, 1) for (name,), age_s in self.read_ages().items()}

    def _end(self, server_id: str, reason: str) -> None:
        departure = self._departures.pop(server_id)
        left_s = round(self._timers.now() - departure.since, 1)
        log_event(308, server=server_id, reason=reason, after_s=left_s)
