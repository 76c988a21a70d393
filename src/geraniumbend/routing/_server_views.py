"""Statistics of one backend server in this gateway."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.routing._load_reports import LoadReport

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from geraniumbend.model import BackendServer

# Time constant, in seconds, with which the weight of a load report decays from 1.
REPORT_DECAY_S = 1.0
# A report up to this age, in seconds, describes the queue that the response at hand
# went through.
FRESH_REPORT_S = 1.0
# Reported requests are cut to this many per slot, so that the effect of a false high
# report ends when the weight of the report has decayed.
REPORT_CEILING = 4.0
# Weight of a new latency in the moving average of its request class.
LATENCY_WEIGHT = 0.2
# Requests per slot from which a server counts as full: its queue holds as many requests
# as it runs. Servers may reset connections while their queue is full.
FULL_LOAD = 2.0
# Time constant, in seconds, with which a latency estimate without new samples returns
# to the group's mean.
LATENCY_DECAY_S = 10.0
# Time constant, in seconds, with which the estimated slowdown of a server returns from
# its last report to the group's mean.
SLOWDOWN_DECAY_S = 0.2
# Weight of a new outcome in the error rate, and the time constant of the decay of that
# rate, in seconds.
ERROR_WEIGHT = 0.15
ERROR_DECAY_S = 8.0
# A server with at least this share of failed requests counts as failing: it is passed
# over while other servers can be used.
FAILING_RATE = 0.2
# Slow start: the weight of a new server grows from RAMP_FLOOR to 1 in RAMP_S seconds.
RAMP_S = 10.0
RAMP_FLOOR = 0.1
# Length of the time slices of slow start, in seconds. In a share of the slices equal to
# its weight, a new server competes like the others. A low weight alone would rank it
# behind every idle server, so it would get nothing while the group is lightly loaded.
RAMP_SLICE_S = 0.05


class Outcome(NamedTuple):
    """Outcome of one request to a backend server.

    Parameters
    ----------
    status : int, default=0
        HTTP status; 0 when there was no response. A status of 0 without `failed`
        means that the request was cancelled.
    latency_s : float, default=0.0
        Time from sending to the end of the response, in seconds.
    head_latency_s : float, default=0.0
        Time from sending to the response headers, in seconds.
    failed : bool, default=False
        The server sent no valid response.
    not_run : bool, default=False
        The server refused the request without running it, or it was never written.
    response_bytes : int, default=0
        Length of the response body; 0 when unknown.
    """

    status: int = 0
    latency_s: float = 0.0
    head_latency_s: float = 0.0
    failed: bool = False
    not_run: bool = False
    response_bytes: int = 0


class _LatencyEstimate:
    __slots__ = ("mean_s", "updated")

    def __init__(self, mean_s: float, updated: float) -> None:
        self.mean_s = mean_s
        self.updated = updated


class ServerView:
    """Load, latency and error statistics of one backend server in this gateway.

    Parameters
    ----------
    server : BackendServer
        Announcement of the server, with the operators' label overrides applied.
    now : float
        Present time in seconds.
    already_running : bool, default=False
        The server is assumed to have run before this gateway saw it, so it gets full
        weight without slow start.
    """

    def __init__(
        self, server: BackendServer, now: float, already_running: bool = False
    ) -> None:
        self.server = server
        self.groups: tuple[str, ...] = ()
        self.first_seen = -math.inf if already_running else now
        self.generation = 0
        self.address_reused = False
        self.leaving = False
        self.resting = False
        self.in_flight = 0
        self.last_started = -math.inf
        self.report: LoadReport | None = None
        self.report_at = -math.inf
        self.last_trial_at = -math.inf
        self.trial_failures = 0
        self.reports_exclude_sender = False
        self._own_in_flight_at_report = 0
        self._ramp_slice = -1
        self._ramp_slice_admits = True
        self._error_rate = 0.0
        self._error_at = now
        self._latencies: dict[str, _LatencyEstimate] = {}
        self._started: dict[str, list[float]] = {}

    @property
    def server_id(self) -> str:
        """Id of the server."""
        return self.server.server_id

    @property
    def draining(self) -> bool:
        """Whether the server accepts no new requests, as it announces or responds."""
        return self.server.draining or self.leaving or self.resting

    @property
    def slots(self) -> int:
        """Requests that the server runs at the same time, at least 1."""
        return max(1, self.server.slots)

    def start(self, request_class: str, now: float) -> None:
        """Count a request as in flight on the server."""
        self.in_flight += 1
        self.last_started = now
        insort(self._started.setdefault(request_class, []), now)

    def finish(self, request_class: str, outcome: Outcome, now: float) -> None:
        """Count a request as ended and update latency and error rate."""
        self.in_flight = max(0, self.in_flight - 1)
        self._remove_start(request_class, now - outcome.latency_s)
        if outcome.status == 0 and not outcome.failed:
            # The request was cancelled by the caller or lost to a hedge, so its latency
            # is only a lower bound and may raise the estimate but not lower it.
            # One that was never written says nothing.
            latency = None if outcome.not_run else self._latencies.get(request_class)
            if latency is not None and outcome.latency_s > latency.mean_s:
                self._update_latency(request_class, outcome.latency_s, now)
            return
        failed = outcome.failed or outcome.status >= 500
        rate = self.error_rate(now)
        self._error_rate = rate + ERROR_WEIGHT * (failed - rate)
        self._error_at = now
        if not failed:
            self._update_latency(request_class, outcome.latency_s, now)

    def count_in_flight(self, request_classes: Iterable[str]) -> int:
        """Return how many of this gateway's requests of some classes are in flight."""
        return sum(len(self._started.get(name, ())) for name in request_classes)

    def observe_report(
        self, report: LoadReport, now: float, response: bool = False
    ) -> None:
        """Record a load report that has just arrived.

        Parameters
        ----------
        report : LoadReport
            Report.
        now : float
            Present time in seconds.
        response : bool, default=False
            The report came with the response to a request that is still counted in
            `in_flight`. A server that reports 0 in such a case leaves the request
            that it responds to out of its count; this is remembered for later reports.
        """
        self.report = report
        self.report_at = now
        if response and report.in_flight == 0:
            self.reports_exclude_sender = True
        excluded = response and self.reports_exclude_sender
        self._own_in_flight_at_report = self.in_flight - excluded

    def measure_queueing(self, now: float) -> float:
        """Return the latency of a request relative to its service time.

        By Little's law, the latency on a full server is the number of requests per slot
        times the service time. The factor is 1 on a server with a free slot or without
        a recent report.
        """
        reported = self.reported_in_flight()
        if reported is None or now - self.report_at > FRESH_REPORT_S:
            return 1.0
        return max(1.0, (reported + self.reports_exclude_sender) / self.slots)

    def reported_in_flight(self) -> float | None:
        """Return the requests on the server by its last report, cut to the ceiling.

        None without a report. A report of utilization alone is converted by the slots.
        """
        if self.report is None:
            return None
        load = self.report.in_flight
        if load is None:
            load = (self.report.utilization or 0.0) * self.slots
        return min(load, REPORT_CEILING * self.slots)

    def estimate_in_flight(self, now: float, median_utilization: float = 0.0) -> float:
        """Estimate how many requests of all gateways are on the server.

        Parameters
        ----------
        now : float
            Present time in seconds.
        median_utilization : float, default=0.0
            Median reported utilization of the group, used in place of a report that
            is missing and mixed in as the report ages.

        Returns
        -------
        float
            Requests; at least this gateway's own requests in flight.
        """
        fallback = median_utilization * self.slots
        reported = self.reported_in_flight()
        if reported is None:
            return max(self.in_flight, fallback)
        weight = math.exp(-max(0.0, now - self.report_at) / REPORT_DECAY_S)
        current = reported + self.in_flight - self._own_in_flight_at_report
        return max(self.in_flight, weight * current + (1 - weight) * fallback)

    def is_full(self, now: float) -> bool:
        """Tell whether at least `FULL_LOAD` requests per slot are on the server.

        Without a recent report only the requests of this gateway count.
        """
        load = float(self.in_flight)
        reported = self.reported_in_flight()
        if reported is not None and now - self.report_at <= FRESH_REPORT_S:
            load = reported + self.in_flight - self._own_in_flight_at_report
        return load >= FULL_LOAD * self.slots

    def has_known_room(self, now: float) -> bool:
        """Tell whether a report of the last `FRESH_REPORT_S` leaves a slot free."""
        return self._has_recent_report(now) and not self._is_busy(now)

    def is_known_busy(self, now: float) -> bool:
        """Tell whether all slots are busy by a report of the last `FRESH_REPORT_S`."""
        return self._has_recent_report(now) and self._is_busy(now)

    def _has_recent_report(self, now: float) -> bool:
        return self.report is not None and now - self.report_at <= FRESH_REPORT_S

    def _is_busy(self, now: float) -> bool:
        return self.estimate_in_flight(now) + 1 > self.slots

    def observe_full(self, now: float) -> None:
        """Record that the server is full, as a report of `FULL_LOAD` would."""
        known = self.reported_in_flight() or 0.0
        load = max(known, FULL_LOAD * self.slots)
        slowdown = None if self.report is None else self.report.slowdown
        self.observe_report(LoadReport(load, self.slots, slowdown=slowdown), now)

    def estimate_slowdown(self, now: float, group_mean: float) -> float:
        """Estimate the slowdown of the server: duration of work over its baseline.

        Parameters
        ----------
        now : float
            Present time in seconds.
        group_mean : float
            Mean slowdown of the group, used in place of a report that is missing and
            mixed in as the report ages.
        """
        if self.report is None or self.report.slowdown is None:
            return group_mean
        age_s = max(0.0, now - self.report_at)
        weight = math.exp(-age_s / SLOWDOWN_DECAY_S)
        return group_mean + weight * (self.report.slowdown - group_mean)

    def error_rate(self, now: float) -> float:
        """Return the moving average of failed requests, decayed to the present."""
        idle = max(0.0, now - self._error_at)
        return self._error_rate * math.exp(-idle / ERROR_DECAY_S)

    def is_failing(self, now: float) -> bool:
        """Tell whether too many recent requests failed, whatever the load is."""
        return self.error_rate(now) >= FAILING_RATE

    def reduce_error_rate(self) -> None:
        """Divide the error rate by 4, after a successful trial request."""
        self._error_rate /= 4

    def estimate_latency(
        self, request_class: str, now: float, mean_s: float, tail_s: float
    ) -> float:
        """Estimate the latency of the next request of a class.

        The age of the oldest request in flight is a lower bound of the estimate once it
        exceeds the group's tail latency. A server that has become slow sends no
        responses, so completed requests alone would not show it.

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
            Latency in seconds.
        """
        latency = self._latencies.get(request_class)
        estimate = mean_s
        if latency is not None:
            weight = math.exp(-max(0.0, now - latency.updated) / LATENCY_DECAY_S)
            estimate += weight * (latency.mean_s - mean_s)
        started = self._started.get(request_class)
        if started:
            age = now - started[0]
            if age > tail_s:
                estimate = max(estimate, age)
        return estimate

    def ramp_weight(self, now: float) -> float:
        """Return the slow-start weight of the server, from `RAMP_FLOOR` to 1."""
        return min(1.0, max(RAMP_FLOOR, (now - self.first_seen) / RAMP_S))

    def draw_ramp_weight(self, now: float, rng: random.Random) -> float:
        """Return 1 in a share of time slices equal to the slow-start weight.

        In the other slices the slow-start weight itself is returned.

        Parameters
        ----------
        now : float
            Present time in seconds.
        rng : random.Random
            Decides once for each time slice.
        """
        weight = self.ramp_weight(now)
        if weight >= 1.0:
            return 1.0
        current = int(now / RAMP_SLICE_S)
        if current != self._ramp_slice:
            self._ramp_slice = current
            self._ramp_slice_admits = rng.random() < weight
        return 1.0 if self._ramp_slice_admits else weight

    def _update_latency(self, request_class: str, latency_s: float, now: float) -> None:
        report = self.report
        if report is not None and report.slowdown and now - self.report_at < 0.01:
            latency_s /= report.slowdown
        latency = self._latencies.get(request_class)
        if latency is None:
            self._latencies[request_class] = _LatencyEstimate(latency_s, now)
            return
        latency.mean_s += LATENCY_WEIGHT * (latency_s - latency.mean_s)
        latency.updated = now

    def _remove_start(self, request_class: str, started_at: float) -> None:
        started = self._started.get(request_class)
        if not started:
            return
        index = bisect_left(started, started_at)
        if index == len(started) or (
            index > 0 and started_at - started[index - 1] < started[index] - started_at
        ):
            index -= 1
        del started[index]
