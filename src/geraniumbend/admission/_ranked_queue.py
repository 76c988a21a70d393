"""Queue of requests ordered by shedding rank."""

from __future__ import annotations

import itertools
from bisect import bisect_left, insort
from collections import Counter
from typing import TYPE_CHECKING

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
        Expected service time, in seconds.
    grant : asyncio.Future
        Completed when the request may run; fails with RefusedError if it is refused.
    """

    __slots__ = (
        "caller",
        "deadline",
        "grant",
        "queued_at",
        "rank",
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
        grant: asyncio.Future[None],
    ) -> None:
        self.rank = rank
        self.sequence_number = sequence_number
        self.caller = caller
        self.deadline = deadline
        self.queued_at = queued_at
        self.service_s = service_s
        self.grant = grant

    @property
    def sort_key(self) -> tuple[float, int]:
        """Rank, then order of arrival."""
        return (self.rank, self.sequence_number)

    def can_finish(self, now: float) -> bool:
        """Tell whether the response can be complete before the deadline."""
        return now + self.service_s <= self.deadline


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

    def count_before(self, rank: float) -> int:
        """Return the number of queued requests with a rank below the given one."""
        return bisect_left(self._entries, rank, key=lambda entry: entry.rank)

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

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = [entry for entry in self._entries if not entry.can_finish(now)]
        for entry in expired:
            self.remove(entry)
        return expired

    def _remove_at(self, index: int) -> QueuedRequest:
        entry = self._entries.pop(index)
        self._callers[entry.caller] -= 1
        if not self._callers[entry.caller]:
            del self._callers[entry.caller]
        return entry
