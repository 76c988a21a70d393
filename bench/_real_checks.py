"""Records and checks what is seen from outside in the real-machine soak."""

from __future__ import annotations

import bisect
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from bench._soak_invariants import InvariantChecker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench._real_process import HostProcess

# Span over which the worst share is taken, and the span and share of a recovery.
WORST_SPAN_S = 10.0
BACK_SPAN_S = 1.0
BACK_SHARE = 0.95
MIN_REQUESTS = 10


class Sent(NamedTuple):
    """Request of a caller that has ended, and whether it was served."""

    sent_s: float
    is_served: bool


class Observations:
    """What callers, operators and the platform see of one cluster.

    Attributes
    ----------
    invariants : InvariantChecker
        Checks of requests, and all violations.
    acknowledged : dict of int to float
        Monotonic time of the acknowledgement by number of the change, in seconds.
    sent_changes : int
        Number of the newest change that was sent; the first one is 1.
    counts : Counter
        Figures by name.
    """

    def __init__(self) -> None:
        self.invariants = InvariantChecker()
        self.acknowledged: dict[int, float] = {}
        self.sent_changes = 0
        self.counts: Counter[str] = Counter()
        self.back_within_s: list[float] = []
        self.formed_within_s = 0.0
        self.ends: list[str] = []
        self.drawn: list[str] = []
        self.events: list[tuple[float, str]] = []
        self._start_s = time.monotonic()
        self._ended: list[Sent] = []
        self._pending: dict[int, float] = {}

    def report(self, invariant: str, detail: str) -> None:
        """Record a violation and count it."""
        self.counts[invariant] += 1
        self.record_event(f"violation: {invariant}: {detail}")
        self.invariants.report(invariant, detail)

    def record_end(self, host: HostProcess, code: int) -> None:
        """Record a process that ended by itself."""
        lines = host.read_last_lines()
        self.ends.append(f"{host.name} code {code}: {lines}")
        self.report("ended_by_themselves", self.ends[-1])

    def record_event(self, text: str) -> None:
        """Record what is done to a host, with the time in seconds."""
        self.events.append((round(time.monotonic() - self._start_s, 3), text))

    def record_sent(self, number: int) -> float:
        """Record that a caller sends a request; return the time in seconds."""
        self._pending[number] = time.monotonic()
        return self._pending[number]

    def record_answer(self, number: int, is_served: bool) -> None:
        """Record how a request of a caller ended."""
        self._ended.append(Sent(self._pending.pop(number), is_served))

    def record_acknowledgement(self, change: int) -> None:
        """Record that a change was acknowledged."""
        self.acknowledged.setdefault(change, time.monotonic())

    def get_acknowledged(self, until_s: float) -> int:
        """Return the newest change acknowledged until a monotonic time, 0 if none."""
        times = self.acknowledged.items()
        return max((n for n, time_s in times if time_s <= until_s), default=0)

    def is_back(self, since_s: float) -> float | None:
        """Return the first time since which enough requests are served, or None.

        Only requests that have ended count, in spans in which none is pending.
        """
        until_s = min(self._pending.values(), default=time.monotonic())
        ended = sorted(sent for sent in self._ended if since_s <= sent.sent_s < until_s)
        for start, sent in enumerate(ended):
            end_s = sent.sent_s + BACK_SPAN_S
            if end_s > until_s:
                return None
            if sent.is_served and _share(ended[start:], end_s) >= BACK_SHARE:
                return sent.sent_s
        return None

    def measure_worst_share(self) -> float:
        """Return the least share served of the requests sent in `WORST_SPAN_S`."""
        ended = sorted(self._ended)
        if not ended:
            return 0.0
        last_s = ended[-1].sent_s
        shares = [
            _share(ended[start:], sent.sent_s + WORST_SPAN_S)
            for start, sent in enumerate(ended)
            if not start % MIN_REQUESTS and sent.sent_s + WORST_SPAN_S <= last_s
        ]
        return min(shares, default=_share(ended, float("inf"), 1))

    def summarize(self) -> dict[str, Any]:
        """Return the figures."""
        fields = (
            "rounds",
            "ended_by_themselves",
            "not_ready",
            "late_acknowledgements",
            "lost",
            "reverted",
            "not_in_force",
            "invalid_accepted",
        )
        return {
            **{name: self.counts[name] for name in fields},
            "served_share_worst_10_s": round(self.measure_worst_share(), 3),
            "back_within_s_max": round(max(self.back_within_s, default=0.0), 2),
            "formed_within_s": round(self.formed_within_s, 2),
            "requests": len(self._ended),
            "statuses": dict(sorted(self.invariants.statuses.items())),
            "changes": len(self.acknowledged),
            "faults": self.drawn,
        }


def _share(ended: Sequence[Sent], until_s: float, least: int = MIN_REQUESTS) -> float:
    """Return the share served of the first requests of a sorted list, 0 if too few."""
    count = bisect.bisect_left(ended, until_s, key=lambda sent: sent.sent_s)
    if count < least:
        return 0.0
    return sum(sent.is_served for sent in ended[:count]) / count
