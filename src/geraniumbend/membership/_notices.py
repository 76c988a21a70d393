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

# Three attempts fit into the 300 ms that a caller's response may wait for.
REPEAT_S = 0.06
MAX_NOTICE_BYTES = 900
REMEMBERED = 2_048


class Notices:
    """Messages sent to all live gateways directly, with acknowledgements.

    Parameters
    ----------
    node : str
        Name of this node.
    gossip : Gossip
        Sends messages.
    deliver : callable
        Takes kind, sender and value of a received notice.
    timers : TimerService
        Clock and sleeps.
    rng : random.Random
        First message number.
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
        # A restart must not reuse the numbers that peers remember.
        self._numbers = itertools.count(rng.getrandbits(48))
        self._waiting: dict[int, dict[str, asyncio.Event]] = {}
        self._seen: dict[tuple[str, int], None] = {}
        gossip.handle(NOTIFY, self._take)
        gossip.handle(NOTIFY_ACK, self._confirm)

    async def send(
        self,
        kind: str,
        value: bytes,
        timeout_s: float,
        peers: list[Member],
        records: Sequence[Record] = (),
        doubtful: Sequence[Member] = (),
    ) -> list[str]:
        """Send a notice and wait until all peers have it or the time is over.

        Parameters
        ----------
        kind : str
            Kind whose subscribers get the notice.
        value : bytes
            Content, at most 900 bytes.
        timeout_s : float
            Longest wait, in seconds.
        peers : list of Member
            Receivers.
        records : sequence of Record, default=()
            Records that go with the notice.
        doubtful : sequence of Member, default=()
            Members that count as dead, by mistake perhaps; they are sent the notice
            while the others are waited for.

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
                "send a shorter one",
            )
        number = next(self._numbers)
        missing = {peer.name: peer.address for peer in peers}
        acknowledged: dict[str, asyncio.Event] = {
            name: asyncio.Event() for name in missing
        }
        self._waiting[number] = acknowledged
        deadline = self._timers.now() + timeout_s
        try:
            while missing and (left := deadline - self._timers.now()) > 0:
                addresses = [*missing.values(), *(peer.address for peer in doubtful)]
                for address in addresses:
                    self._gossip.send(
                        NOTIFY,
                        address,
                        number=number,
                        kind=kind,
                        value=value,
                        records=list(records),
                    )
                await self._wait(
                    [acknowledged[n] for n in missing], min(REPEAT_S, left)
                )
                missing = {
                    name: address
                    for name, address in missing.items()
                    if not acknowledged[name].is_set()
                }
        finally:
            del self._waiting[number]
        return sorted(name for name, event in acknowledged.items() if event.is_set())

    async def _wait(self, events: list[asyncio.Event], delay_s: float) -> None:
        waits: asyncio.Future[Any] = asyncio.gather(*(event.wait() for event in events))
        pause: asyncio.Future[Any]
        pause = asyncio.ensure_future(self._timers.sleep(delay_s))
        try:
            await asyncio.wait({waits, pause}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waits.cancel()
            pause.cancel()
            await asyncio.gather(waits, pause, return_exceptions=True)

    def _take(self, address: str, message: Any) -> None:
        if not isinstance(message.kind, str) or not isinstance(message.value, bytes):
            return
        self._gossip.send(NOTIFY_ACK, address, number=message.number)
        identity = (message.sender, message.number)
        if identity in self._seen:
            return
        self._seen[identity] = None
        if len(self._seen) > REMEMBERED:
            self._seen.pop(next(iter(self._seen)))
        self._deliver(message.kind, message.sender, message.value)

    def _confirm(self, address: str, message: Any) -> None:
        event = self._waiting.get(message.number, {}).get(message.sender)
        if event is not None:
            event.set()
