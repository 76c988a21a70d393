from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, ProtocolError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._budget import DATAGRAM_OVERHEAD_BYTES
from geraniumbend.membership._records import (
    EPHEMERAL,
    MEMBER,
    Record,
    pack_record,
    unpack_records,
)
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from geraniumbend.membership._budget import ByteBudget
    from geraniumbend.membership._records import Identity
    from geraniumbend.ports import DatagramPort
    from geraniumbend.timers import Subscription, TimerService

PING, ACK, PING_REQ, GOSSIP, NOTIFY, NOTIFY_ACK, RENEW = 1, 2, 3, 4, 5, 6, 7
GOSSIP_PERIOD_S = 0.1
# Loads and demand wait for each other: a datagram costs as much as two records.
EPHEMERAL_PERIOD_S = 0.5
FANOUT = 3
MESSAGE_BYTES = 1_200
# Serialized message without records: type, number, names and address.
EMPTY_MESSAGE_BYTES = 160
MAX_QUEUED = 4_096
HEARD_WEIGHT = 0.5
FEW_TRANSMISSIONS = 3
# Part of a second's budget that gossip leaves to anti-entropy, which otherwise starves
# while a cluster starts and each node still knows only some of the others.
RESERVE = 0.25
MANY_QUEUED = 32

declare_event(
    801, "gossip_rejected", "warning", "A message of a peer could not be used."
)


def transmission_limit(kind: str, nodes: int, queued: int = 0) -> int:
    """Return how often one node sends a change on.

    Push gossip misses a share of about e^-k of the nodes when every node sends a
    change k times, and anti-entropy brings the rest; with log2(n) + 2, and at least
    6 because a cluster that starts knows few of its nodes, a change misses one node
    in several hundred. Loads and demand are superseded soon and get 3, and so do all
    changes while many are queued, as when a whole cluster starts: the byte budget
    then limits the spreading, and further copies only delay what is not yet known.

    Parameters
    ----------
    kind : str
        Kind of record.
    nodes : int
        Live processes.
    queued : int, default=0
        Changes that wait for their transmission.

    Returns
    -------
    int
        Transmissions at most.
    """
    if kind in EPHEMERAL or queued > MANY_QUEUED:
        return FEW_TRANSMISSIONS
    return max(6, math.ceil(math.log2(nodes + 1)) + 2)


class _Queued:
    __slots__ = ("record", "sent", "size")

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sent = 0.0
        self.size = len(encode(pack_record(record))) + 8


