from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.routing._reports import build_report

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from geraniumbend.routing._views import ServerView
    from geraniumbend.timers import TimerService

    Send = Callable[[ServerView], Awaitable[Mapping[str, float] | None]]

# Work on a shared host speeds up and slows down several times a second; an older
# report says little about the next request.
FRESH_LOOK_S = 0.04
# Longest wait for the reports. A round trip within a region takes 1 to 2 ms.
LOOK_TIMEOUT_S = 0.03
# A server whose work takes at most this many times longer than usual is good enough.
GOOD_SLOWDOWN = 1.5
# Servers slow down when more of their slots than this are busy.
GOOD_UTILIZATION = 0.8
# Looks at one server that a gateway may send at once when it starts, and the time in
# seconds for which it saves up what it does not use. Crests need several times the
# probes of the minutes between them.
BURST_LOOKS = 20.0
SAVING_S = 30.0


class _Allowance:
    """Token bucket of the probes at one server."""

    __slots__ = ("tokens", "updated")

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LOOKS
        self.updated = now

    def take(self, rate: float, now: float) -> bool:
        earned = (now - self.updated) * rate
        self.tokens = min(max(BURST_LOOKS, SAVING_S * rate), self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class OnDemandProbes:
    """Asks backend servers for their load right before a request is sent.

    The load of shared hosts changes many times a second, faster than one gateway's
    own requests or a periodic probe can tell. Asking a few candidates costs a round
    trip of 1 to 2 ms; the first good answer ends the wait. Source of the idea to probe
    more than one and to keep requests in flight and duration apart: Wydrowski et al.,
    "Load is not what you should balance", NSDI 2024.

    Parameters
    ----------
    timers : TimerService
        Clock.
    share : callable
        Returns this gateway's part of common budgets, 0 to 1.
    limit_per_s : float, default=0.0
        Looks at one server a second of all gateways together; 0 sets no limit.
    """

    def __init__(
        self,
        timers: TimerService,
        share: Callable[[], float],
        limit_per_s: float = 0.0,
    ) -> None:
        self._timers = timers
        self._share = share
        self._limit_per_s = limit_per_s
        self._send: Send | None = None
        self._running: dict[str, asyncio.Task[None]] = {}
        self._allowances: dict[str, _Allowance] = {}
        self.sent = 0

    def start(self, send: Send) -> None:
        """Set the function that asks a server; nothing is asked before."""
        self._send = send

    def stop(self) -> None:
        """Ask no more and give up open probes."""
        self._send = None
        for task in self._running.values():
            task.cancel()

    def is_fresh(self, view: ServerView) -> bool:
        """Tell whether the last report of a server says something about now."""
        return self._timers.now() - view.report_at <= FRESH_LOOK_S

    def is_good(self, view: ServerView) -> bool:
        """Tell whether a fresh report shows that a server has room and runs fast."""
        report = view.report
        if report is None or not self.is_fresh(view):
            return False
        now = self._timers.now()
        busy = view.estimate_in_flight(now) + 1
        return (
            busy <= GOOD_UTILIZATION * view.slots + 1e-9
            and (report.slowdown or 1.0) <= GOOD_SLOWDOWN
        )

    def has_room(self, view: ServerView) -> bool:
        """Tell whether a slot was free at the last report and was not taken since."""
        return view.estimate_in_flight(self._timers.now()) + 1 <= view.slots

    async def probe_candidates(self, candidates: list[ServerView]) -> bool:
        """Refresh the reports of some servers until one of them is good.

        Parameters
        ----------
        candidates : list of ServerView
            Servers to ask; returns at once when a fresh report of one is good.

        Returns
        -------
        bool
            Whether one of them is good.
        """
        if any(map(self.is_good, candidates)):
            return True
        if self._send is None:
            return False
        unknown = [view for view in candidates if not self.is_fresh(view)]
        waiting = {self._start(view) for view in unknown} - {None}
        end = self._timers.now() + LOOK_TIMEOUT_S
        while waiting and (left := end - self._timers.now()) > 0:
            _done, waiting = await asyncio.wait(
                waiting,  # type: ignore[type-var]
                timeout=left,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(map(self.is_good, candidates)):
                return True
        return False

    def _start(self, view: ServerView) -> asyncio.Task[None] | None:
        name = view.server_id
        running = self._running.get(name)
        if running is not None:
            return running
        if not self._may_ask(name):
            return None
        self.sent += 1
        task = asyncio.ensure_future(self._ask(view))
        self._running[name] = task
        task.add_done_callback(lambda done: self._finish(name, done))
        return task

    def _may_ask(self, name: str) -> bool:
        if not self._limit_per_s:
            return True
        now = self._timers.now()
        allowance = self._allowances.get(name)
        if allowance is None:
            allowance = self._allowances[name] = _Allowance(now)
        return allowance.take(self._limit_per_s * self._share(), now)

    async def _ask(self, view: ServerView) -> None:
        assert self._send is not None
        values = await self._send(view)
        report = None if values is None else build_report(dict(values))
        if report is not None:
            view.observe_report(report, self._timers.now())

    def _finish(self, name: str, task: asyncio.Task[None]) -> None:
        self._running.pop(name, None)
        if not task.cancelled():
            # Failures were logged where they happened; the report stays old.
            task.exception()
