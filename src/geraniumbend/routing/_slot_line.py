"""Order of the requests of a gateway that wait for a slot."""

from __future__ import annotations

import asyncio
import itertools
from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.caller_waits import estimate_wait, may_begin_to_wait

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService

# Time between two estimates for the requests that wait already, in seconds.
REVIEW_PERIOD_S = 0.05


class SlotTurn(NamedTuple):
    """Place of a request among those that wait for a slot of its group.

    Parameters
    ----------
    rank : int
        Rank; lower numbers are served first.
    served : float
        Work that the tenant of the request gets, in seconds of service time per second.
    arrived_s : float
        Reading of the clock when the request arrived.
    """

    rank: int
    served: float
    arrived_s: float


class WaitingRequest:
    """One request that waits for a slot.

    Parameters
    ----------
    key : tuple
        Its turn, then the order in which requests began to wait.
    work_s : float
        Its expected service time in seconds; 0 when unknown.
    latest_s : float
        Reading of the clock by which it must have a slot.
    """

    __slots__ = (
        "_change",
        "is_accepted",
        "key",
        "latest_s",
        "refused_after_s",
        "work_s",
    )

    def __init__(
        self, key: tuple[SlotTurn, int], work_s: float, latest_s: float
    ) -> None:
        self.key = key
        self.work_s = work_s
        self.latest_s = latest_s
        # Whether the first estimate has shown that it may wait.
        self.is_accepted = False
        # Time until there would have been a slot for it; None while it may wait.
        self.refused_after_s: float | None = None
        self._change: asyncio.Future[None] | None = None

    async def wait_for_change(self) -> None:
        """Wait until the request is first in the line, or is refused."""
        self._change = asyncio.get_running_loop().create_future()
        await self._change

    def notify(self) -> None:
        """End `wait_for_change`."""
        if self._change is not None and not self._change.done():
            self._change.set_result(None)


class _GroupLine:
    __slots__ = ("freed_at", "requests", "reviewed_at")

    def __init__(self, now: float) -> None:
        self.requests: list[WaitingRequest] = []
        self.freed_at = now
        self.reviewed_at = now


class SlotLine:
    """Waiting requests by group; the first one of a group gets the next free slot.

    Requests are ordered by rank, then by what their tenant gets, then by arrival. Only
    the first one probes servers, which also bounds the probes of a crowded group. A
    request that will have no slot in time is refused as soon as that is known.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._numbers = itertools.count()
        self._groups: dict[str, _GroupLine] = {}

    def count(self, group: str) -> int:
        """Return the number of requests that wait."""
        line = self._groups.get(group)
        return len(line.requests) if line is not None else 0

    def join(
        self, group: str, turn: SlotTurn, work_s: float, latest_s: float
    ) -> WaitingRequest:
        """Add a request.

        Parameters
        ----------
        group : str
            Name of the group.
        turn : SlotTurn
            Place of the request among those that wait.
        work_s : float
            Its expected service time in seconds; 0 when unknown.
        latest_s : float
            Reading of the clock by which it must have a slot.
        """
        line = self._groups.get(group)
        if line is None:
            line = self._groups[group] = _GroupLine(self._timers.now())
        request = WaitingRequest((turn, next(self._numbers)), work_s, latest_s)
        insort(line.requests, request, key=lambda entry: entry.key)
        return request

    def is_first(self, group: str, request: WaitingRequest) -> bool:
        """Tell whether a request gets the next free slot."""
        return self._groups[group].requests[0] is request

    def leave(self, group: str, request: WaitingRequest, has_slot: bool) -> None:
        """Remove a request that has got a slot or waits no longer."""
        line = self._groups[group]
        line.requests.remove(request)
        if has_slot:
            line.freed_at = self._timers.now()
        if line.requests:
            line.requests[0].notify()
        else:
            del self._groups[group]

    def review(self, group: str, slots: float, is_due: bool = False) -> None:
        """Refuse the requests that will have no slot in time.

        Parameters
        ----------
        group : str
            Name of the group.
        slots : float
            Slots of the group that serve the requests of this gateway.
        is_due : bool, default=False
            Whether the estimates are renewed although the last ones are recent.
        """
        line = self._groups[group]
        now = self._timers.now()
        if not is_due and now - line.reviewed_at < REVIEW_PERIOD_S:
            return
        line.reviewed_at = now
        work_s = 0.0
        for request in line.requests:
            if request.refused_after_s is not None:
                continue
            wait_s = self._estimate(line, work_s + request.work_s, slots)
            max_wait_s = request.latest_s - now
            if request.is_accepted:
                fits = wait_s <= max_wait_s
            else:
                fits = may_begin_to_wait(wait_s, max_wait_s)
            # The first one finds out by probes how long it waits.
            if fits or not work_s:
                request.is_accepted = True
                work_s += request.work_s
            else:
                request.refused_after_s = wait_s
                request.notify()

    def estimate_room(self, group: str, work_s: float, slots: float) -> float:
        """Return the time until a new request would have a slot, in seconds.

        Parameters
        ----------
        group : str
            Name of the group.
        work_s : float
            Expected service time of the request in seconds.
        slots : float
            As in `review`.
        """
        line = self._groups.get(group)
        if line is None:
            return estimate_wait(work_s, slots)
        waiting_s = sum(request.work_s for request in line.requests)
        return self._estimate(line, waiting_s + work_s, slots)

    def _estimate(self, line: _GroupLine, work_s: float, slots: float) -> float:
        busy_s = self._timers.now() - line.freed_at
        return estimate_wait(work_s, slots, line.requests[0].work_s, busy_s)
