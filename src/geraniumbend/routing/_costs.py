"""Measured costs of request classes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from geraniumbend.timers import TimerService

# Time constant of the decay of request rates, in seconds.
RATE_DECAY_S = 10.0
# Lowest weight of a new latency in the moving average of its class. The first ones have
# a higher weight, so that the average starts as the plain mean.
MEAN_WEIGHT = 0.015
# A class becomes long when its mean service time exceeds LONG_FACTOR times the group's
# median, and short again below SHORT_FACTOR times. The hysteresis keeps a class near
# the boundary from changing back and forth.
LONG_FACTOR = 4.0
SHORT_FACTOR = 3.0
# Time beyond the mean service time that is kept for a response, as a multiple of the
# mean deviation, and its least share of the mean. An order that is cut off at its
# deadline leaves its caller in doubt, and the response has to be read.
DEVIATION_FACTOR = 2.0
MIN_MARGIN_SHARE = 0.25
# Quantile of the service times that is tracked as the tail of a class.
TAIL_QUANTILE = 0.95


class ClassCost:
    """Cost of one request class in one group: service time, rate and response size.

    Service time is latency without the part that is due to queueing on the server.
    """

    __slots__ = (
        "_latency_s",
        "_queueing",
        "count",
        "deviation_s",
        "mean_s",
        "rate",
        "response_bytes",
        "tail_s",
        "updated",
    )

    def __init__(self) -> None:
        self._latency_s = 0.0
        self._queueing = 1.0
        self.response_bytes = 0.0
        self.count = 0
        self.mean_s = 0.0
        # Mean absolute deviation of the service times from their mean.
        self.deviation_s = 0.0
        self.tail_s = 0.0
        self.rate = 0.0
        self.updated = 0.0

    def observe(self, latency_s: float, queueing: float, now: float) -> None:
        """Record one latency in seconds and the factor by which queueing lengthened it.

        The mean service time is the mean latency divided by the mean factor. The
        factor is known for the end of a request only. It equals the factor at the
        start on average but not for each request, so a mean of quotients would be too
        high.
        """
        self.count += 1
        weight = max(MEAN_WEIGHT, 1 / self.count)
        self._latency_s += weight * (latency_s - self._latency_s)
        self._queueing += weight * (queueing - self._queueing)
        self.mean_s = self._latency_s / self._queueing
        latency_s /= queueing
        if self.count == 1:
            self.tail_s = 2 * latency_s
            # As for the first sample of a round-trip time (RFC 6298, 2.2).
            self.deviation_s = latency_s / 2
        else:
            deviation_s = abs(latency_s - self.mean_s)
            self.deviation_s += weight * (deviation_s - self.deviation_s)
        # Stochastic approximation of the quantile: the steps up and down balance when
        # a share of TAIL_QUANTILE of the service times lies below the estimate.
        step = 0.05 * self.mean_s
        above = latency_s > self.tail_s
        self.tail_s += step * (TAIL_QUANTILE if above else TAIL_QUANTILE - 1)
        self.tail_s = max(self.tail_s, self.mean_s)
        self.rate = self.current_rate(now) + 1 / RATE_DECAY_S
        self.updated = now

    @property
    def response_s(self) -> float:
        """Time in seconds within which most responses are complete."""
        return self.mean_s + max(
            DEVIATION_FACTOR * self.deviation_s, MIN_MARGIN_SHARE * self.mean_s
        )

    def current_rate(self, now: float) -> float:
        """Return the rate in requests per second, decayed to the present."""
        return self.rate * math.exp(-max(0.0, now - self.updated) / RATE_DECAY_S)


class RequestCosts:
    """Measured request costs by group and request class.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._costs: dict[str, dict[str, ClassCost]] = {}
        self._long: dict[str, set[str]] = {}
        self._classified_at: dict[str, float] = {}

    def observe(
        self, group: str, request_class: str, latency_s: float, queueing: float = 1.0
    ) -> None:
        """Record the latency of one request that got a response.

        Parameters
        ----------
        group : str
            Name of the group.
        request_class : str
            Class of the request.
        latency_s : float
            Time from sending to the end of the response, in seconds.
        queueing : float, default=1.0
            Factor by which queueing on the server lengthened the latency.
        """
        classes = self._costs.setdefault(group, {})
        cost = classes.get(request_class)
        if cost is None:
            cost = classes[request_class] = ClassCost()
        cost.observe(latency_s, queueing, self._timers.now())

    def observe_size(self, group: str, request_class: str, size: int) -> None:
        """Record the length of one response in bytes.

        Must be called after `observe` of the same response.
        """
        cost = self.cost(group, request_class)
        if cost is not None:
            weight = max(MEAN_WEIGHT, 1 / max(1, cost.count))
            cost.response_bytes += weight * (size - cost.response_bytes)

    def cost(self, group: str, request_class: str) -> ClassCost | None:
        """Return the cost of a class, or None if it was never observed."""
        return self._costs.get(group, {}).get(request_class)

    def mean_s(self, group: str, request_class: str, default_s: float = 0.1) -> float:
        """Return the mean service time of a class, in seconds, or `default_s`."""
        cost = self.cost(group, request_class)
        return cost.mean_s if cost is not None else default_s

    def response_s(self, group: str, request_class: str) -> float:
        """Return the time within which most responses of a class are complete.

        In seconds; 0 when none was observed.
        """
        cost = self.cost(group, request_class)
        return cost.response_s if cost is not None else 0.0

    def is_long(self, group: str, request_class: str) -> bool:
        """Tell whether a class runs many times longer than the group's median."""
        return request_class in self.long_classes(group)

    def long_classes(self, group: str) -> set[str]:
        """Return the classes that run many times longer than the group's median."""
        now = self._timers.now()
        if now - self._classified_at.get(group, -math.inf) >= 0.2:
            self._classified_at[group] = now
            self._classify(group, now)
        return self._long.get(group, set())

    def long_share(self, group: str) -> float:
        """Return the share of long classes in the group's work.

        The work of a class is its rate times its mean service time.
        """
        now = self._timers.now()
        long = self.long_classes(group)
        total = long_work = 0.0
        for name, cost, rate in self._iterate_rates(group, now):
            total += rate * cost.mean_s
            long_work += rate * cost.mean_s if name in long else 0.0
        return long_work / total if total > 0 else 0.0

    def _iterate_rates(
        self, group: str, now: float
    ) -> Iterator[tuple[str, ClassCost, float]]:
        for name, cost in self._costs.get(group, {}).items():
            yield name, cost, cost.current_rate(now)

    def _classify(self, group: str, now: float) -> None:
        rated = sorted(
            self._iterate_rates(group, now), key=lambda entry: entry[1].mean_s
        )
        half = sum(rate for _, _, rate in rated) / 2
        median_s = 0.0
        for _, cost, rate in rated:
            median_s = cost.mean_s
            half -= rate
            if half <= 0:
                break
        previously_long = self._long.get(group, set())
        self._long[group] = {
            name
            for name, cost, _ in rated
            if cost.mean_s
            > median_s * (SHORT_FACTOR if name in previously_long else LONG_FACTOR)
        }
