"""Choice of the gateway that allocates the permits of a server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from xxhash import xxh64_intdigest

from geraniumbend.limits._permit_allocator import SETTLE_S, PermitAllocator

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from geraniumbend.limits._permit_allocator import Grant
    from geraniumbend.membership import Member
    from geraniumbend.timers import TimerService

# Time for which a gateway that disappeared is assumed to spend its part of each limit
# elsewhere, in seconds: it may be cut off and have another allocator on its side.
ABSENCE_S = 30.0
# Interval in seconds at which the live gateways are read. A longer one between two
# reads means that this process was paused.
REFRESH_PERIOD_S = 0.25
PAUSE_S = 1.0
# Time by which a majority goes on for longer, in seconds: the sides of a cut notice it
# some seconds apart, and both would have more than their part in between.
MAJORITY_DELAY_S = 5.0
# Where a minority of the gateways is restricted: time for which a gateway that
# disappeared is remembered, in seconds; part of its share that a minority leaves to the
# majority, which has to serve all callers if the minority was lost and not cut off; and
# part that a minority keeps after `ABSENCE_S`, when the majority grants the whole. All
# minorities together then grant at most a tenth of the whole.
MINORITY_MEMORY_S = 24 * 3600.0
MINORITY_YIELD = 0.1
MINORITY_SHARE = 0.2
# Time after `SETTLE_S` in which the records of a former allocator arrive, in seconds.
RECORDS_SETTLE_S = 2.0


class MembershipPort(Protocol):
    """Processes, messages and records of the cluster."""

    name: str

    def list_live_gateways(self) -> list[Member]:
        """Return the live gateways, including this one."""
        ...

    def known_members(self) -> list[Member]:
        """Return all known processes, also dead and left ones."""
        ...

    def send_message(self, node: str, kind: str, value: bytes) -> bool:
        """Send a message to one node, without acknowledgement."""
        ...

    def handle_messages(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Set the function that gets sender and content of messages of a kind."""
        ...

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes; a lifetime of 0 withdraws it."""
        ...

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Call back with node, key and value; None when a record ended."""
        ...

    def spread_now(self) -> None:
        """Send queued changes to some peers at once."""
        ...


