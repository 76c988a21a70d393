from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError
from geraniumbend.routing._policies import Choice, score

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.routing._on_demand_probes import OnDemandProbes
    from geraniumbend.routing._views import ServerView
    from geraniumbend.timers import TimerService

# Part of the mean service time after which a refused request finds room again: half of
# the slots change hands in it.
ROOM_SHARE = 0.5
# Random part of the order in which servers are asked for their load; without it all
# gateways would ask and then load the same ones.
LOOK_SPREAD = 1.0
LOOK_ROUNDS = 2
# Pause before servers are asked again, in seconds; about the time in which one of a
# few dozen busy slots becomes free.
LOOK_PAUSE_S = 0.015
# A server in another failure domain is asked when it looks this many times better,
# which is about what the way there costs a short request.
REMOTE_LOOK = 1.1


class RoomFinder:
    """Finds servers that have room for a request, by on-demand probes.

    Parameters
    ----------
    on_demand_probes : OnDemandProbes
        Asks servers for their load.
    count : int
        Servers asked at the same time.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, on_demand_probes: OnDemandProbes, count: int, timers: TimerService
    ) -> None:
        self._on_demand_probes = on_demand_probes
        self._count = count
        self._timers = timers

    async def find(
        self,
        list_stages: Callable[[], list[list[ServerView]]],
        build_choice: Callable[[], Choice],
        patience_s: float,
    ) -> bool:
        """Ask servers until one of them has room on a quiet host.

        Parameters
        ----------
        list_stages : callable
            Returns the servers by stage; those of a later stage are asked when an
            earlier one has no room.
        build_choice : callable
            Returns the request as it stands now.
        patience_s : float
            Longest wait in seconds, besides that for one round of on_demand_probes.

        Returns
        -------
        bool
            Whether a server has room.
        """
        end_s = self._timers.now() + patience_s
        while True:
            for members in list_stages():
                if await self._look_among(members, build_choice()):
                    return True
            if self._timers.now() + LOOK_PAUSE_S > end_s:
                return False
            await self._timers.sleep(LOOK_PAUSE_S)

    def list_known(self, members: list[ServerView], choice: Choice) -> list[ServerView]:
        """Return the servers that fresh reports speak for, none without reports.

        Raises
        ------
        RefusedError
            If as many servers as a request asks were found full just now. One more
            request would slow all others on its server and come late itself.
        """
        good = [view for view in members if self._on_demand_probes.is_good(view)]
        if good:
            return self._prefer_sound(good)
        fresh = [view for view in members if self._on_demand_probes.is_fresh(view)]
        free = [view for view in fresh if self._on_demand_probes.has_room(view)]
        asked = min(len(members), LOOK_ROUNDS * self._count)
        if fresh and not free and len(fresh) >= asked:
            raise RefusedError(
                "all servers that were asked are full",
                "retry after the stated delay",
                kind="saturated",
                retry_after_s=ROOM_SHARE * choice.mean_s,
            )
        # Two of fresh reports say more than four of old ones.
        return self._prefer_sound(free) if len(fresh) > 1 else []

    def _prefer_sound(self, views: list[ServerView]) -> list[ServerView]:
        """Leave out servers that fail, which look idle for it, unless all do."""
        now = self._timers.now()
        return [view for view in views if not view.is_failing(now)] or views

    async def _look_among(self, members: list[ServerView], choice: Choice) -> bool:
        members = self._prefer_sound(members)
        good = [view for view in members if self._on_demand_probes.is_good(view)]
        if good or not members:
            return bool(good)
        scored = sorted(
            (_score_look(view, choice), index) for index, view in enumerate(members)
        )
        ordered = [members[index] for _, index in scored]
        for first in range(0, LOOK_ROUNDS * self._count, self._count):
            # Where all of the first ones are busy, the next ones may not be.
            chosen = ordered[first : first + self._count]
            if chosen and await self._on_demand_probes.probe_candidates(chosen):
                return True
        return False


def _score_look(view: ServerView, choice: Choice) -> float:
    """Return a score that spreads the probes over servers of about equal worth."""
    remote = view.server.failure_domain != choice.failure_domain
    spread = 1 + LOOK_SPREAD * choice.random.random()
    return score(view, choice) * spread * (REMOTE_LOOK if remote else 1.0)
