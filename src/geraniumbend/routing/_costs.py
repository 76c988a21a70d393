from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from geraniumbend.timers import TimerService

# Length of the memory of request rates, in seconds.
MEMORY_S = 10.0
# Weight of one more latency in the mean of its class once enough were seen.
MEAN_WEIGHT = 0.015
# A class is long when its cost exceeds the typical cost this many times. Below the
# second factor it is short again; the gap keeps a class from changing back and forth.
LONG_FACTOR = 4.0
SHORT_FACTOR = 3.0
TAIL_QUANTILE = 0.95


class ClassCost:
    """Learned cost of one request class in one group."""

    __slots__ = (
        "_latency_s",
        "_queueing",
        "count",
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
        self.tail_s = 0.0
        self.rate = 0.0
        self.updated = 0.0

    def observe(self, latency_s: float, queueing: float, now: float) -> None:
        """Take one latency in seconds and the factor that queueing made it longer by.

        The mean is the quotient of the means: the factor is the one at the end of
        the request, which on average but not for each request equals that at its
        start, and a mean of quotients would come out too high.
        """
        self.count += 1
        weight = max(MEAN_WEIGHT, 1 / self.count)
        self._latency_s += weight * (latency_s - self._latency_s)
        self._queueing += weight * (queueing - self._queueing)
        self.mean_s = self._latency_s / self._queueing
        latency_s /= queueing
        if self.count == 1:
            self.tail_s = 2 * latency_s
        # Stochastic approximation of the quantile: steps up and down balance when
        # the stated share of latencies lies below the estimate.
        step = 0.05 * self.mean_s
        above = latency_s > self.tail_s
        self.tail_s += step * (TAIL_QUANTILE if above else TAIL_QUANTILE - 1)
        self.tail_s = max(self.tail_s, self.mean_s)
        self.rate = self.current_rate(now) + 1 / MEMORY_S
        self.updated = now

    def current_rate(self, now: float) -> float:
        """Return requests per second, decayed to the present."""
        return self.rate * math.exp(-max(0.0, now - self.updated) / MEMORY_S)


class RequestCosts:
    """Request costs learned by group and request class.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._costs: dict[str, dict[str, ClassCost]] = {}
        self._long: dict[str, set[str]] = {}
        self._judged: dict[str, float] = {}

    def observe(
        self, group: str, request_class: str, latency_s: float, queueing: float = 1.0
    ) -> None:
        """Take the cost of one answered request.

        Parameters
        ----------
        group : str
            Name of the group.
        request_class : str
            Class of the request.
        latency_s : float
            Time from sending to the end of the response, in seconds.
        queueing : float, default=1.0
            Factor by which queueing on the server lengthened it.
        """
        classes = self._costs.setdefault(group, {})
        cost = classes.get(request_class)
        if cost is None:
            cost = classes[request_class] = ClassCost()
        cost.observe(latency_s, queueing, self._timers.now())

    def observe_size(self, group: str, request_class: str, size: int) -> None:
        """Take the length of one answer in bytes; after the answer's cost."""
        cost = self.cost(group, request_class)
        if cost is not None:
            weight = max(MEAN_WEIGHT, 1 / max(1, cost.count))
            cost.response_bytes += weight * (size - cost.response_bytes)

    def cost(self, group: str, request_class: str) -> ClassCost | None:
        """Return what is known of a class, or None."""
        return self._costs.get(group, {}).get(request_class)

    def mean_s(self, group: str, request_class: str, unknown_s: float = 0.1) -> float:
        """Return the mean cost of a class in seconds."""
        cost = self.cost(group, request_class)
        return cost.mean_s if cost is not None else unknown_s

    def is_long(self, group: str, request_class: str) -> bool:
        """Tell whether a class runs many times longer than is typical here."""
        return request_class in self.long_classes(group)

    def long_classes(self, group: str) -> set[str]:
        """Return the classes that run many times longer than is typical here."""
        now = self._timers.now()
        if now - self._judged.get(group, -math.inf) >= 0.2:
            self._judged[group] = now
            self._judge(group, now)
        return self._long.get(group, set())

    def long_share(self, group: str) -> float:
        """Return the share of long classes in the work of a group."""
        now = self._timers.now()
        long = self.long_classes(group)
        total = long_work = 0.0
        for name, cost, rate in self._rated(group, now):
            total += rate * cost.mean_s
            long_work += rate * cost.mean_s if name in long else 0.0
        return long_work / total if total > 0 else 0.0

    def _rated(self, group: str, now: float) -> Iterator[tuple[str, ClassCost, float]]:
        for name, cost in self._costs.get(group, {}).items():
            yield name, cost, cost.current_rate(now)

    def _judge(self, group: str, now: float) -> None:
        rated = sorted(self._rated(group, now), key=lambda entry: entry[1].mean_s)
        half = sum(rate for _, _, rate in rated) / 2
        typical = 0.0
        for _, cost, rate in rated:
            typical = cost.mean_s
            half -= rate
            if half <= 0:
                break
        before = self._long.get(group, set())
        self._long[group] = {
            name
            for name, cost, _ in rated
            if cost.mean_s > typical * (SHORT_FACTOR if name in before else LONG_FACTOR)
        }
