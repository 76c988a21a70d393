from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.model import BackendServer
    from geraniumbend.routing._reports import LoadReport

# A report counts fully when new and by 1/e at this age, in seconds.
REPORT_DECAY_S = 1.0
# A report counts as that of the response at hand up to this age, in seconds.
FRESH_REPORT_S = 1.0
# A report above this many times the slots is cut, so that a false report cannot
# keep a server out for longer than the report lives.
REPORT_CEILING = 4.0
# Weight of one more latency in the estimate of its class.
LATENCY_WEIGHT = 0.2
# Latency estimates fall back to the group's mean with this time constant, in seconds.
LATENCY_DECAY_S = 10.0
# Reported durations of work fall back to the group's mean with this time constant, in
# seconds.
SLOWDOWN_DECAY_S = 0.2
# Weight of one more outcome in the error rate, and its time constant in seconds.
ERROR_WEIGHT = 0.15
ERROR_DECAY_S = 8.0
# Share of failed requests above which a server is used only when no other has room.
FAILING_RATE = 0.2
# A restarted server reaches full weight after this many seconds.
RAMP_S = 10.0
RAMP_FLOOR = 0.1


class Outcome(NamedTuple):
    """Result of one request on a backend server.

    Parameters
    ----------
    status : int, default=0
        HTTP status; 0 when there was no response. Without `failed`, 0 stands for a
        request that was cancelled.
    latency_s : float, default=0.0
        Time from sending to the end of the response, in seconds.
    head_latency_s : float, default=0.0
        Time from sending to the response headers, in seconds.
    failed : bool, default=False
        The server did not answer properly.
    not_run : bool, default=False
        The server rejected the request without running it.
    answer_bytes : int, default=0
        Length of the answer's body; 0 when unknown.
    """

    status: int = 0
    latency_s: float = 0.0
    head_latency_s: float = 0.0
    failed: bool = False
    not_run: bool = False
    response_bytes: int = 0


class _Latency:
    __slots__ = ("mean_s", "updated")

    def __init__(self, mean_s: float, updated: float) -> None:
        self.mean_s = mean_s
        self.updated = updated


