"""Reconciliation of log members with live control hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from geraniumbend.errors import GeraniumbendError, NotLeaderError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.ports import RpcCaller
    from geraniumbend.replication import MemberState, Replica
    from geraniumbend.timers import Subscription, TimerService

# Period between two reconciliations, in seconds.
RECONCILE_PERIOD_S = 0.5
# Timeout of a join request, in seconds.
CALL_TIMEOUT_S = 2.0
# A member that has not been live for this time, in seconds, may be removed. If it comes
# back later it joins again, so a false suspicion costs one transfer of the log.
REPLACE_AFTER_S = 5.0
# The same for a voter that has a successor, or a learner on standby that can be one.
REPLACE_BY_STANDBY_AFTER_S = 1.0
# A member that hears no leader for this time, in seconds, asks to join: the others may
# have removed it while it was frozen or cut off, and no longer replicate to it.
LEADERLESS_S = 3.0
# A learner on standby has caught up if it lacks at most this many committed entries.
STANDBY_LAG_ENTRIES = 100

declare_event(
    911, "member_joins", "info", "A control host asks to become a member of a log."
)
declare_event(
    912,
    "member_dropped",
    "warning",
    "A dead member was removed because other members have replaced it.",
)
declare_event(
    913, "member_promoted", "info", "A learner on standby is to become a voter."
)


class MemberReconciler:
    """Reconciles the members of the logs with the live control hosts.

    A host that is not a member of a log asks the log's leader to add it as a learner on
    standby. So does a member that hears no leader, since it may have been removed; a
    member that was not stays what it is. A leader promotes one while fewer than
    `target_voters` are live. It removes dead learners, and a dead voter as soon as its
    successor votes. The successor comes first: a voter that is only cut off still holds
    its disk, and without it the loss of one disk could leave no majority.

    Parameters
    ----------
    replicas : sequence of Replica
        Replicas of this process.
    address : str
        Peer address of this host, which is also its member name in the logs.
    list_control_hosts : callable
        Returns the peer addresses of the live control hosts.
    target_voters : int
        Number of voters that a log keeps. Dead voters are removed only while a log has
        more voters than this.
    clients : RpcCaller
        Client for RPCs to other control hosts.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        replicas: Sequence[Replica],
        address: str,
        list_control_hosts: Callable[[], list[str]],
        target_voters: int,
        clients: RpcCaller,
        timers: TimerService,
    ) -> None:
        self._replicas = {replica.shard: replica for replica in replicas}
        self._address = address
        self._list_control_hosts = list_control_hosts
        self._target_voters = target_voters
        self._clients = clients
        self._timers = timers
        self._asked_at = -LEADERLESS_S
        self._last_live_at: dict[tuple[str, str], float] = {}
        # Dead voters for which this leader has promoted a successor.
        self._replaced: set[tuple[str, str]] = set()
        self._reconcile_timer: Subscription | None = None
        self._next_host = 0

    def register(self, server: RpcServer) -> None:
        """Register the RPC handler for join requests."""
        server.handle("control.join")(self._serve_join)

    def start(self) -> None:
        """Start the periodic reconciliation."""
        self._reconcile_timer = self._timers.every(
            RECONCILE_PERIOD_S, self.reconcile, 0.2
        )

    def stop(self) -> None:
        """Stop the periodic reconciliation."""
        if self._reconcile_timer is not None:
            self._reconcile_timer.cancel()

    async def reconcile(self) -> None:
        """Reconcile each log once.

        Leaders promote and remove members; other hosts ask to join the logs that they
        are not a member of.
        """
        for replica in self._replicas.values():
            if replica.is_leader:
                await self._reconcile_members(replica)
            elif not self._is_member(replica) or self._is_abandoned(replica):
                await self._request_join(replica)

    def _is_member(self, replica: Replica) -> bool:
        return any(member.name == self._address for member in replica.members())

    def _is_abandoned(self, replica: Replica) -> bool:
        """Tell whether the leader has been silent for so long that this host asks."""
        now = self._timers.now()
        if min(replica.leader_silence_s, now - self._asked_at) < LEADERLESS_S:
            return False
        self._asked_at = now
        return True

    async def _request_join(self, replica: Replica) -> None:
        hosts = [host for host in self._list_control_hosts() if host != self._address]
        if not hosts:
            return
        self._next_host += 1
        host = hosts[self._next_host % len(hosts)]
        log_event(911, shard=replica.shard, asked=host)
        body = msgspec.json.encode([replica.shard, self._address])
        try:
            await self._clients.call(host, "control.join", body, CALL_TIMEOUT_S)
        except NotLeaderError as error:
            if error.leader:
                await self._request_join_at_leader(error.leader, body)
        except GeraniumbendError:
            # The next reconciliation asks another host.
            return

    async def _request_join_at_leader(self, leader: str, body: bytes) -> None:
        try:
            await self._clients.call(leader, "control.join", body, CALL_TIMEOUT_S)
        except GeraniumbendError:
            # Another membership change is in progress, or the leader has changed. The
            # next reconciliation retries.
            return

    async def _serve_join(self, body: bytes) -> bytes:
        shard, address = msgspec.json.decode(body, type=tuple[str, str])
        await self._replicas[shard].add_member(address, address, voting=False)
        return b""

    async def _reconcile_members(self, replica: Replica) -> None:
        members = replica.members()
        silent_s = self._measure_silence(replica.shard, members)
        standby = _find_standby(members, replica.commit_index)
        removed = self._find_removable(
            replica.shard, members, silent_s, standby is not None
        )
        try:
            if removed is not None:
                await replica.remove_member(removed)
                log_event(912, shard=replica.shard, member=removed)
            elif standby is not None and self._needs_voter(members, silent_s):
                await replica.promote_member(standby)
                self._replaced.update(
                    (replica.shard, member.name)
                    for member in members
                    if _is_dead(member, silent_s)
                )
                log_event(913, shard=replica.shard, member=standby)
        except GeraniumbendError:
            # The removal risks the majority, another change is in progress, or the
            # leader has changed. The next reconciliation tries again.
            return

    def _measure_silence(
        self, shard: str, members: list[MemberState]
    ) -> dict[str, float]:
        """Return for how long each member has not been live, in seconds."""
        now = self._timers.now()
        for member in members:
            key = (shard, member.name)
            if member.is_live or key not in self._last_live_at:
                self._last_live_at[key] = now
                self._replaced.discard(key)
        return {m.name: now - self._last_live_at[(shard, m.name)] for m in members}

    def _needs_voter(
        self, members: list[MemberState], silent_s: dict[str, float]
    ) -> bool:
        voting = [member for member in members if _is_voting(member)]
        dead = sum(_is_dead(member, silent_s) for member in voting)
        return len(voting) - dead < self._target_voters

    def _find_removable(
        self,
        shard: str,
        members: list[MemberState],
        silent_s: dict[str, float],
        has_standby: bool,
    ) -> str | None:
        voters = sum(member.role == "voter" for member in members)
        for member in members:
            if member.role == "voter":
                if voters <= self._target_voters:
                    continue
                is_replaced = has_standby or (shard, member.name) in self._replaced
            else:
                is_replaced = member.becomes_voter and has_standby
            limit_s = REPLACE_BY_STANDBY_AFTER_S if is_replaced else REPLACE_AFTER_S
            if silent_s[member.name] > limit_s:
                return member.name
        return None


def _is_voting(member: MemberState) -> bool:
    """Return whether a member is a voter or is to become one."""
    return member.role == "voter" or member.becomes_voter


def _is_dead(member: MemberState, silent_s: dict[str, float]) -> bool:
    """Return whether a voter has been silent for so long that a learner replaces it."""
    return _is_voting(member) and silent_s[member.name] > REPLACE_BY_STANDBY_AFTER_S


def _find_standby(members: list[MemberState], commit_index: int) -> str | None:
    """Return a live learner on standby that has caught up."""
    needed = commit_index - STANDBY_LAG_ENTRIES
    for member in members:
        has_caught_up = member.match_index is not None and member.match_index >= needed
        if member.is_live and has_caught_up and not _is_voting(member):
            return member.name
    return None
