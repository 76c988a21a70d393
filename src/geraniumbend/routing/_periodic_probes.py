"""Periodic probes within a budget."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from geraniumbend.routing._load_reports import build_report

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from geraniumbend.routing._server_table import ServerTable
    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

    Send = Callable[[ServerView], Awaitable[Mapping[str, float] | None]]

# Lowest cost of a probe in slot-seconds: it occupies a slot for 6 ms and may need a new
# connection, which takes 1 ms. Slower probes count with the time that they took.
PROBE_COST_S = 0.007
# The budget holds in every window of this length, in seconds. Where it allows a gateway
# less than one probe in this time, it holds in the time in which it allows one.
WINDOW_S = 10.0
# A gateway sends no probes for this long after its start, in seconds, and divides the
# budget by the highest number of gateways seen in the last SETTLE_S seconds. Other
# gateways use their old shares until gossip has notified them of a change.
SETTLE_S = 15.0
# A server with a report younger than this, in seconds, needs no probe.
REPORT_FRESH_S = 0.25
# Time between two searches for servers that are due for a probe, in seconds.
TICK_S = 0.1


class SharePort(Protocol):
    """Share of this gateway in the budgets that all gateways have in common."""

    def gateway_share(self) -> float:
        """Return one divided by the number of live gateways."""
        ...


class ProbeScheduler:
    """Sends periodic load probes to backend servers, within a budget.

    In every window, the probes that all gateways send to one server use at most the
    `load_cost_share` of its slot time. Probes are spread evenly: if n of them are
    allowed in a window, two are at least a window divided by n apart, so that unused
    allowance does not lead to a burst.

    Parameters
    ----------
    table : ServerTable
        Servers and groups.
    shares : SharePort
        This gateway's share of common budgets.
    timers : TimerService
        Clock.
    minimum_gateways : int, default=1
        Lower bound of the number of gateways.
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
        self._minimum_gateways = minimum_gateways
        self._started = timers.now()
        self._gateway_counts: list[tuple[float, float]] = []
        self._recent: dict[str, deque[float]] = {}
        self._tasks: set[asyncio.Future[None]] = set()
        self._cost_s: dict[str, float] = {}
        self._running: set[str] = set()
        self._ticker: Subscription | None = None
        self.sent = 0

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        table: ServerTable,
        shares: SharePort,
        timers: TimerService,
    ) -> ProbeScheduler:
        """Build the scheduler of a gateway from its settings."""
        return cls(table, shares, timers, settings.peer.minimum_gateways)

    def start(self, send: Send) -> None:
        """Start to send probes.

        Parameters
        ----------
        send : callable
            Sends ``GET /load`` to a server and returns ``in_flight``, ``slots`` and
            ``latency_ms``, or None if the server did not respond.
        """

        def tick() -> None:
            # One task for each probe: a server that hangs does not delay the others.
            for view in self.take_due():
                task = asyncio.ensure_future(self._probe(view, send))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

        self._ticker = self._timers.every(TICK_S, tick)

    def stop(self) -> None:
        """Send no more probes and cancel those in flight."""
        if self._ticker is not None:
            self._ticker.cancel()
        for task in self._tasks:
            task.cancel()

    def allowance(self, view: ServerView) -> tuple[int, float]:
        """Return how many probes this gateway may send to a server, in which window.

        Parameters
        ----------
        view : ServerView
            Server.

        Returns
        -------
        count : int
            Most probes in the window; 0 if the budget is 0.
        window_s : float
            Length of the window in seconds; infinite if the budget is 0.
        """
        cost_s = max(PROBE_COST_S, self._cost_s.get(view.server_id, 0.0))
        rate = view.slots * self._budget_share(view) / cost_s / self._count_gateways()
        if rate <= 0:
            return 0, math.inf
        count = math.floor(WINDOW_S * rate)
        return (count, WINDOW_S) if count else (1, 1 / rate)

    def take_due(self) -> list[ServerView]:
        """Return the servers to probe now, and count their probes as sent."""
        now = self._timers.now()
        self._count_gateways()
        if now - self._started < SETTLE_S:
            return []
        due = []
        for view in self._table.all_views():
            name = view.server_id
            if view.draining or name in self._running or not view.groups:
                continue
            if now - view.report_at < REPORT_FRESH_S:
                continue
            if not self._try_take(view, now):
                continue
            self.sent += 1
            due.append(view)
        return due

    def _try_take(self, view: ServerView, now: float) -> bool:
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
        count = max(self._minimum_gateways, 1 / max(self._shares.gateway_share(), 1e-9))
        while self._gateway_counts and self._gateway_counts[-1][1] <= count:
            self._gateway_counts.pop()
        self._gateway_counts.append((now, count))
        while (
            now - self._gateway_counts[0][0] > SETTLE_S
            and len(self._gateway_counts) > 1
        ):
            self._gateway_counts.pop(0)
        return self._gateway_counts[0][1]

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
