"""Gossip of changes within a byte budget."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, ProtocolError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._byte_budget import DATAGRAM_OVERHEAD_BYTES
from geraniumbend.membership._records import (
    EPHEMERAL_KINDS,
    MEMBER,
    Record,
    pack_record,
    unpack_records,
)
from geraniumbend.traffic import ignore_traffic
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from geraniumbend.membership._byte_budget import ByteBudget
    from geraniumbend.membership._gossip_peers import GossipPeers, GossipTarget
    from geraniumbend.membership._records import Identity
    from geraniumbend.ports import DatagramPort
    from geraniumbend.timers import Subscription, TimerService
    from geraniumbend.traffic import CountBytes

PING, ACK, PING_REQ, GOSSIP, NOTIFY, NOTIFY_ACK, RENEW, DIRECT = range(1, 9)
GOSSIP_PERIOD_S = 0.1
# Ephemeral records are batched over a longer period, because the overhead of a
# datagram costs as much as two records.
EPHEMERAL_PERIOD_S = 0.5
MAX_MESSAGE_BYTES = 1_200
# Size of a serialized message without records: type, number, names and address.
EMPTY_MESSAGE_BYTES = 160
MAX_QUEUED = 4_096
DUPLICATE_WEIGHT = 0.5
MIN_TRANSMISSIONS = 9
REDUCED_TRANSMISSIONS = 3
# Fraction of one second's byte budget that gossip leaves to anti-entropy. Without it
# anti-entropy starves while a cluster starts and each node knows only some others.
ANTI_ENTROPY_RESERVE = 0.25
LONG_QUEUE = 32

declare_event(
    801,
    "gossip_rejected",
    "warning",
    "A message of a peer was malformed or of an unknown type and was dropped.",
)


def transmission_limit(kind: str, nodes: int, queued: int = 0) -> int:
    """Return how many times one node sends a change.

    When every node sends a change k times, push gossip misses about e^-k of the nodes;
    anti-entropy delivers the change to the rest. With k = log2(n) + 3 and at least 9 a
    change misses one node in several thousand, also where many nodes change at once and
    where nodes of a starting cluster know few others. Ephemeral records are superseded
    soon and are sent 3 times. So are all changes while many are queued, as when a whole
    cluster starts: the byte budget then limits the spreading, and more copies only
    delay changes that are not yet known.

    Parameters
    ----------
    kind : str
        Kind of record.
    nodes : int
        Number of live processes of the failure domain.
    queued : int, default=0
        Number of queued changes.

    Returns
    -------
    int
        Maximum number of transmissions.
    """
    if kind in EPHEMERAL_KINDS or queued > LONG_QUEUE:
        return REDUCED_TRANSMISSIONS
    return max(MIN_TRANSMISSIONS, math.ceil(math.log2(nodes + 1)) + 3)


class _QueuedChange:
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
        Clock and periodic callbacks.
    rng : random.Random
        Chooses peers.
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
        self._byte_budget = budget
        self._timers = timers
        self._rng = rng
        self._queue: dict[Identity, _QueuedChange] = {}
        self._handlers: dict[int, Callable[[str, Any], None]] = {}
        self._merge: Callable[[str, Record], None] = lambda sender, record: None
        self._lifetime: Callable[[Record], float] = lambda record: record.lifetime_s
        self._check_not_paused: Callable[[], bool] = lambda: True
        self._peers: GossipPeers | None = None
        self._count_bytes: CountBytes = ignore_traffic
        self._subscriptions: list[Subscription] = []
        self._suppressed = False
        port.on_receive(self._handle_datagram)

    def set_callbacks(
        self,
        merge: Callable[[str, Record], None],
        peers: GossipPeers,
        lifetime: Callable[[Record], float],
        check_not_paused: Callable[[], bool],
        count_bytes: CountBytes = ignore_traffic,
    ) -> None:
        """Set the callbacks.

        Parameters
        ----------
        merge : callable
            Takes the sender's name and a received record.
        peers : GossipPeers
            Chooses the peers that get changes.
        lifetime : callable
            Returns the remaining lifetime of a record in seconds.
        check_not_paused : callable
            Returns whether this process has run without a long pause.
        count_bytes : callable, default=ignore_traffic
            Counts the bytes of sent datagrams.
        """
        self._merge = merge
        self._peers = peers
        self._lifetime = lifetime
        self._check_not_paused = check_not_paused
        self._count_bytes = count_bytes

    def register_handler(self, type: int, handler: Callable[[str, Any], None]) -> None:
        """Register the handler of a message type: sender address and message."""
        self._handlers[type] = handler

    def start(self) -> None:
        """Begin the periodic spreading of changes."""
        every = self._timers.every
        self._subscriptions = [
            every(GOSSIP_PERIOD_S, self._spread_changes, 0.2),
            every(EPHEMERAL_PERIOD_S, self._spread_ephemeral, 0.2),
        ]

    def stop(self) -> None:
        """End the periodic spreading of changes."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def enqueue(self, record: Record) -> None:
        """Queue a change for spreading; replaces its earlier version."""
        if self._suppressed and not self._is_own(record):
            return
        self._queue.pop(record.identity, None)
        if len(self._queue) >= MAX_QUEUED:
            # Anti-entropy delivers the dropped change.
            self._queue.pop(next(iter(self._queue)))
            self.dropped_changes += 1
        self._queue[record.identity] = _QueuedChange(record)

    @contextmanager
    def suppress_spreading(self, suppressed: bool) -> Iterator[None]:
        """Do not spread records merged within the context, except this node's own.

        Parameters
        ----------
        suppressed : bool
            Whether to suppress spreading; False changes nothing.
        """
        self._suppressed = suppressed
        try:
            yield
        finally:
            self._suppressed = False

    def _is_own(self, record: Record) -> bool:
        own = record.key if record.kind == MEMBER else record.owner or record.origin
        return own == self.node

    def count_duplicate(self, record: Record) -> None:
        """Count a received change that is already known here."""
        queued = self._queue.get(record.identity)
        if queued is not None and queued.record.order == record.order:
            # One duplicate is weak evidence that other nodes know the change too.
            queued.sent += DUPLICATE_WEIGHT

    def clear_queue(self) -> None:
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
            Whether the message may put the byte budget into debt.
        **fields : object
            Further fields of the message.

        Returns
        -------
        bool
            Whether it was sent.
        """
        if self._byte_budget.debt_limit_exceeded() or (
            not urgent and self._byte_budget.available() <= 0
        ):
            return False
        free_bytes = (
            MAX_MESSAGE_BYTES - EMPTY_MESSAGE_BYTES - len(fields.get("value", b""))
        )
        records = fields.pop("records", [])
        free_bytes -= sum(len(encode(pack_record(record))) + 8 for record in records)
        if self._may_spread():
            records = records + self._select_changes(free_bytes)
        return self._transmit(type, address, records, fields)

    def spread_now(self) -> None:
        """Send queued changes to a few random peers of any failure domain."""
        if self._peers is not None and self._has_queued(ephemeral=False):
            self._spread(self._peers.choose_first_targets(), ephemeral=False)

    def _spread_changes(self) -> None:
        if self._peers is not None and self._has_queued(ephemeral=False):
            self._spread(self._peers.choose_round(), ephemeral=False)

    def _spread_ephemeral(self) -> None:
        if self._peers is not None and self._has_queued(ephemeral=True):
            self._spread(self._peers.choose_round(), ephemeral=True)

    def _spread(self, targets: list[GossipTarget], ephemeral: bool) -> None:
        """Send queued changes that are or are not ephemeral."""
        for target in targets:
            if not self._may_spread():
                return
            records = self._select_changes(
                MAX_MESSAGE_BYTES - EMPTY_MESSAGE_BYTES, ephemeral, target.is_local
            )
            if records:
                self._transmit(GOSSIP, target.address, records, {})

    def _has_queued(self, ephemeral: bool) -> bool:
        return any(
            (identity[0] in EPHEMERAL_KINDS) == ephemeral for identity in self._queue
        )

    def _may_spread(self) -> bool:
        return (
            self._byte_budget.available()
            > ANTI_ENTROPY_RESERVE * self._byte_budget.rate
        )

    def _queued_changes(self) -> list[_QueuedChange]:
        return list(self._queue.values())

    def _select_changes(
        self, free_bytes: int, ephemeral: bool = False, is_local: bool = True
    ) -> list[Record]:
        selected: list[Record] = []
        if self._peers is None:
            return selected
        nodes = len(self._peers.list_local()) + 1
        queue_length = len(self._queue)
        # Changes that were sent least often go first.
        for queued in sorted(self._queued_changes(), key=lambda q: q.sent):
            record = queued.record
            if (record.kind in EPHEMERAL_KINDS) != ephemeral:
                continue
            if not is_local and self._peers.is_domain_scoped(record.kind):
                continue
            if queued.size > free_bytes:
                continue
            free_bytes -= queued.size
            queued.sent += 1
            if queued.sent >= transmission_limit(record.kind, nodes, queue_length):
                self._queue.pop(record.identity, None)
            selected.append(record._replace(lifetime_s=self._lifetime(record)))
        return selected

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
        size = len(payload) + DATAGRAM_OVERHEAD_BYTES
        self._byte_budget.charge(size)
        is_local = self._peers is not None and self._peers.is_local_address(address)
        self._count_bytes("gossip", is_local, size)
        self._port.send(address, payload)
        return True

    def _handle_datagram(self, address: str, payload: bytes) -> None:
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
        if not self._check_not_paused():
            return
        for record in records:
            self._merge(message.sender, record)
        if handler is not None:
            handler(address, message)
