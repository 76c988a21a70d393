"""Schedule of anti-entropy with peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from geraniumbend.membership._anti_entropy import AntiEntropy
    from geraniumbend.membership._gossip_peers import GossipPeers
    from geraniumbend.membership._members import MemberTable
    from geraniumbend.membership._pause_recovery import PauseRecovery
    from geraniumbend.timers import Subscription, TimerService

PERIOD_S = 5.0
FOLLOW_UP_DELAY_S = 0.7
# The seed does not yet know nodes that started at the same time as this one.
STARTUP_DELAYS_S = (0.5, 1.5)


class Synchronisation:
    """Runs anti-entropy with one peer at a time, and finds lost members again.

    Parameters
    ----------
    anti_entropy : AntiEntropy
        Compares and exchanges records.
    peers : GossipPeers
        Chooses the peers.
    members : MemberTable
        States of the processes.
    pause_recovery : PauseRecovery
        Tells whether this process has run without a long pause.
    list_seeds : callable
        Returns the addresses of the seeds.
    timers : TimerService
        Clock and periodic callbacks.
    rng : random.Random
        Chooses lost members and delays.
    """

    def __init__(
        self,
        anti_entropy: AntiEntropy,
        peers: GossipPeers,
        members: MemberTable,
        pause_recovery: PauseRecovery,
        list_seeds: Callable[[], Iterable[str]],
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._anti_entropy = anti_entropy
        self._peers = peers
        self._members = members
        self._pause_recovery = pause_recovery
        self._list_seeds = list_seeds
        self._timers = timers
        self._rng = rng
        self._own_address = ""
        self._follow_up_scheduled = False
        self._subscriptions: list[Subscription] = []
        members.on_declared_dead(self.run_soon)

    def start(self, own_address: str) -> None:
        """Synchronise periodically.

        Parameters
        ----------
        own_address : str
            Peer address of this node, which is never synchronised with.
        """
        self._own_address = own_address
        every = self._timers.every
        self._subscriptions = [
            every(PERIOD_S, self.run, 0.2),
            every(PERIOD_S, self._reconnect_lost_members, 0.4),
        ]

    def schedule_startup_rounds(self) -> None:
        """Synchronise again soon after the start."""
        for delay_s in STARTUP_DELAYS_S:
            self._subscriptions.append(self._timers.after(delay_s, self.run))

    def stop(self) -> None:
        """End the periodic synchronisation."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def run_soon(self) -> None:
        """Synchronise as soon as the event loop is free."""
        self._subscriptions.append(self._timers.after(0.0, self.run))

    async def run(self) -> None:
        """Synchronise with one peer, and again soon if records differed."""
        if (
            not self._pause_recovery.check_not_paused()
            or self._pause_recovery.recovering
        ):
            return
        peer = self._peers.choose_sync_peer()
        if peer is None:
            return
        differences_found = self._anti_entropy.differences_found
        await self._anti_entropy.run([peer], drop_unconfirmed=False)
        if (
            self._anti_entropy.differences_found > differences_found
            and not self._follow_up_scheduled
        ):
            # When records differed once, others are likely to be missing too.
            self._follow_up_scheduled = True
            delay = FOLLOW_UP_DELAY_S * self._rng.uniform(0.5, 1.5)
            self._timers.after(delay, self._run_follow_up)

    async def _run_follow_up(self) -> None:
        self._follow_up_scheduled = False
        await self.run()

    async def _reconnect_lost_members(self) -> None:
        """Synchronise with one seed or dead member, so that partitions merge again."""
        live = set(self._peers.list_addresses())
        lost = {m.address for m in self._members.members.values() if m.state == "dead"}
        known = lost | set(self._list_seeds())
        candidates = sorted(known - live - {self._own_address})
        if candidates:
            await self._anti_entropy.run(
                [self._rng.choice(candidates)], drop_unconfirmed=False
            )