class Gossip:
    """Sends messages and spreads changes within the byte budget.

    Parameters
    ----------
    node : str
        Name of this node.
    port : DatagramPort
        Authenticated datagrams.
    budget : ByteBudget
        Bytes that may be sent.
    timers : TimerService
        Clock and periods.
    rng : random.Random
        Choice of peers.
    """

    def __init__(
        self,
        node: str,
        port: DatagramPort,
        budget: ByteBudget,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.rejected = 0
        self.dropped_changes = 0
        self._port = port
        self._budget = budget
        self._timers = timers
        self._rng = rng
        self._queue: dict[Identity, _Queued] = {}
        self._handlers: dict[int, Callable[[str, Any], None]] = {}
        self._merge: Callable[[str, Record], None] = lambda sender, record: None
        self._peers: Callable[[str], list[tuple[str, str]]] = lambda scope: []
        self._lifetime: Callable[[Record], float] = lambda record: record.lifetime_s
        self._awake: Callable[[], bool] = lambda: True
        self._subscriptions: list[Subscription] = []
        self._muted = False
        port.on_receive(self._receive)

    def connect(
        self,
        merge: Callable[[str, Record], None],
        peers: Callable[[str], list[tuple[str, str]]],
        lifetime: Callable[[Record], float],
        awake: Callable[[], bool],
    ) -> None:
        """Set the callbacks.

        Parameters
        ----------
        merge : callable
            Takes the sender's name and a received record.
        peers : callable
            Returns names and addresses of live peers that want a kind of record.
        lifetime : callable
            Returns the remaining lifetime of a record in seconds.
        awake : callable
            Returns whether this process has run without a long pause.
        """
        self._merge = merge
        self._peers = peers
        self._lifetime = lifetime
        self._awake = awake

    def handle(self, type: int, handler: Callable[[str, Any], None]) -> None:
        """Register the handler of a message type: sender address and message."""
        self._handlers[type] = handler

    def start(self) -> None:
        """Begin the periodic spreading of changes."""
        every = self._timers.every
        self._subscriptions = [
            every(GOSSIP_PERIOD_S, self.spread_now, 0.2),
            every(EPHEMERAL_PERIOD_S, self._spread_ephemeral, 0.2),
        ]

    def stop(self) -> None:
        """End the periodic spreading of changes."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def enqueue(self, record: Record) -> None:
        """Queue a change for spreading; replaces its earlier version."""
        if self._muted and not self._is_own(record):
            return
        self._queue.pop(record.identity, None)
        if len(self._queue) >= MAX_QUEUED:
            # Anti-entropy brings what is dropped here.
            self._queue.pop(next(iter(self._queue)))
            self.dropped_changes += 1
        self._queue[record.identity] = _Queued(record)

    @contextmanager
    def mute(self, muted: bool) -> Iterator[None]:
        """Do not spread what is merged meanwhile, except for own records.

        Parameters
        ----------
        muted : bool
            Whether to be silent; False changes nothing.
        """
        self._muted = muted
        try:
            yield
        finally:
            self._muted = False

    def _is_own(self, record: Record) -> bool:
        own = record.key if record.kind == MEMBER else record.owner or record.origin
        return own == self.node

    def heard_again(self, record: Record) -> None:
        """Count a change that a peer sent although it is known here."""
        queued = self._queue.get(record.identity)
        if queued is not None and queued.record.order == record.order:
            # One duplicate is weak evidence that the others know it too.
            queued.sent += HEARD_WEIGHT

    def forget_changes(self) -> None:
        """Drop all queued changes."""
        self._queue.clear()

    def send(self, type: int, address: str, urgent: bool = True, **fields: Any) -> bool:
        """Send one message with as many queued changes as fit.

        Parameters
        ----------
        type : int
            Message type.
        address : str
            Peer address.
        urgent : bool, default=True
            Whether the message may go into the budget's debt.
        **fields : object
            Further fields of the message.

        Returns
        -------
        bool
            Whether it was sent.
        """
        if self._budget.must_wait() or (not urgent and self._budget.available() <= 0):
            return False
        room = MESSAGE_BYTES - EMPTY_MESSAGE_BYTES - len(fields.get("value", b""))
        records = fields.pop("records", [])
        room -= sum(len(encode(pack_record(record))) + 8 for record in records)
        if self._may_spread():
            records = records + self._take_changes(room)
        return self._transmit(type, address, records, fields)

    def spread_now(self) -> None:
        """Send queued changes to a few random peers."""
        self._spread("")

    def _spread_ephemeral(self) -> None:
        self._spread(next(iter(EPHEMERAL)))

    def _spread(self, scope: str) -> None:
        if not any(_in_scope(queued.record, scope) for queued in self._values()):
            return
        peers = self._peers(scope)
        for _, address in self._rng.sample(peers, min(FANOUT, len(peers))):
            if not self._may_spread():
                return
            records = self._take_changes(MESSAGE_BYTES - EMPTY_MESSAGE_BYTES, scope)
            if records:
                self._transmit(GOSSIP, address, records, {})

    def _may_spread(self) -> bool:
        return self._budget.available() > RESERVE * self._budget.rate

    def _values(self) -> list[_Queued]:
        return list(self._queue.values())

    def _take_changes(self, room: int, scope: str = "") -> list[Record]:
        taken: list[Record] = []
        nodes = len(self._peers("")) + 1
        queue_length = len(self._queue)
        # The least often sent change goes first.
        for queued in sorted(self._values(), key=lambda q: q.sent):
            record = queued.record
            if not _in_scope(record, scope) or queued.size > room:
                continue
            room -= queued.size
            queued.sent += 1
            if queued.sent >= transmission_limit(record.kind, nodes, queue_length):
                self._queue.pop(record.identity, None)
            taken.append(record._replace(lifetime_s=self._lifetime(record)))
        return taken

    def _transmit(
        self, type: int, address: str, records: Iterable[Record], fields: dict[str, Any]
    ) -> bool:
        message = load_structs("membership").GossipMessage(
            type=type,
            sender=self.node,
            records=[pack_record(record) for record in records] or None,
            **{"target": None, "target_address": None, "kind": None, "value": None}
            | fields,
        )
        payload = encode(message)
        self._budget.charge(len(payload) + DATAGRAM_OVERHEAD_BYTES)
        self._port.send(address, payload)
        return True

    def _receive(self, address: str, payload: bytes) -> None:
        try:
            message = decode(load_structs("membership").GossipMessage, payload)
            records = unpack_records(message.records)
            handler = self._handlers.get(message.type)
            texts = (message.sender, message.target, message.target_address)
            if not all(isinstance(text, str) for text in texts) or (
                handler is None and message.type != GOSSIP
            ):
                raise ProtocolError("message has an unknown type or no sender")
        except GeraniumbendError as error:
            self.rejected += 1
            log_event(801, peer=address, error=str(error))
            return
        if not self._awake():
            return
        for record in records:
            self._merge(message.sender, record)
        if handler is not None:
            handler(address, message)


def _in_scope(record: Record, scope: str) -> bool:
    return (record.kind in EPHEMERAL) == bool(scope)