class Allocators:
    """Decides which gateway allocates the permits of a backend server.

    Each server has one allocator, the gateway with the highest rendezvous hash among
    the live ones. Gateways that cannot see each other may choose different ones; each
    then grants only the part of the limit that belongs to the gateways on its side.

    Parameters
    ----------
    membership : Membership
        Live gateways.
    timers : TimerService
        Clock.
    rng : random.Random
        Spreads the times at which gateways ask again.
    minimum_gateways : int, default=1
        Minimum number of gateways to assume; missing ones may be cut off for long.
    restricts_minority : bool, default=False
        Whether a minority of the gateways is still granted less than the whole when it
        has been cut off for longer than `ABSENCE_S`.
    excludes_suspects : bool, default=False
        Whether a gateway is replaced as soon as it is suspected (about 1 s after it was
        lost) and not only when it is declared dead (about 3 s).

    Attributes
    ----------
    fraction : float
        Part of each limit that belongs to the gateways on this side.
    paused_at : float
        Reading of the clock when this process last resumed after a pause.
    """

    def __init__(
        self,
        membership: MembershipPort,
        timers: TimerService,
        rng: random.Random,
        minimum_gateways: int = 1,
        restricts_minority: bool = False,
        excludes_suspects: bool = False,
    ) -> None:
        self._minimum = minimum_gateways
        self._restricts_minority = restricts_minority
        self._excludes_suspects = excludes_suspects
        self._membership = membership
        self._timers = timers
        self._rng = rng
        self._own: dict[str, PermitAllocator] = {}
        self._chosen: dict[str, str] = {}
        self._live: frozenset[str] = frozenset()
        self._domains: dict[str, str] = {}
        self._settled_at = float("-inf")
        self._last_seen: dict[str, float] = {}
        self._known: set[str] = set()
        self.fraction = 1.0
        self.paused_at = float("-inf")
        self._refreshed_at = float("-inf")

    def choose(self, server_id: str, apart_from: str = "") -> str:
        """Return the name of the gateway that allocates a server's permits.

        Parameters
        ----------
        server_id : str
            Backend server, or another key.
        apart_from : str, default=""
            Gateway in whose failure domain the allocator must not be, if there is
            another one; the same in all calls for a key.
        """
        self.refresh()
        chosen = self._chosen.get(server_id)
        if chosen is None:
            chosen = max(
                self._list_candidates(apart_from),
                key=lambda name: (
                    xxh64_intdigest(f"{server_id}\0{name}".encode()),
                    name,
                ),
            )
            self._chosen[server_id] = chosen
        return chosen

    def _list_candidates(self, apart_from: str) -> Iterable[str]:
        """Return the live gateways that are not in the domain of a given one."""
        domain = self._domains.get(apart_from)
        if domain is None:
            return self._live
        elsewhere = [name for name in self._live if self._domains.get(name) != domain]
        return elsewhere or self._live - {apart_from} or self._live

    def count_live(self) -> int:
        """Return the number of live gateways, including this one."""
        return len(self._live)

    def is_own(self, server_id: str) -> bool:
        """Tell whether this gateway allocates a server's permits."""
        return self.choose(server_id) == self._membership.name

    def grant(
        self, server_id: str, node: str, wanted: int, limit_per_s: float
    ) -> Grant | None:
        """Grant permits; None if another gateway allocates those of the server."""
        if not self.is_own(server_id):
            self._own.pop(server_id, None)
            return None
        allocator = self._own.get(server_id)
        if allocator is None:
            allocator = PermitAllocator(self._timers, self._rng, self._settled_at)
            self._own[server_id] = allocator
        return allocator.grant(node, wanted, limit_per_s * self.fraction)

    def is_settled(self) -> bool:
        """Tell whether the live gateways have been the same for a while."""
        self.refresh()
        return self._timers.now() >= self._settled_at + RECORDS_SETTLE_S

    def retain(self, server_ids: Iterable[str]) -> None:
        """Forget the allocators of all servers except the given ones."""
        known = set(server_ids)
        self._own = {name: own for name, own in self._own.items() if name in known}
        self._chosen = {name: at for name, at in self._chosen.items() if name in known}

    def refresh(self) -> None:
        """Read the live gateways if that was some time ago.

        It is called periodically, so a long time since the last call means that the
        process was paused, and that another gateway may have taken its place.
        """
        now = self._timers.now()
        elapsed = now - self._refreshed_at
        if elapsed < REFRESH_PERIOD_S:
            return
        if elapsed > PAUSE_S:
            self._settled_at = now + SETTLE_S
            if self._live:
                self.paused_at = now
            for allocator in self._own.values():
                allocator.settle()
        self._refreshed_at = now
        members = [
            member
            for member in self._membership.list_live_gateways()
            if member.state == "alive" or not self._excludes_suspects
        ]
        live = frozenset(member.name for member in members) | {self._membership.name}
        if live != self._live:
            self._live = live
            self._domains.update((m.name, m.failure_domain) for m in members)
            self._settled_at = now + SETTLE_S
            self._chosen.clear()
            for server_id in [name for name in self._own if not self.is_own(name)]:
                del self._own[server_id]
            if self._restricts_minority:
                self._note_lost(now)
        self._last_seen.update(dict.fromkeys(live, now))
        self.fraction = self._measure_fraction(now)

    def _note_lost(self, now: float) -> None:
        """Count gateways that were lost before this object or process knew them.

        Otherwise each side of a cut would grant the whole when a revision gives the
        first tenant a rate meanwhile.
        """
        lost = [
            member.name
            for member in self._membership.known_members()
            if member.role == "gateway"
            and not member.live
            and member.state != "left"
            and member.name not in self._known
        ]
        self._last_seen.update(dict.fromkeys(lost, now))
        self._known.update(self._live, lost)

    def _measure_fraction(self, now: float) -> float:
        """Return the part of each limit that belongs to the live gateways."""
        live = len(self._live)
        absent = self._count_absent(now)
        total = max(live + absent, self._minimum)
        if not self._restricts_minority or 2 * live == total:
            return live / total
        if 2 * live > total:
            recent = self._count_recent(now, ABSENCE_S + MAJORITY_DELAY_S)
            part = live / max(live + recent, self._minimum)
            return part + MINORITY_YIELD * (1 - part)
        is_recent = self._count_recent(now, ABSENCE_S) == absent
        share = 1 - MINORITY_YIELD if is_recent else MINORITY_SHARE
        return share * live / total

    def _count_recent(self, now: float, period_s: float) -> int:
        """Count the gateways that disappeared within the last seconds."""
        return sum(
            now - seen_at <= period_s
            for name, seen_at in self._last_seen.items()
            if name not in self._live
        )

    def _count_absent(self, now: float) -> int:
        """Count the gateways that disappeared without saying that they leave."""
        memory_s = MINORITY_MEMORY_S if self._restricts_minority else ABSENCE_S
        if len(self._last_seen) == len(self._live):
            return 0
        left = {
            member.name
            for member in self._membership.known_members()
            if member.state == "left"
        }
        for name, seen_at in list(self._last_seen.items()):
            if name in left or now - seen_at > memory_s:
                del self._last_seen[name]
        return len(self._last_seen.keys() - self._live)
