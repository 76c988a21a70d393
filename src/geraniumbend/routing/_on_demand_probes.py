"""Probes right before a request is sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.routing._load_reports import build_report

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from geraniumbend.routing._server_views import ServerView
    from geraniumbend.timers import TimerService

    Send = Callable[[ServerView], Awaitable[Mapping[str, float] | None]]

# Age up to which a report is used, in seconds. The speed of a shared host changes
# several times a second, so an older report says little about the next request.
REPORT_FRESH_S = 0.04
# Longest wait for the responses to probes, in seconds. A round trip within a region
# takes 1 to 2 ms.
PROBE_TIMEOUT_S = 0.03
# A lightly loaded server has at most this slowdown (duration of work over its
# baseline).
LIGHT_LOAD_SLOWDOWN = 1.5
# A lightly loaded server has at most this share of its slots busy; above it, servers
# slow down.
LIGHT_LOAD_UTILIZATION = 0.8
# Capacity of the token bucket of one server: at least PROBE_BURST probes, which a
# gateway has when it starts, and at least the allowance of BURST_WINDOW_S seconds. A
# peak needs several times the probes of the minutes between peaks.
PROBE_BURST = 20.0
BURST_WINDOW_S = 30.0


class _TokenBucket:
    """Token bucket that limits the probes of one server."""

    __slots__ = ("tokens", "updated")

    def __init__(self, now: float) -> None:
        self.tokens = PROBE_BURST
        self.updated = now

    def try_take(self, rate: float, now: float) -> bool:
        earned = (now - self.updated) * rate
        self.tokens = min(max(PROBE_BURST, BURST_WINDOW_S * rate), self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class OnDemandProbes:
    """Probes backend servers for their load right before a request is sent.

    The load of shared hosts changes many times a second, faster than responses to one
    gateway's own requests or periodic probes can show. Probing a few candidates costs
    a round trip of 1 to 2 ms; the wait ends with the first response of a lightly loaded
    server. Probing several servers, and treating requests in flight and latency as
    separate signals, follows Wydrowski et al., "Load is not what you should balance",
    NSDI 2024.

    Parameters
    ----------
    timers : TimerService
        Clock.
    share : callable
        Returns this gateway's share of common budgets, 0 to 1.
    limit_per_s : float, default=0.0
        Most probes a second that all gateways together send to one server; 0 sets no
        limit.
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
        self._has_connection: Callable[[str], bool] | None = None
        self._running: dict[str, asyncio.Task[None]] = {}
        self._buckets: dict[str, _TokenBucket] = {}
        self.sent = 0

    def start(
        self, send: Send, has_connection: Callable[[str], bool] | None = None
    ) -> None:
        """Begin to send probes.

        Parameters
        ----------
        send : callable
            Sends a probe to a server; before it is set, no probes are sent.
        has_connection : callable or None, default=None
            Tells by server id whether an open connection can be reused. Without it, no
            server is preferred for its connection.
        """
        self._send = send
        self._has_connection = has_connection

    def stop(self) -> None:
        """Send no more probes and cancel those in flight."""
        self._send = None
        for task in self._running.values():
            task.cancel()

    def has_fresh_report(self, view: ServerView) -> bool:
        """Tell whether the last report of a server is recent enough to be used."""
        return self._timers.now() - view.report_at <= REPORT_FRESH_S

    def is_lightly_loaded(self, view: ServerView) -> bool:
        """Tell whether a fresh report shows spare capacity and a small slowdown."""
        report = view.report
        if report is None or not self.has_fresh_report(view):
            return False
        now = self._timers.now()
        busy = view.estimate_in_flight(now) + 1
        return (
            busy <= LIGHT_LOAD_UTILIZATION * view.slots + 1e-9
            and (report.slowdown or 1.0) <= LIGHT_LOAD_SLOWDOWN
        )

    def has_free_slot(self, view: ServerView) -> bool:
        """Tell whether the last report and own requests since leave a slot free."""
        return view.estimate_in_flight(self._timers.now()) + 1 <= view.slots

    def needs_connection(self, view: ServerView) -> bool:
        """Tell whether a probe of a server would open a new connection."""
        return self._has_connection is not None and not self._has_connection(
            view.server_id
        )

    async def probe_candidates(self, candidates: list[ServerView]) -> bool:
        """Probe some servers until one of them is found lightly loaded.

        Parameters
        ----------
        candidates : list of ServerView
            Servers to probe. If one is known to be lightly loaded, no probe is sent.
            Servers with a fresh report are not probed again.

        Returns
        -------
        bool
            Whether one of them is lightly loaded.
        """
        if any(map(self.is_lightly_loaded, candidates)):
            return True
        if self._send is None:
            return False
        unknown = [view for view in candidates if not self.has_fresh_report(view)]
        waiting = {self._start(view) for view in unknown} - {None}
        end = self._timers.now() + PROBE_TIMEOUT_S
        while waiting and (left := end - self._timers.now()) > 0:
            _done, waiting = await asyncio.wait(
                waiting,  # type: ignore[type-var]
                timeout=left,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(map(self.is_lightly_loaded, candidates)):
                return True
        return False

    def _start(self, view: ServerView) -> asyncio.Task[None] | None:
        name = view.server_id
        running = self._running.get(name)
        if running is not None:
            return running
        if not self._may_probe(name):
            return None
        self.sent += 1
        task = asyncio.ensure_future(self._send_probe(view))
        self._running[name] = task
        task.add_done_callback(lambda done: self._finish(name, done))
        return task

    def _may_probe(self, name: str) -> bool:
        if not self._limit_per_s:
            return True
        now = self._timers.now()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _TokenBucket(now)
        return bucket.try_take(self._limit_per_s * self._share(), now)

    async def _send_probe(self, view: ServerView) -> None:
        assert self._send is not None
        values = await self._send(view)
        report = None if values is None else build_report(dict(values))
        if report is not None:
            view.observe_report(report, self._timers.now())

    def _finish(self, name: str, task: asyncio.Task[None]) -> None:
        self._running.pop(name, None)
        if not task.cancelled():
            # Retrieves the exception so that asyncio does not warn about it. The
            # failure was logged where it happened, and the report stays as it was.
            task.exception()
