"""Backend servers that asked this gateway to send them nothing for a time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from geraniumbend.model import BackendServer
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

# Longest time that a server is left out, in seconds. A false value, for example a year,
# must not remove a server for good.
MAX_ASKED_S = 300.0
# Gateways return at random times within this share of the time asked for, at most
# MAX_SPREAD_S seconds after its end.
SPREAD_SHARE = 0.25
MAX_SPREAD_S = 1.0
# Time after its return, in seconds, in which a server is considered for a part of this
# gateway's requests only. It seems idle, so that it would get nearly all of them.
EASE_S = 2.0
# Callers of a group without servers are told to come back within this share of their
# wait, at most MAX_CALLER_SPREAD_S seconds, after its end.
CALLER_SPREAD_SHARE = 0.5
MAX_CALLER_SPREAD_S = 10.0

declare_event(
    309,
    "server_asked_time",
    "info",
    "A backend server asked this gateway with 503 and Retry-After to send it nothing.",
)
declare_event(
    317,
    "server_time_over",
    "info",
    "The time that a backend server asked for is over; it gets requests again.",
)


class _Entry:
    __slots__ = ("eased_at", "incarnation", "return_at", "since", "until")

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.since = now
        self.until = now
        self.return_at = now
        # Infinite while nothing is sent to the server.
        self.eased_at = math.inf


class AskedTimes:
    """Remembers for which time servers asked to get nothing, and eases their return.

    Parameters
    ----------
    timers : TimerService
        Clock.

    Attributes
    ----------
    withheld, refused : int
        Writes that were withheld after the choice, and requests for whose group all
        servers had asked for time.
    """

    def __init__(self, timers: TimerService) -> None:
        self.withheld = 0
        self.refused = 0
        self._timers = timers
        self._entries: dict[str, _Entry] = {}
        self._next_change = math.inf
        self._responses: dict[str, int] = {}

    def are_any(self) -> bool:
        """Tell whether a server has asked for time, or is returning."""
        return bool(self._entries)

    def is_resting(self, server: BackendServer) -> bool:
        """Tell whether this incarnation of a server gets nothing now."""
        entry = self._entries.get(server.server_id)
        return (
            entry is not None
            and entry.incarnation == server.incarnation
            and entry.eased_at == math.inf
        )

    def observe(
        self, server: BackendServer, delay_s: float, kind: str, draw: float
    ) -> bool:
        """Record a response that asks for time; return whether the server rests.

        Parameters
        ----------
        server : BackendServer
            Server that responded.
        delay_s : float
            Time in seconds. What is not positive asks for nothing, and what exceeds
            `MAX_ASKED_S` is cut to it.
        kind : str
            Kind of the value, for the counter.
        draw : float
            Random number from 0 to 1 that spreads the returns of gateways.
        """
        if delay_s > MAX_ASKED_S:
            delay_s = MAX_ASKED_S
            kind = "capped" if kind == "seconds" else kind
        self._responses[kind] = self._responses.get(kind, 0) + 1
        if not delay_s > 0:
            return False
        now = self._timers.now()
        entry = self._entries.get(server.server_id)
        if entry is None or entry.incarnation < server.incarnation:
            entry = self._entries[server.server_id] = _Entry(server.incarnation, now)
        elif entry.incarnation > server.incarnation:
            return False
        if now + delay_s > entry.until:
            if entry.eased_at < math.inf or entry.since == now:
                log_event(
                    309, server=server.server_id, asked_s=round(delay_s, 3), kind=kind
                )
                entry.since = now
            entry.until = now + delay_s
            entry.return_at = entry.until + draw * _spread_s(delay_s)
            entry.eased_at = math.inf
            self._next_change = min(self._next_change, entry.return_at)
        return True

    def forget_earlier(self, server: BackendServer) -> None:
        """Forget what an earlier incarnation of a server asked for."""
        entry = self._entries.get(server.server_id)
        if entry is not None and entry.incarnation < server.incarnation:
            del self._entries[server.server_id]

    def take_returned(self) -> list[str]:
        """Return the ids of servers that get requests again from now on."""
        now = self._timers.now()
        if now < self._next_change:
            return []
        returned = []
        self._next_change = math.inf
        for server_id, entry in list(self._entries.items()):
            if entry.eased_at == math.inf and now >= entry.return_at:
                entry.eased_at = now + EASE_S
                returned.append(server_id)
                rested_s = round(now - entry.since, 3)
                log_event(317, server=server_id, after_s=rested_s)
            if now >= entry.eased_at:
                del self._entries[server_id]
                continue
            change_at = min(entry.return_at, entry.eased_at)
            if change_at <= now:
                change_at = entry.eased_at
            self._next_change = min(self._next_change, change_at)
        return returned

    def thin(self, views: list[ServerView], rng: random.Random) -> list[ServerView]:
        """Leave out servers that have just returned, except for a growing share.

        The share is one in the number of servers at first, which is an even one, and
        grows to all requests in `EASE_S` seconds.

        Parameters
        ----------
        views : list of ServerView
            Servers that a request may be sent to.
        rng : random.Random
            Decides for each request.
        """
        if not self._entries or len(views) < 2:
            return views
        now = self._timers.now()
        kept = []
        for view in views:
            entry = self._entries.get(view.server_id)
            if entry is not None and entry.eased_at > now:
                left = min(1.0, (entry.eased_at - now) / EASE_S)
                if rng.random() > len(views) ** -left:
                    continue
            kept.append(view)
        return kept or views

    def find_delay(
        self, views: Iterable[ServerView], rng: random.Random
    ) -> float | None:
        """Return a time after which callers of a group without servers are served.

        It covers the return of all gateways, since a caller may come back to another
        one, and differs between callers, which would all come back together otherwise.

        Parameters
        ----------
        views : iterable of ServerView
            Members of the group.
        rng : random.Random
            Spreads the callers.

        Returns
        -------
        float or None
            Seconds; None if no member would get requests without having asked for time.
        """
        now = self._timers.now()
        delays = [
            max(0.0, entry.until - now) + _spread_s(entry.until - entry.since)
            for view in views
            if view.resting
            and not (view.server.draining or view.leaving or view.address_reused)
            and (entry := self._entries.get(view.server_id)) is not None
        ]
        if not delays:
            return None
        delay_s = min(delays)
        spread_s = min(MAX_CALLER_SPREAD_S, CALLER_SPREAD_SHARE * delay_s)
        return delay_s + spread_s * rng.random()

    def build_refusal(self, group: str, delay_s: float) -> RefusedError:
        """Return the refusal of a request whose servers have all asked for time."""
        self.refused += 1
        return RefusedError(
            f"all backend servers of group {group!r} have asked for time",
            "retry after the stated delay",
            kind="asked_time",
            retry_after_s=delay_s,
        )

    def read_left(self) -> dict[tuple[str, ...], float]:
        """Return the time until this gateway sends again by server, for a gauge."""
        now = self._timers.now()
        return {
            (name,): max(0.0, entry.return_at - now)
            for name, entry in self._entries.items()
            if entry.eased_at == math.inf
        }

    def read_totals(self) -> dict[tuple[str, ...], float]:
        """Return the responses by kind of value, and what followed, for a gauge."""
        counts = {**self._responses, "withheld": self.withheld, "refused": self.refused}
        return {(name,): float(count) for name, count in counts.items()}

    def dump(self) -> dict[str, Any]:
        """Return since when and for how long servers get nothing, for operators."""
        now = self._timers.now()
        return {
            name: {
                "since_s": round(now - entry.since, 3),
                "left_s": round(max(0.0, entry.return_at - now), 3),
            }
            for name, entry in self._entries.items()
            if entry.eased_at == math.inf
        }


def _spread_s(delay_s: float) -> float:
    return min(MAX_SPREAD_S, SPREAD_SHARE * delay_s)
