"""Notices to gateways that are sent until they acknowledge."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._gossip import NOTIFY, NOTIFY_ACK

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import Member
    from geraniumbend.membership._records import Record
    from geraniumbend.timers import TimerService

# Three transmissions fit into the 300 ms by which a caller's response may be delayed.
RESEND_PERIOD_S = 0.06
MAX_NOTICE_BYTES = 900
MAX_REMEMBERED_NOTICES = 2_048


class Notices:
    """Sends notices to gateways directly until they acknowledge, and receives them.

    Parameters
    ----------
    node : str
        Name of this node.
    gossip : Gossip
        Sends messages.
    deliver : callable
        Takes kind, sender and value of a received notice.
    timers : TimerService
        Clock and delays.
    rng : random.Random
        Chooses the first message number.
    """

    def __init__(
        self,
        node: str,
        gossip: Gossip,
        deliver: Callable[[str, str, bytes], None],
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._gossip = gossip
        self._deliver = deliver
        self._timers = timers
        # Peers ignore numbers that they have seen, so a restart must not reuse them.
        self._sequence_numbers = itertools.count(rng.getrandbits(48))
        self._pending: dict[int, dict[str, asyncio.Event]] = {}
        self._seen: dict[tuple[str, int], None] = {}
        gossip.register_handler(NOTIFY, self._handle_notice)
        gossip.register_handler(NOTIFY_ACK, self._handle_ack)

    async def send(
        self,
        kind: str,
        value: bytes,
        timeout_s: float,
        peers: list[Member],
        records: Sequence[Record] = (),
        presumed_dead: Sequence[Member] = (),
    ) -> list[str]:
        """Send a notice; wait until all peers acknowledge it or the timeout expires.

        Parameters
        ----------
        kind : str
            Kind whose subscribers get the notice.
        value : bytes
            Content, at most 900 bytes.
        timeout_s : float
            Longest wait, in seconds.
        peers : list of Member
            Recipients.
        records : sequence of Record, default=()
            Records to send with the notice.
        presumed_dead : sequence of Member, default=()
            Members that were declared dead, perhaps by mistake; they are sent the
            notice too, but their acknowledgements are not awaited.

        Returns
        -------
        list of str
            Names of the nodes that acknowledged, sorted.

        Raises
        ------
        ProtocolError
            If the content is too long.
        """
        if len(value) > MAX_NOTICE_BYTES:
            raise ProtocolError(
                f"notice of {len(value)} bytes exceeds {MAX_NOTICE_BYTES}",
                "send a shorter notice",
            )
        number = next(self._sequence_numbers)
        unacknowledged = {peer.name: peer.address for peer in peers}
        acknowledged: dict[str, asyncio.Event] = {
            name: asyncio.Event() for name in unacknowledged
        }
        self._pending[number] = acknowledged
        deadline = self._timers.now() + timeout_s
        try:
            while unacknowledged and (remaining_s := deadline - self._timers.now()) > 0:
                addresses = [
                    *unacknowledged.values(),
                    *(peer.address for peer in presumed_dead),
                ]
                for address in addresses:
                    self._gossip.send(
                        NOTIFY,
                        address,
                        number=number,
                        kind=kind,
                        value=value,
                        records=list(records),
                    )
                await self._wait_for_acks(
                    [acknowledged[n] for n in unacknowledged],
                    min(RESEND_PERIOD_S, remaining_s),
                )
                unacknowledged = {
                    name: address
                    for name, address in unacknowledged.items()
                    if not acknowledged[name].is_set()
                }
        finally:
            del self._pending[number]
        return sorted(name for name, event in acknowledged.items() if event.is_set())

    async def _wait_for_acks(self, events: list[asyncio.Event], delay_s: float) -> None:
        waits: asyncio.Future[Any] = asyncio.gather(*(event.wait() for event in events))
        timeout: asyncio.Future[Any]
        timeout = asyncio.ensure_future(self._timers.sleep(delay_s))
        try:
            await asyncio.wait({waits, timeout}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waits.cancel()
            timeout.cancel()
            await asyncio.gather(waits, timeout, return_exceptions=True)

    def _handle_notice(self, address: str, message: Any) -> None:
        if not isinstance(message.kind, str) or not isinstance(message.value, bytes):
            return
        self._gossip.send(NOTIFY_ACK, address, number=message.number)
        identity = (message.sender, message.number)
        if identity in self._seen:
            return
        self._seen[identity] = None
        if len(self._seen) > MAX_REMEMBERED_NOTICES:
            self._seen.pop(next(iter(self._seen)))
        self._deliver(message.kind, message.sender, message.value)

    def _handle_ack(self, address: str, message: Any) -> None:
        event = self._pending.get(message.number, {}).get(message.sender)
        if event is not None:
            event.set()
