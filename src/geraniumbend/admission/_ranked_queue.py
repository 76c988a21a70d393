"""Queue of requests ordered by shedding rank."""

from __future__ import annotations

import itertools
from bisect import bisect_left, bisect_right, insort
from collections import Counter
from typing import TYPE_CHECKING

from geraniumbend.caller_waits import compute_max_wait, estimate_wait

if TYPE_CHECKING:
    import asyncio


class QueuedRequest:
    """One queued request.

    Parameters
    ----------
    rank : float
        Effective rank; lower ranks are dequeued first.
    sequence_number : int
        Position in the order of arrival.
    caller : str
        Identity of the caller.
    deadline : float
        Time by which the response must be complete, in seconds.
    queued_at : float
        Time of arrival, in seconds.
    service_s : float
        Mean service time, in seconds.
    response_s : float
        Time within which most responses are complete, in seconds.
    grant : asyncio.Future
        Completed when the request may run; fails with RefusedError if it is refused.
    """

    __slots__ = (
        "caller",
        "deadline",
        "grant",
        "queued_at",
        "rank",
        "response_s",
        "sequence_number",
        "service_s",
    )

    def __init__(
        self,
        rank: float,
        sequence_number: int,
        caller: str,
        deadline: float,
        queued_at: float,
        service_s: float,
        response_s: float,
        grant: asyncio.Future[None],
    ) -> None:
        self.rank = rank
        self.sequence_number = sequence_number
        self.caller = caller
        self.deadline = deadline
        self.queued_at = queued_at
        self.service_s = service_s
        self.response_s = response_s
        self.grant = grant

    @property
    def sort_key(self) -> tuple[float, int]:
        """Rank, then order of arrival."""
        return (self.rank, self.sequence_number)

    def compute_max_wait(self, now: float) -> float:
        """Return how long it can wait and be answered in its caller's time."""
        return compute_max_wait(self.deadline - now, self.response_s)


class RankedQueue:
    """Queued requests of one pool, ordered by rank, then by arrival."""

    def __init__(self) -> None:
        self._entries: list[QueuedRequest] = []
        self._callers: Counter[str] = Counter()
        self._sequence_numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def next_sequence_number(self) -> int:
        """Return the sequence number for the next request to be queued."""
        return next(self._sequence_numbers)

    def count_caller(self, caller: str) -> int:
        """Return the number of queued requests of a caller."""
        return self._callers[caller]

    def sum_work_before(self, rank: float) -> float:
        """Return the service time of the requests that go before a new one of a rank.

        In seconds.
        """
        count = bisect_right(self._entries, rank, key=lambda entry: entry.rank)
        return sum(entry.service_s for entry in self._entries[:count])

    def mean_service_s(self) -> float:
        """Return the mean service time of the queued requests, 0 without any."""
        return self.sum_work() / len(self._entries) if self._entries else 0.0

    def sum_work(self) -> float:
        """Return the service time of all queued requests, in seconds."""
        return sum(entry.service_s for entry in self._entries)

    def add(self, entry: QueuedRequest) -> None:
        """Queue a request."""
        insort(self._entries, entry, key=lambda entry: entry.sort_key)
        self._callers[entry.caller] += 1

    def pop_first(self) -> QueuedRequest:
        """Remove and return the request with the lowest rank."""
        return self._remove_at(0)

    def pop_last(self) -> QueuedRequest:
        """Remove and return the request with the highest rank."""
        return self._remove_at(-1)

    def remove(self, entry: QueuedRequest) -> None:
        """Remove a request if it is still queued."""
        index = bisect_left(
            self._entries, entry.sort_key, key=lambda entry: entry.sort_key
        )
        if index < len(self._entries) and self._entries[index] is entry:
            self._remove_at(index)

    def pop_hopeless(
        self, now: float, slots: float, waiting_s: float = 0.0, busy_s: float = 0.0
    ) -> list[QueuedRequest]:
        """Remove and return the requests that can't be answered in time.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        slots : float
            Slots that work on the queued requests.
        waiting_s : float, default=0.0
            Service time in seconds of the requests that have left the queue and wait
            for a slot.
        busy_s : float, default=0.0
            Time in seconds since a slot became free.
        """
        hopeless = []
        work_s = waiting_s
        service_s = self.mean_service_s()
        for entry in self._entries:
            wait_s = estimate_wait(work_s + entry.service_s, slots, service_s, busy_s)
            max_wait_s = entry.compute_max_wait(now)
            if max_wait_s <= 0 or (work_s and wait_s > max_wait_s):
                hopeless.append(entry)
            else:
                work_s += entry.service_s
        for entry in hopeless:
            self.remove(entry)
        return hopeless

    def _remove_at(self, index: int) -> QueuedRequest:
        entry = self._entries.pop(index)
        self._callers[entry.caller] -= 1
        if not self._callers[entry.caller]:
            del self._callers[entry.caller]
        return entry
