"""SWIM failure detector."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from geraniumbend.membership._gossip import ACK, PING, PING_REQ
from geraniumbend.membership._members import ALIVE, DEAD, SUSPECT

if TYPE_CHECKING:
    import random

    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._gossip_peers import GossipPeers
    from geraniumbend.membership._members import Member, MemberTable
    from geraniumbend.timers import Subscription, TimerService

PROBE_PERIOD_S = 0.5
# Up to this number of nodes, each node probes two members of its failure domain per
# period. The second probe costs 0.4 KB/s; without it no node probes one dead node in
# three in the first period.
SMALL_CLUSTER_NODES = 64
# Both timeouts together fit into one period. The direct timeout is far above the round
# trip of 1 ms between failure domains.
DIRECT_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.25
INDIRECT_PROBES = 3
SUSPICION_S = 2.0
# A probe that exceeds its timeouts by more than this shows that this process was not
# scheduled, so a missing acknowledgement proves nothing about the peer.
MAX_OWN_DELAY_S = 0.15


class FailureDetector:
    """SWIM failure detector: direct and indirect probes, suspicion, refutation.

    Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", DSN 2002.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    peers : GossipPeers
        Peers by failure domain.
    gossip : Gossip
        Sends messages.
    timers : TimerService
        Clock and periodic callbacks.
    rng : random.Random
        Chooses the order of probes and the relays of indirect probes.
    """

    def __init__(
        self,
        members: MemberTable,
        peers: GossipPeers,
        gossip: Gossip,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._peers = peers
        self._gossip = gossip
        self._timers = timers
        self._rng = rng
        self._sequence_numbers = itertools.count(1)
        self._pending_acks: dict[int, asyncio.Future[None]] = {}
        self._relayed_pings: dict[int, tuple[str, int]] = {}
        self._probe_orders: dict[bool, list[str]] = {True: [], False: []}
        self._suspicion_timers: dict[str, tuple[int, Subscription]] = {}
        self._subscriptions: list[Subscription] = []
        self._probes: list[asyncio.Task[None]] = []
        gossip.register_handler(PING, self._acknowledge_ping)
        gossip.register_handler(ACK, self._handle_ack)
        gossip.register_handler(PING_REQ, self._handle_ping_req)
        members.subscribe(self._update_suspicion)

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
        self.cancel_probes()
        for probe in self._probes:
            probe.cancel()
        for _, subscription in self._suspicion_timers.values():
            subscription.cancel()
        self._suspicion_timers.clear()

    def cancel_probes(self) -> None:
        """Cancel pending probes without suspecting any member."""
        for future in self._pending_acks.values():
            future.cancel()
        self._pending_acks.clear()
        self._relayed_pings.clear()

    def restart_suspicions(self) -> None:
        """Restart the suspicion timeouts after a pause of this process."""
        names = list(self._suspicion_timers)
        for name in names:
            self._suspicion_timers.pop(name)[1].cancel()
            self._update_suspicion(self._members.members[name])

    def _probe_next(self) -> None:
        self._probes = [probe for probe in self._probes if not probe.done()]
        local = self._peers.list_local()
        count = 2 if len(self._members.live()) <= SMALL_CLUSTER_NODES else 1
        targets = [self._next_target(local, is_local=True) for _ in range(count)]
        if self._peers.is_remote_probe_due():
            # The nodes of a domain find their own dead ones. Probes between domains
            # find a domain that is lost or cut off as a whole.
            remote = self._peers.list_remote()
            targets.append(self._next_target(remote, is_local=False))
        for member in targets:
            if member is not None:
                # The next period must not wait for a peer that does not respond.
                self._probes.append(asyncio.ensure_future(self._probe(member)))

    def _next_target(self, members: list[Member], is_local: bool) -> Member | None:
        live = {member.name: member for member in members}
        order = self._probe_orders[is_local]
        while True:
            if not order:
                order.extend(live)
                self._rng.shuffle(order)
            if not order:
                return None
            name = order.pop()
            if name in live:
                return live[name]

    async def _probe(self, member: Member) -> None:
        number = next(self._sequence_numbers)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_acks[number] = future
        try:
            started = self._timers.now()
            self._ping(member, number)
            if await self._wait_for_ack(future, DIRECT_TIMEOUT_S):
                return
            others = [m for m in self._members.live() if m.name != member.name]
            for relay in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
                self._gossip.send(
                    PING_REQ,
                    relay.address,
                    number=number,
                    target=member.name,
                    target_address=member.address,
                )
            if await self._wait_for_ack(future, INDIRECT_TIMEOUT_S):
                return
            elapsed = self._timers.now() - started
        finally:
            self._pending_acks.pop(number, None)
        if elapsed <= DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S + MAX_OWN_DELAY_S:
            self._members.set_state(member, SUSPECT)

    async def _wait_for_ack(self, future: asyncio.Future[None], delay_s: float) -> bool:
        timeout = asyncio.ensure_future(self._timers.sleep(delay_s))
        try:
            await asyncio.wait({future, timeout}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timeout.cancel()
        return future.done()

    def _ping(self, member: Member, number: int) -> None:
        record = self._members.get_record(member.name)
        # Lets a suspect or dead member refute its recorded state at once.
        state_records = [record] if record is not None and record.state != ALIVE else []
        self._gossip.send(
            PING,
            member.address,
            number=number,
            target=member.name,
            records=state_records,
        )

    def _acknowledge_ping(self, address: str, message: Any) -> None:
        if message.target and message.target != self._members.name:
            return
        self._gossip.send(
            ACK,
            address,
            number=message.number,
            records=self._list_state_records(message.sender),
        )

    def _list_state_records(self, sender: str) -> list[Any]:
        record = self._members.get_record(sender)
        return [record] if record is not None and record.state != ALIVE else []

    def _handle_ack(self, address: str, message: Any) -> None:
        relayed = self._relayed_pings.pop(message.number, None)
        if relayed is not None:
            requester, number = relayed
            self._gossip.send(ACK, requester, number=number)
            return
        future = self._pending_acks.get(message.number)
        if future is not None and not future.done():
            future.set_result(None)

    def _handle_ping_req(self, address: str, message: Any) -> None:
        if ":" not in message.target_address:
            return
        number = next(self._sequence_numbers)
        self._relayed_pings[number] = (address, message.number)
        while len(self._relayed_pings) > 256:
            self._relayed_pings.pop(next(iter(self._relayed_pings)))
        self._gossip.send(
            PING, message.target_address, number=number, target=message.target
        )

    def _update_suspicion(self, member: Member) -> None:
        suspicion = self._suspicion_timers.get(member.name)
        if suspicion is not None and (
            member.state != "suspect" or suspicion[0] != member.incarnation
        ):
            suspicion[1].cancel()
            del self._suspicion_timers[member.name]
            suspicion = None
        if member.state == "suspect" and suspicion is None:
            self._suspicion_timers[member.name] = (
                member.incarnation,
                self._timers.after(SUSPICION_S, lambda: self._declare_dead(member)),
            )

    def _declare_dead(self, member: Member) -> None:
        self._suspicion_timers.pop(member.name, None)
        self._members.set_state(member, DEAD)
