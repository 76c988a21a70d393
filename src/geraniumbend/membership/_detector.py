from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from geraniumbend.membership._gossip import ACK, PING, PING_REQ
from geraniumbend.membership._members import ALIVE, DEAD, SUSPECT

if TYPE_CHECKING:
    import random

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import Member, MemberTable
    from geraniumbend.timers import Subscription, TimerService

PROBE_PERIOD_S = 0.5
# In a small cluster a second probe a period costs 0.4 KB/s; without it one dead node
# in three is probed by nobody in the first period.
SMALL = 64
# Both waits together fit into one period; the direct one is far above the round trip
# of 1 ms between failure domains.
DIRECT_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.25
INDIRECT_PROBES = 3
SUSPICION_S = 2.0
# A wait that took this much longer than asked shows that this process was not
# scheduled, so a missing acknowledgement proves nothing about the peer.
OWN_PAUSE_S = 0.15


class Detector:
    """SWIM failure detector: direct and indirect probes, suspicion, refutation.

    Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", DSN 2002.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    gossip : Gossip
        Sends messages.
    timers : TimerService
        Clock and periods.
    rng : random.Random
        Order of probes.
    """

    def __init__(
        self,
        members: MemberTable,
        gossip: Gossip,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._gossip = gossip
        self._timers = timers
        self._rng = rng
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._relayed: dict[int, tuple[str, int]] = {}
        self._round: list[str] = []
        self._suspicions: dict[str, tuple[int, Subscription]] = {}
        self._subscriptions: list[Subscription] = []
        self._probes: list[asyncio.Task[None]] = []
        gossip.handle(PING, self._answer_ping)
        gossip.handle(ACK, self._take_ack)
        gossip.handle(PING_REQ, self._relay_ping)
        members.subscribe(self._watch_state)

    def start(self) -> None:
        """Begin probing."""
        self._subscriptions.append(
            self._timers.every(PROBE_PERIOD_S, self._probe_next, 0.1)
        )

    def stop(self) -> None:
        """End probing."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions.clear()
        self.forget_probes()
        for probe in self._probes:
            probe.cancel()
        for _, subscription in self._suspicions.values():
            subscription.cancel()
        self._suspicions.clear()

    def forget_probes(self) -> None:
        """Give up open probes without a verdict."""
        for future in self._waiting.values():
            future.cancel()
        self._waiting.clear()
        self._relayed.clear()

    def restart_suspicions(self) -> None:
        """Give suspected members their full time again after an own pause."""
        names = list(self._suspicions)
        for name in names:
            self._suspicions.pop(name)[1].cancel()
            self._watch_state(self._members.members[name])

    def _probe_next(self) -> None:
        self._probes = [probe for probe in self._probes if not probe.done()]
        count = 2 if len(self._members.live()) <= SMALL else 1
        for _ in range(count):
            member = self._choose()
            if member is not None:
                # The next period must not wait for a peer that does not answer.
                self._probes.append(asyncio.ensure_future(self._probe(member)))

    def _choose(self) -> Member | None:
        live = {member.name: member for member in self._members.live()}
        while True:
            if not self._round:
                self._round = list(live)
                self._rng.shuffle(self._round)
            if not self._round:
                return None
            name = self._round.pop()
            if name in live:
                return live[name]

    async def _probe(self, member: Member) -> None:
        number = next(self._numbers)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            started = self._timers.now()
            self._ping(member, number)
            if await self._wait(future, DIRECT_TIMEOUT_S):
                return
            others = [m for m in self._members.live() if m.name != member.name]
            for helper in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
                self._gossip.send(
                    PING_REQ,
                    helper.address,
                    number=number,
                    target=member.name,
                    target_address=member.address,
                )
            if await self._wait(future, INDIRECT_TIMEOUT_S):
                return
            spent = self._timers.now() - started
        finally:
            self._waiting.pop(number, None)
        if spent <= DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S + OWN_PAUSE_S:
            self._members.mark(member, SUSPECT)

    async def _wait(self, future: asyncio.Future[None], delay_s: float) -> bool:
        pause = asyncio.ensure_future(self._timers.sleep(delay_s))
        try:
            await asyncio.wait({future, pause}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
        return future.done()

    def _ping(self, member: Member, number: int) -> None:
        record = self._members.record_of(member.name)
        # A suspect or dead member learns of it at once and can refute.
        about = [record] if record is not None and record.state != ALIVE else []
        self._gossip.send(
            PING, member.address, number=number, target=member.name, records=about
        )

    def _answer_ping(self, address: str, message: Any) -> None:
        if message.target and message.target != self._members.name:
            return
        self._gossip.send(
            ACK, address, number=message.number, records=self._about(message.sender)
        )

    def _about(self, sender: str) -> list[Any]:
        record = self._members.record_of(sender)
        return [record] if record is not None and record.state != ALIVE else []

    def _take_ack(self, address: str, message: Any) -> None:
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            asker, number = relayed
            self._gossip.send(ACK, asker, number=number)
            return
        future = self._waiting.get(message.number)
        if future is not None and not future.done():
            future.set_result(None)

    def _relay_ping(self, address: str, message: Any) -> None:
        if ":" not in message.target_address:
            return
        number = next(self._numbers)
        self._relayed[number] = (address, message.number)
        while len(self._relayed) > 256:
            self._relayed.pop(next(iter(self._relayed)))
        self._gossip.send(
            PING, message.target_address, number=number, target=message.target
        )

    def _watch_state(self, member: Member) -> None:
        known = self._suspicions.get(member.name)
        if known is not None and (
            member.state != "suspect" or known[0] != member.incarnation
        ):
            known[1].cancel()
            del self._suspicions[member.name]
            known = None
        if member.state == "suspect" and known is None:
            self._suspicions[member.name] = (
                member.incarnation,
                self._timers.after(SUSPICION_S, lambda: self._bury(member)),
            )

    def _bury(self, member: Member) -> None:
        self._suspicions.pop(member.name, None)
        self._members.mark(member, DEAD)
