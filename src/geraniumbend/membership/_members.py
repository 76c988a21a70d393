"""Processes of the cluster and their states."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.errors import ProtocolError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._records import MEMBER, Record
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.timers import TimerService

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATE_NAMES = ("alive", "suspect", "dead", "left")
# Dead members are kept for a day, so that nodes that were partitioned for an hour are
# found again even if the seeds do not list their addresses.
DEAD_RETENTION_S = 24 * 3600.0

declare_event(
    802, "member_joined", "info", "A process joined the cluster or came back."
)
declare_event(803, "member_suspected", "info", "A process did not respond to probes.")
declare_event(
    804,
    "member_died",
    "warning",
    "The failure detector declared a process dead; check its host.",
)
declare_event(805, "member_left", "info", "A process shut down and left the cluster.")
declare_event(
    806,
    "own_death_refuted",
    "warning",
    "Peers declared this process dead; check its host for pauses and its network.",
)
declare_event(
    807,
    "node_name_conflict",
    "error",
    "Another process uses this node's name; give each process its own node.name.",
)


class Member(NamedTuple):
    """A process of the cluster as this node sees it.

    Parameters
    ----------
    name : str
        Node name.
    role : str
        ``gateway`` or ``control``.
    address : str
        Peer address as ``ip:port``.
    failure_domain : str
        Failure domain of its host.
    state : str
        ``alive``, ``suspect``, ``dead`` or ``left``.
    incarnation : int
        Increases with each restart and each refutation.
    revision : int
        Active configuration revision that the process published, 0 when unknown.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    state: str
    incarnation: int
    revision: int = 0

    @property
    def live(self) -> bool:
        """Return whether the process is alive or suspect."""
        return self.state in ("alive", "suspect")


class MemberTable:
    """States of all processes, kept as member records.

    Parameters
    ----------
    own : Member
        This process.
    table : RecordTable
        Store of the records.
    gossip : Gossip
        Spreads changes.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, own: Member, table: RecordTable, gossip: Gossip, timers: TimerService
    ) -> None:
        self.name = own.name
        self.incarnation = own.incarnation
        self.members: dict[str, Member] = {}
        self.deaths_refuted = 0
        self._own = own
        self._table = table
        self._gossip = gossip
        self._timers = timers
        self._live: list[Member] = []
        self._live_peers: list[Member] = []
        self._domains: dict[str, str] = {}
        self._listeners: list[Callable[[Member], None]] = []
        self._on_declared_dead: Callable[[], None] = lambda: None

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call back with each member whose state or incarnation changed."""
        self._listeners.append(callback)

    def on_declared_dead(self, callback: Callable[[], None]) -> None:
        """Call back when peers had recorded this process as dead or left."""
        self._on_declared_dead = callback

    def set_address(self, address: str) -> None:
        """Set this node's peer address once the socket is open."""
        self._own = self._own._replace(address=address)

    def live(self, include_own: bool = False) -> list[Member]:
        """Return the live members sorted by name; callers must not change the list.

        The same list is returned until a member changes, so callers may cache what they
        derive from it.
        """
        return self._live if include_own else self._live_peers

    def find_domain(self, address: str) -> str | None:
        """Return the failure domain of the member at an address, None if unknown."""
        return self._domains.get(address)

    def publish_own_state(self, state: int = ALIVE) -> Record:
        """Store and spread this node's record under its current incarnation."""
        record = self._build_record(
            self._own._replace(incarnation=self.incarnation), state
        )
        self._store(record)
        self._gossip.enqueue(record)
        return record

    def raise_incarnation(self, minimum: int = 0) -> None:
        """Publish this node under an incarnation above its own and `minimum`."""
        self.incarnation = max(self.incarnation, minimum) + 1
        self.publish_own_state()

    def set_state(self, member: Member, state: int) -> None:
        """Store and spread a state of another member if its incarnation is current."""
        current = self.members.get(member.name)
        if current is None or current.incarnation != member.incarnation:
            return
        record = self._build_record(member, state)
        if record.order > self._stored_order(member.name):
            self._store(record)
            self._gossip.enqueue(record)

    def merge(self, record: Record) -> bool:
        """Merge a member record of a peer; return whether it was new.

        Raises
        ------
        ProtocolError
            If the record is malformed.
        """
        if record.state > LEFT:
            raise ProtocolError("member record has an unknown state")
        if record.key == self.name:
            self._merge_own_record(record)
            return False
        if record.order <= self._stored_order(record.key):
            return False
        self._store(record)
        self._gossip.enqueue(record)
        return True

    def get_record(self, name: str) -> Record | None:
        """Return the stored record of a member."""
        entry = self._table.get(MEMBER, "", name)
        return None if entry is None else entry.record

    def remove(self, name: str) -> None:
        """Remove a member whose retention has ended."""
        self.members.pop(name, None)
        self._table.remove((MEMBER, "", name))

    def _merge_own_record(self, record: Record) -> None:
        if record.major < self.incarnation:
            return
        if record.state == ALIVE:
            own = self.get_record(self.name)
            if own is None or record.value != own.value:
                log_event(807, node=self.name)
                self.raise_incarnation(record.major)
            elif record.major > self.incarnation:
                self.raise_incarnation(record.major)
            return
        own = self.get_record(self.name)
        if own is not None and own.state == LEFT:
            return
        died = record.state in (DEAD, LEFT)
        self.raise_incarnation(record.major)
        if died:
            self.deaths_refuted += 1
            log_event(806, incarnation=self.incarnation)
            self._on_declared_dead()

    def _stored_order(self, name: str) -> tuple[int, int, int, str]:
        record = self.get_record(name)
        return (-1, 0, 0, "") if record is None else record.order

    def _store(self, record: Record) -> None:
        before = self.members.get(record.key)
        value = decode(load_structs("membership").MemberValue, record.value)
        texts = (value.role, value.address, value.failure_domain)
        if not all(isinstance(text, str) for text in texts):
            raise ProtocolError("member record has a malformed value")
        member = Member(
            record.key,
            value.role,
            value.address,
            value.failure_domain,
            STATE_NAMES[record.state],
            record.major,
        )
        gone = record.state in (DEAD, LEFT)
        deadline = self._timers.now() + DEAD_RETENTION_S if gone else None
        self._table.put(record, deadline)
        self.members[member.name] = member
        self._domains[member.address] = member.failure_domain
        self._live = sorted(m for m in self.members.values() if m.live)
        self._live_peers = [m for m in self._live if m.name != self.name]
        _log_change(before, member)
        for listener in self._listeners:
            listener(member)

    def _build_record(self, member: Member, state: int) -> Record:
        value = load_structs("membership").MemberValue(
            role=member.role,
            address=member.address,
            failure_domain=member.failure_domain,
        )
        return Record(
            MEMBER,
            "",
            member.name,
            member.incarnation,
            0,
            state,
            "",
            encode(value),
            0.0,
        )


def _log_change(before: Member | None, member: Member) -> None:
    if before is not None and before.state == member.state:
        return
    if member.state == "alive" and before is not None and before.state == "suspect":
        return
    fields = {"member": member.name, "incarnation": member.incarnation}
    if member.state == "alive":
        log_event(802, **fields)
    elif member.state == "suspect":
        log_event(803, **fields)
    elif member.state == "dead":
        log_event(804, **fields)
    else:
        log_event(805, **fields)
