"""Exchange of demand by rank and tenant among all gateways."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.admission._ranked_demand import (
    Rates,
    add_rates,
    decode_rates,
    encode_rates,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership import Member
    from geraniumbend.timers import Subscription, TimerService

# The number of the format is part of the kind, so that gateways of a build with another
# format ignore the messages. Ranks had one byte in the first format.
ROW_KIND = "ranked-demand-2"
COLUMN_KIND = "ranked-demand-sum-2"
PERIOD_S = 1.0
# A part of the fleet counts up to this age, in seconds.
MAX_AGE_S = 4.0
# Gateways take part this long after a group was crowded for one of them, in seconds.
LINGER_S = 4.0
# Cells in a message; with 95 gateways a round costs each about 6 kB.
MAX_OWN_CELLS = 24
MAX_SUM_CELLS = 48
# Time for which sums are reused, in seconds.
CACHE_S = 0.1
# A message about a crowded group informs for this time, in seconds.
INFORMED_S = 2.0
# Shortest time between two rounds, in seconds.
MIN_PERIOD_S = 0.25
# Least share of the gateways whose demand must be known.
MIN_KNOWN_SHARE = 0.5


class MembershipPort(Protocol):
    """Live gateways and messages between them."""

    name: str

    def list_live_gateways(self) -> list[Member]:
        """Return the live gateways, including this one."""
        ...

    def send_message(self, node: str, kind: str, value: bytes) -> bool:
        """Send a message to one node, without acknowledgement."""
        ...

    def handle_messages(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Set the function that gets sender and content of messages of a kind."""
        ...


class _Part(NamedTuple):
    rates: Rates
    gateways: int
    received_at: float


class DemandExchange:
    """Sums of the demand by rank and tenant over the other gateways.

    The gateways form a grid in the order of their names. Once a second each sends its
    demand along its row and the sum of its row along its column. So every gateway knows
    the demand of all others after two rounds, for two messages to about the square root
    of their number. Nothing is sent while no group is crowded.

    Parameters
    ----------
    membership : Membership
        Live gateways and messages.
    timers : TimerService
        Clock.
    list_own : callable
        Returns the demand of this gateway.
    is_crowded : callable
        Tells whether a group is crowded for this gateway.
    """

    def __init__(
        self,
        membership: MembershipPort,
        timers: TimerService,
        list_own: Callable[[], Rates],
        is_crowded: Callable[[], bool],
    ) -> None:
        self._membership = membership
        self._timers = timers
        self._list_own = list_own
        self._is_crowded = is_crowded
        self._row: dict[str, _Part] = {}
        self._column: dict[str, _Part] = {}
        self._crowded_at = -math.inf
        self._informed_at = -math.inf
        self._sent_at = -math.inf
        self._totals: tuple[float, Rates, float] = (-math.inf, {}, math.inf)
        self._subscription: Subscription | None = None
        self.sent = 0
        membership.handle_messages(ROW_KIND, self._receive_own)
        membership.handle_messages(COLUMN_KIND, self._receive_sum)

    def start(self) -> None:
        """Begin to take part."""
        if self._subscription is None:
            self._subscription = self._timers.every(PERIOD_S, self.send_round, 0.2)

    def stop(self) -> None:
        """Take part no longer."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None
        self._row.clear()
        self._column.clear()

    def sum_others(self) -> tuple[Rates, float]:
        """Return the demand of the other gateways and its age in seconds.

        Gateways whose demand is not known count with the mean of the others. The age is
        infinite while less than `MIN_KNOWN_SHARE` of the gateways are known.
        """
        now = self._timers.now()
        if now - self._totals[0] >= CACHE_S:
            totals, oldest_at = self._compute_totals(now)
            self._totals = (now, totals, oldest_at)
        return self._totals[1], now - self._totals[2]

    def is_informed(self) -> bool:
        """Tell whether another gateway has found a group crowded lately."""
        return self._timers.now() - self._informed_at <= INFORMED_S

    def send_first_round(self) -> None:
        """Send at once when a group has become crowded."""
        if self._timers.now() - self._sent_at >= MIN_PERIOD_S:
            self.send_round()

    def _compute_totals(self, now: float) -> tuple[Rates, float]:
        """Return the demand of the others and the time of its oldest part."""
        if not self._row and not self._column:
            return {}, -math.inf
        names = {member.name for member in self._membership.list_live_gateways()}
        parts = [*self._list_fresh(self._row, now, names)]
        parts += self._list_fresh(self._column, now, names)
        known = sum(part.gateways for part in parts)
        others = len(names | {self._membership.name}) - 1
        if not known or known < MIN_KNOWN_SHARE * others:
            return {}, -math.inf
        scale = max(1.0, others / known)
        totals = add_rates(part.rates for part in parts)
        oldest_at = min(part.received_at for part in parts)
        return {cell: rate * scale for cell, rate in totals.items()}, oldest_at

    def send_round(self) -> None:
        """Send demand along the row and its sum along the column, if it is needed."""
        now = self._timers.now()
        is_crowded = self._is_crowded()
        if is_crowded:
            self._crowded_at = now
        if now - self._crowded_at > LINGER_S:
            return
        self._sent_at = now
        names = sorted(
            {member.name for member in self._membership.list_live_gateways()}
            | {self._membership.name}
        )
        row, column = _find_peers(names, self._membership.name)
        flag = b"\1" if is_crowded else b"\0"
        own = self._list_own()
        message = flag + encode_rates(own, 1, MAX_OWN_CELLS)
        for name in row:
            self.sent += self._membership.send_message(name, ROW_KIND, message)
        parts = self._list_fresh(self._row, now, set(row))
        totals = add_rates([own, *(part.rates for part in parts)])
        message = flag + encode_rates(totals, 1 + len(parts), MAX_SUM_CELLS)
        for name in column:
            self.sent += self._membership.send_message(name, COLUMN_KIND, message)

    def _list_fresh(
        self, parts: dict[str, _Part], now: float, names: set[str]
    ) -> list[_Part]:
        for name in [n for n, p in parts.items() if now - p.received_at > MAX_AGE_S]:
            del parts[name]
        return [part for name, part in parts.items() if name in names]

    def _receive_own(self, node: str, value: bytes) -> None:
        self._store(self._row, node, value)

    def _receive_sum(self, node: str, value: bytes) -> None:
        self._store(self._column, node, value)

    def _store(self, parts: dict[str, _Part], node: str, value: bytes) -> None:
        decoded = decode_rates(value[1:])
        if self._subscription is None or decoded is None:
            return
        now = self._timers.now()
        if value[0]:
            self._crowded_at = self._informed_at = now
        parts[node] = _Part(*decoded, now)


def _find_peers(names: list[str], own: str) -> tuple[list[str], list[str]]:
    """Return the other gateways of the row and of the column of a gateway."""
    width = math.ceil(math.sqrt(len(names)))
    index = names.index(own)
    row, column = divmod(index, width)
    in_row = names[row * width : (row + 1) * width]
    in_column = names[column::width]
    return (
        [name for name in in_row if name != own],
        [name for name in in_column if name != own],
    )
