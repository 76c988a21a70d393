from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from geraniumbend.routing._reports import build_report

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from geraniumbend.routing._table import ServerTable
    from geraniumbend.routing._views import ServerView
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

    Send = Callable[[ServerView], Awaitable[Mapping[str, float] | None]]

# A probe occupies a slot for 6 ms and may need a new connection at 1 ms. A server
# that takes longer is charged what its probes took.
PROBE_COST_S = 0.007
# The budget holds in every window of this length, in seconds, or in the longer one
# in which each gateway may send one probe.
WINDOW_S = 10.0
# A gateway sends no probes for this long after its start, in seconds, and divides by
# the highest number of gateways of this time. Until gossip has told all others about
# a change, they still use their old shares.
SETTLE_S = 15.0
# A server whose load came with a response in this time, in seconds, needs no probe.
FRESH_S = 0.25
TICK_S = 0.1


class SharePort(Protocol):
    """Share of this gateway in common budgets."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class ProbeScheduler:
    """Decides when this gateway probes which backend server.

    Over all gateways, probes of one server cost at most the `load_cost_share` of its
    slots, in every window. Probes are spread evenly: with n probes allowed in a window
    the next one is sent at the earliest a window divided by n after the last one, so
    that there is no burst to save up.

    Parameters
    ----------
    table : ServerTable
        Servers and groups.
    shares : SharePort
        Share of this gateway.
    timers : TimerService
        Clock.
    minimum_gateways : int, default=1
        Gateways assumed at least.
    """

    def __init__(
        self,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
        minimum_gateways: int = 1,
    ) -> None:
        self._table = table
        self._shares = shares
        self._timers = timers
        self._minimum = minimum_gateways
        self._started = timers.now()
        self._gateways: list[tuple[float, float]] = []
        self._recent: dict[str, deque[float]] = {}
        self._tasks: set[asyncio.Future[None]] = set()
        self._cost_s: dict[str, float] = {}
        self._running: set[str] = set()
        self._ticking: Subscription | None = None
        self.sent = 0

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
    ) -> ProbeScheduler:
        """Build the scheduler of a gateway."""
        return cls(table, shares, timers, settings.peer.minimum_gateways)

    def start(self, send: Send) -> None:
        """Probe servers from now on.

        Parameters
        ----------
        send : callable
            Sends ``GET /load`` to a server and returns ``in_flight``, ``slots`` and
            ``latency_ms``, or None when the server did not answer.
        """

        def tick() -> None:
            # A server that hangs must not delay the probes of the others.
            for view in self.take_due():
                task = asyncio.ensure_future(self._probe(view, send))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

        self._ticking = self._timers.every(TICK_S, tick)

    def stop(self) -> None:
        """Send no more probes."""
        if self._ticking is not None:
            self._ticking.cancel()
        for task in self._tasks:
            task.cancel()

    def allowance(self, view: ServerView) -> tuple[int, float]:
        """Return how many probes of a server this gateway may send in which time.

        Parameters
        ----------
        view : ServerView
            Server.

        Returns
        -------
        count : int
            Probes; 0 when the budget is 0.
        window_s : float
            Length of the window in seconds.
        """
        cost_s = max(PROBE_COST_S, self._cost_s.get(view.server_id, 0.0))
        rate = view.slots * self._budget_share(view) / cost_s / self._count_gateways()
        if rate <= 0:
            return 0, math.inf
        count = math.floor(WINDOW_S * rate)
        return (count, WINDOW_S) if count else (1, 1 / rate)

    def take_due(self) -> list[ServerView]:
        """Return the servers to probe now and count the probes as sent."""
        now = self._timers.now()
        self._count_gateways()
        if now - self._started < SETTLE_S:
            return []
        due = []
        for view in self._table.all_views():
            name = view.server_id
            if view.draining or name in self._running or not view.groups:
                continue
            if now - view.report_at < FRESH_S:
                continue
            if not self._take(view, now):
                continue
            self.sent += 1
            due.append(view)
        return due

    def _take(self, view: ServerView, now: float) -> bool:
        count, window_s = self.allowance(view)
        recent = self._recent.setdefault(view.server_id, deque())
        while recent and now - recent[0] >= window_s:
            recent.popleft()
        if len(recent) >= count or (recent and now - recent[-1] < window_s / count):
            return False
        recent.append(now)
        return True

    def _budget_share(self, view: ServerView) -> float:
        configuration = self._table.configuration
        if configuration is None:
            return 0.0
        shares = [
            configuration.groups[group].load_cost_share
            for group in view.groups
            if group in configuration.groups
        ]
        return min(shares, default=0.0)

    def _count_gateways(self) -> float:
        now = self._timers.now()
        count = max(self._minimum, 1 / max(self._shares.gateway_share(), 1e-9))
        while self._gateways and self._gateways[-1][1] <= count:
            self._gateways.pop()
        self._gateways.append((now, count))
        while now - self._gateways[0][0] > SETTLE_S and len(self._gateways) > 1:
            self._gateways.pop(0)
        return self._gateways[0][1]

    async def _probe(self, view: ServerView, send: Send) -> None:
        self._running.add(view.server_id)
        sent = self._timers.now()
        try:
            values = await send(view)
        finally:
            self._running.discard(view.server_id)
        now = self._timers.now()
        before = self._cost_s.get(view.server_id, PROBE_COST_S)
        self._cost_s[view.server_id] = before + 0.3 * (now - sent - before)
        if values is None:
            return
        report = build_report(dict(values))
        if report is not None:
            view.observe_report(report, now)
