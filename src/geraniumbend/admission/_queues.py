from __future__ import annotations

import itertools
from bisect import bisect_left, insort
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class Waiting:
    """One queued request.

    Parameters
    ----------
    rank : float
        Effective rank; lower goes first.
    number : int
        Order of arrival.
    caller : str
        Caller.
    deadline : float
        Time by which the response must be complete, in seconds.
    since : float
        Time of arrival in seconds.
    service_s : float
        Expected service time in seconds.
    woken : asyncio.Future
        Completed when the request may run or is refused.
    """

    __slots__ = (
        "caller",
        "deadline",
        "number",
        "rank",
        "service_s",
        "since",
        "woken",
    )

    def __init__(
        self,
        rank: float,
        number: int,
        caller: str,
        deadline: float,
        since: float,
        service_s: float,
        woken: asyncio.Future[None],
    ) -> None:
        self.rank = rank
        self.number = number
        self.caller = caller
        self.deadline = deadline
        self.since = since
        self.service_s = service_s
        self.woken = woken

    @property
    def key(self) -> tuple[float, int]:
        """Sort key."""
        return (self.rank, self.number)

    def can_finish(self, now: float) -> bool:
        """Tell whether the response can be complete in time."""
        return now + self.service_s <= self.deadline


class RankedQueue:
    """Requests of one group ordered by rank, then arrival."""

    def __init__(self) -> None:
        self._entries: list[Waiting] = []
        self._callers: Counter[str] = Counter()
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def next_number(self) -> int:
        """Return the next number of arrival."""
        return next(self._numbers)

    def count_caller(self, caller: str) -> int:
        """Return the queued requests of a caller."""
        return self._callers[caller]

    def count_before(self, rank: float) -> int:
        """Return the queued requests that go before a new one of a rank."""
        return bisect_left(self._entries, rank, key=lambda entry: entry.rank)

    def add(self, entry: Waiting) -> None:
        """Queue a request."""
        insort(self._entries, entry, key=lambda entry: entry.key)
        self._callers[entry.caller] += 1

    def pop_first(self) -> Waiting:
        """Remove and return the request with the lowest rank."""
        return self._remove_at(0)

    def pop_last(self) -> Waiting:
        """Remove and return the request with the highest rank."""
        return self._remove_at(-1)

    def remove(self, entry: Waiting) -> None:
        """Remove a request if it is still queued."""
        index = bisect_left(self._entries, entry.key, key=lambda entry: entry.key)
        if index < len(self._entries) and self._entries[index] is entry:
            self._remove_at(index)

    def pop_hopeless(self, now: float) -> list[Waiting]:
        """Remove and return the requests that cannot finish in time any more."""
        hopeless = [entry for entry in self._entries if not entry.can_finish(now)]
        for entry in hopeless:
            self.remove(entry)
        return hopeless

    def _remove_at(self, index: int) -> Waiting:
        entry = self._entries.pop(index)
        self._callers[entry.caller] -= 1
        if not self._callers[entry.caller]:
            del self._callers[entry.caller]
        return entry
