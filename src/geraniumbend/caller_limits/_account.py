"""Account of the bytes that a process holds for unfinished work of callers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Parts of the limit at which reading stops and goes on again.
FULL_SHARE = 0.75
RESUME_SHARE = 0.6
# A connection that holds no more is always read: a head of the largest legal size with
# what the connection itself takes.
SMALL_BYTES = 32 * 1024
# Ticks for which the account has to be full before a connection is closed for it, and
# without a byte after which a connection counts as silent.
STALL_TICKS = 4
# Ticks after which a slow connection is not closed singly any more.
LONG_SLOW_TICKS = 4 * STALL_TICKS
# Silent, idle and slow connections that are closed with one that is too many, as a part
# of the limit. Otherwise each new connection of a crowd would sort all others.
SPARE_DIVISOR = 32
# Part of the connections for callers whose first request is on its way. Without it,
# connections between requests would keep all new callers out.
NEWCOMER_DIVISOR = 8
# Bytes passed on lately below which a connection that waits for its caller is slow:
# about 1 KiB/s.
SLOW_BYTES = 256
# Part of the bytes or connections above which one source is looked at first.
SOURCE_SHARE = 0.5


class AccountLimits(NamedTuple):
    """Limits of an account.

    Parameters
    ----------
    held_bytes : int
        Bytes that may be held for unfinished work.
    connections : int
        Open connections; 0 sets no limit.
    """

    held_bytes: int
    connections: int


class Holding:
    """What one connection holds.

    Parameters
    ----------
    number : int
        Number of the connection, in the order of their opening.
    source : str
        IP address of the caller.
    listener : str
        Name of the listener.

    Attributes
    ----------
    held : int
        Bytes held for unfinished work.
    moved : int
        Bytes that were passed on or delivered lately; halved with each tick.
    received : int
        Bytes that arrived lately; halved with each tick.
    moved_tick : int
        Tick at which bytes were last received, passed on or delivered.
    rank : int
        0 before the first whole request, 1 between requests, 2 while one is handled.
    waits_for_caller : bool
        Whether the next bytes of a body, or the reading of a response, are up to the
        caller.
    slow_ticks : int
        Ticks for which the connection has waited for its caller and passed on less
        than `SLOW_BYTES`.
    """

    __slots__ = (
        "held",
        "listener",
        "moved",
        "moved_tick",
        "number",
        "rank",
        "received",
        "slow_ticks",
        "source",
        "waits_for_caller",
    )

    def __init__(self, number: int, source: str, listener: str) -> None:
        self.number = number
        self.source = source
        self.listener = listener
        self.held = 0
        self.moved = 0
        self.received = 0
        self.moved_tick = 0
        self.rank = 0
        self.waits_for_caller = False
        self.slow_ticks = 0


class Closing(NamedTuple):
    """A connection to close.

    Parameters
    ----------
    holding : Holding
        What it holds.
    reason : str
        ``bytes``, ``stalled`` or ``connections``.
    """

    holding: Holding
    reason: str


class CallerAccount:
    """Account of a process; decides who is not read, and who is closed.

    While less than `FULL_SHARE` of the limit is held, everything is read and nothing
    closed. From then on, connections that hold more than `SMALL_BYTES` are not read,
    except one at a time, so that a single request of any legal size ends. Whoever has
    made the least progress for its bytes is closed if that does not help, or at once
    above the limit.

    Parameters
    ----------
    limits : AccountLimits
        Limits; may be replaced.
    """

    def __init__(self, limits: AccountLimits) -> None:
        self.limits = limits
        self.total = 0
        self.is_full = False
        self._holdings: dict[int, Holding] = {}
        self._opened = 0
        self._ticks = 0
        self._full_ticks = 0
        self._preferred: Holding | None = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._holdings)

    def open(self, source: str, listener: str) -> Holding:
        """Return the holding of a new connection."""
        self._opened += 1
        holding = Holding(self._opened, source, listener)
        holding.moved_tick = self._ticks
        self._holdings[holding.number] = holding
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection; does nothing if it is removed already."""
        if self._holdings.pop(holding.number, None) is None:
            return
        if self._preferred is holding:
            self._preferred = None
        self.total -= holding.held
        self._note_total()

    def update(self, holding: Holding, held: int) -> None:
        """Set the bytes that an open connection holds."""
        if holding.number in self._holdings:
            self.total += held - holding.held
            holding.held = held
            self._note_total()

    def note_received(self, holding: Holding, size: int) -> None:
        """Note bytes that have arrived."""
        holding.received += size
        holding.moved_tick = self._ticks

    def note_progress(self, holding: Holding, size: int = 0) -> None:
        """Note bytes that were passed on or delivered."""
        holding.moved += size
        holding.moved_tick = self._ticks

    def may_read(self, holding: Holding) -> bool:
        """Return whether a connection is to be read."""
        if not self.is_full or holding.held <= SMALL_BYTES:
            return True
        if self._preferred is None:
            self._preferred = holding
        return self._preferred is holding

    def tick(self) -> None:
        """Note that a period has passed."""
        self._ticks += 1
        self._full_ticks = self._full_ticks + 1 if self.is_full else 0
        for holding in self._holdings.values():
            holding.moved >>= 1
            holding.received >>= 1
            is_slow = holding.waits_for_caller and holding.moved < SLOW_BYTES
            holding.slow_ticks = holding.slow_ticks + 1 if is_slow else 0
        if self._preferred is not None and not self._preferred.moved:
            self._preferred = None

    def choose_closings(self) -> list[Closing]:
        """Return the connections to close now, in a fixed order; they are removed."""
        closings: list[Closing] = []
        limits = self.limits
        if self.total > limits.held_bytes:
            closings += self._close_for_bytes("bytes")
        elif self._full_ticks >= STALL_TICKS:
            self._full_ticks = 0
            closings += self._close_for_bytes("stalled")
        excess = len(self._holdings) - limits.connections
        if limits.connections and excess > 0:
            stalest = self._sort_by_staleness()
            stale = [h for h in stalest[excess:] if self._is_spare(h)]
            spare = limits.connections // SPARE_DIVISOR
            closings += self._remove(stalest[:excess] + stale[:spare], "connections")
        return closings

    def _sort_by_staleness(self) -> list[Holding]:
        """Return all connections, first those that can best be spared.

        Of a source with most of them, and of all others: those without a request, then
        those between requests, slow ones, the newest without a request, and those with
        a request.
        """
        heavy = self._find_heavy_source(lambda holding: 1)
        newest = sorted(
            (h for h in self._holdings.values() if h.rank == 0),
            key=lambda h: (h.source == heavy, -h.moved_tick, -h.number),
        )
        reserve = max(1, self.limits.connections // NEWCOMER_DIVISOR)
        kept = set(newest[:reserve])

        def stage(holding: Holding) -> int:
            if holding.rank < 2:
                return 3 if holding in kept else holding.rank
            return 2 if holding.slow_ticks >= STALL_TICKS else 4

        return sorted(
            self._holdings.values(),
            key=lambda h: (h.source != heavy, stage(h), h.moved_tick, h.number),
        )

    def _is_spare(self, holding: Holding) -> bool:
        """Tell whether a connection between requests, or without one, stands still.

        So does one that has waited for its caller for long.
        """
        if holding.rank == 2:
            return holding.slow_ticks >= LONG_SLOW_TICKS
        return holding.moved_tick < self._ticks - STALL_TICKS

    def _close_for_bytes(self, reason: str) -> list[Closing]:
        heavy = self._find_heavy_source(lambda holding: holding.held)
        worst = sorted(
            (holding for holding in self._holdings.values() if holding.held),
            key=lambda h: (
                h.held <= SMALL_BYTES,
                h.source != heavy,
                h.moved / h.held,
                -h.held,
                h.number,
            ),
        )
        if reason == "stalled":
            # Small ones are read, and the last large one has nobody to wait for.
            worst = [holding for holding in worst if holding.held > SMALL_BYTES][:-1]
        target = RESUME_SHARE * self.limits.held_bytes
        count, left = 0, float(self.total)
        while count < len(worst) and left > target:
            left -= worst[count].held
            count += 1
        return self._remove(worst[:count], reason)

    def _remove(self, holdings: Iterable[Holding], reason: str) -> list[Closing]:
        closings = [Closing(holding, reason) for holding in holdings]
        for closing in closings:
            self.close(closing.holding)
        return closings

    def _find_heavy_source(self, weigh: Callable[[Holding], int]) -> str | None:
        """Return the source with more than its share, None if there is none.

        A balancer in front of the process hides the sources: all are the same then,
        and the order of the others decides.
        """
        weights: Counter[str] = Counter()
        for holding in self._holdings.values():
            weights[holding.source] += weigh(holding)
        for source, weight in weights.most_common(1):
            if weight > SOURCE_SHARE * weights.total():
                return source
        return None

    def _note_total(self) -> None:
        share = RESUME_SHARE if self.is_full else FULL_SHARE
        self.is_full = self.total > share * self.limits.held_bytes
        if not self.is_full:
            self._preferred = None