class ServerView:
    """What this gateway knows about one backend server.

    Parameters
    ----------
    server : BackendServer
        Announcement with operators' labels applied.
    now : float
        Present time in seconds.
    warm : bool, default=False
        The server is taken to run already, so its weight does not ramp up.
    """

    def __init__(self, server: BackendServer, now: float, warm: bool = False) -> None:
        self.server = server
        self.groups: tuple[str, ...] = ()
        self.first_seen = -math.inf if warm else now
        self.generation = 0
        self.gone = False
        self.in_flight = 0
        self.last_started = -math.inf
        self.report: LoadReport | None = None
        self.report_at = -math.inf
        self.trial_at = -math.inf
        self.trial_failures = 0
        self.reports_exclude_sender = False
        self._own_at_report = 0
        self._error_rate = 0.0
        self._error_at = now
        self._latencies: dict[str, _Latency] = {}
        self._started: dict[str, list[float]] = {}

    @property
    def server_id(self) -> str:
        """Name of the server."""
        return self.server.server_id

    @property
    def draining(self) -> bool:
        """Whether the server takes no new work."""
        return self.server.draining

    @property
    def slots(self) -> int:
        """Requests that the server runs at the same time, at least 1."""
        return max(1, self.server.slots)

    def start(self, request_class: str, now: float) -> None:
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.last_started = now
        insort(self._started.setdefault(request_class, []), now)

    def finish(self, request_class: str, outcome: Outcome, now: float) -> None:
        """Count the end of a request and learn from its outcome."""
        self.in_flight = max(0, self.in_flight - 1)
        self._forget_start(request_class, now - outcome.latency_s)
        if outcome.status == 0 and not outcome.failed:
            # Cancelled by the caller or by a hedge: the latency is a lower bound only.
            known = self._latencies.get(request_class)
            if known is not None and outcome.latency_s > known.mean_s:
                self._learn_latency(request_class, outcome.latency_s, now)
            return
        failed = outcome.failed or outcome.status >= 500
        rate = self.error_rate(now)
        self._error_rate = rate + ERROR_WEIGHT * (failed - rate)
        self._error_at = now
        if not failed:
            self._learn_latency(request_class, outcome.latency_s, now)

    def count_in_flight(self, request_classes: Iterable[str]) -> int:
        """Return this gateway's own requests of some classes on the server."""
        return sum(len(self._started.get(name, ())) for name in request_classes)

    def observe_report(
        self, report: LoadReport, now: float, response: bool = False
    ) -> None:
        """Take a load report that arrived just now.

        Parameters
        ----------
        report : LoadReport
            Report.
        now : float
            Present time in seconds.
        response : bool, default=False
            The report came with the response to a request that is still counted in
            `in_flight`. A server that ever reports 0 there does not count the request
            that it answers.
        """
        self.report = report
        self.report_at = now
        if response and report.in_flight == 0:
            self.reports_exclude_sender = True
        excluded = response and self.reports_exclude_sender
        self._own_at_report = self.in_flight - excluded

    def measure_queueing(self, now: float) -> float:
        """Return the factor by which queueing on the server lengthened a response.

        By Little's law a request that finds all slots busy takes requests per slot
        times its service time.
        """
        reported = self.reported_in_flight()
        if reported is None or now - self.report_at > FRESH_REPORT_S:
            return 1.0
        return max(1.0, (reported + self.reports_exclude_sender) / self.slots)

    def reported_in_flight(self) -> float | None:
        """Return requests on the server by its last report, within bounds."""
        if self.report is None:
            return None
        load = self.report.in_flight
        if load is None:
            load = (self.report.utilization or 0.0) * self.slots
        return min(load, REPORT_CEILING * self.slots)

    def estimate_in_flight(self, now: float, typical_utilization: float = 0.0) -> float:
        """Estimate requests on the server from all gateways.

        Parameters
        ----------
        now : float
            Present time in seconds.
        typical_utilization : float, default=0.0
            Typical reported utilization of the group, which stands in for a report
            that is missing or old.

        Returns
        -------
        float
            Requests; never below this gateway's own count.
        """
        fallback = typical_utilization * self.slots
        reported = self.reported_in_flight()
        if reported is None:
            return max(self.in_flight, fallback)
        weight = math.exp(-max(0.0, now - self.report_at) / REPORT_DECAY_S)
        current = reported + self.in_flight - self._own_at_report
        return max(self.in_flight, weight * current + (1 - weight) * fallback)

    def estimate_slowdown(self, now: float, typical: float) -> float:
        """Return how many times longer than usual work takes on the server.

        Parameters
        ----------
        now : float
            Present time in seconds.
        typical : float
            Mean of the group, which stands in for a report that is missing or old.
        """
        if self.report is None or self.report.slowdown is None:
            return typical
        age_s = max(0.0, now - self.report_at)
        weight = math.exp(-age_s / SLOWDOWN_DECAY_S)
        return typical + weight * (self.report.slowdown - typical)

    def error_rate(self, now: float) -> float:
        """Return the share of recent requests that failed, decayed to the present."""
        idle = max(0.0, now - self._error_at)
        return self._error_rate * math.exp(-idle / ERROR_DECAY_S)

    def is_failing(self, now: float) -> bool:
        """Tell whether too many recent requests failed, however idle the server is."""
        return self.error_rate(now) >= FAILING_RATE

    def forgive(self) -> None:
        """Quarter the error rate after a successful trial request."""
        self._error_rate /= 4

    def estimate_latency(
        self, request_class: str, now: float, mean_s: float, tail_s: float
    ) -> float:
        """Estimate the latency of the next request of a class.

        Requests that are still running count as soon as they are older than the
        group's tail, because a server that has become slow sends no responses to
        learn from.

        Parameters
        ----------
        request_class : str
            Class of the request.
        now : float
            Present time in seconds.
        mean_s : float
            Mean latency of the class in the group, in seconds.
        tail_s : float
            Latency that few requests of the class exceed, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        known = self._latencies.get(request_class)
        estimate = mean_s
        if known is not None:
            weight = math.exp(-max(0.0, now - known.updated) / LATENCY_DECAY_S)
            estimate += weight * (known.mean_s - mean_s)
        started = self._started.get(request_class)
        if started:
            age = now - started[0]
            if age > tail_s:
                estimate = max(estimate, age)
        return estimate

    def ramp_weight(self, now: float) -> float:
        """Return the weight of a starting server, from 0.1 to 1."""
        return min(1.0, max(RAMP_FLOOR, (now - self.first_seen) / RAMP_S))

    def _learn_latency(self, request_class: str, latency_s: float, now: float) -> None:
        report = self.report
        if report is not None and report.slowdown and now - self.report_at < 0.01:
            latency_s /= report.slowdown
        known = self._latencies.get(request_class)
        if known is None:
            self._latencies[request_class] = _Latency(latency_s, now)
            return
        known.mean_s += LATENCY_WEIGHT * (latency_s - known.mean_s)
        known.updated = now

    def _forget_start(self, request_class: str, started_at: float) -> None:
        started = self._started.get(request_class)
        if not started:
            return
        index = bisect_left(started, started_at)
        if index == len(started) or (
            index > 0 and started_at - started[index - 1] < started[index] - started_at
        ):
            index -= 1
        del started[index]
