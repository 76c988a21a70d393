"""Leader role of a replica."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.errors import (
    ConflictError,
    GeraniumbendError,
    NotLeaderError,
    ProtocolError,
    UnavailableError,
)
from geraniumbend.logs import log_event
from geraniumbend.replication._core import MAX_WAIT_TIMEOUTS, PendingProposal
from geraniumbend.replication._entries import COMMAND, MEMBERS, NO_OP, Entry
from geraniumbend.replication._members import MemberSet, encode_members
from geraniumbend.replication._messages import build_request, call_peer
from geraniumbend.replication._peers import NEVER, Peer
from geraniumbend.replication._quorum_index import QuorumIndex
from geraniumbend.replication._waits import CommitWatch
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._members import Member

# Length of the leader lease in election timeouts. It starts when a heartbeat is sent
# that a majority acknowledges. With both clocks off by 10 % the lease lasts
# 0.6 / 0.9 = 0.67 of a timeout, and the voters grant no vote for at least
# 1 / 1.1 = 0.91 of one.
LEASE_SHARE = 0.6
# A command and its message header must fit into one frame of 8 MiB.
MAX_COMMAND_BYTES = 4 * 1024 * 1024


class LeaderRole:
    """Leader of a log: lease, proposals, commit and leadership transfer.

    Parameters
    ----------
    core : Core
        State of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self.peers: dict[str, Peer] = {}
        self.is_transferring = False
        self._quorum = QuorumIndex(core.timers)
        # First entry that this leader appended in its term.
        self._term_start_index = 0
        self._started_at = NEVER
        self._heartbeat: asyncio.Task[None] | None = None
        self.on_heartbeat: Callable[[], None] = _ignore
        self._lease_waiters: list[asyncio.Future[None]] = []
        self._closing: set[asyncio.Task[None]] = set()
        self._commit_watch = CommitWatch(core, self.describe_missing_copies)
        core.on_step_down = self._stop
        core.on_written = self.advance_commit

    def start(self) -> None:
        """Become leader after a won election."""
        core = self._core
        known = [members.get(core.node) for _, members in core.member_sets]
        core.is_leader = True
        core.leader = core.node
        core.leader_address = next(own.address for own in known if own is not None)
        self.is_transferring = False
        self._started_at = core.timers.now()
        self._quorum.reset()
        log_event(500, shard=core.shard, term=core.term)
        if core.members.cluster_id:
            self._term_start_index = self._append(NO_OP, b"")
        else:
            cluster_id = f"{core.rng.getrandbits(128):032x}"
            first = core.members._replace(cluster_id=cluster_id)
            self._term_start_index = self._append(MEMBERS, encode_members(first))
        self.update_peers()
        self._heartbeat = spawn_task(self._run_heartbeats(core.term))

    async def propose(self, command: bytes) -> bytes:
        """Append a command and return its result once it is committed.

        Raises
        ------
        ProtocolError
            If the command is longer than 4 MiB.
        NotLeaderError
            If this replica does not hold the leader lease.
        UnavailableError
            If the outcome is unknown.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ProtocolError(
                f"command of {len(command)} bytes exceeds {MAX_COMMAND_BYTES}",
                "split the change",
            )
        await self._require_lease()
        return await self._wait_for_result(self._append(COMMAND, command))

    async def read_barrier(self) -> int:
        """Return an index that covers everything acknowledged before the call."""
        core = self._core
        await self._require_lease()
        index = max(core.commit_index, self._term_start_index)
        await core.wait_applied(index)
        await self._require_lease()
        return index

    async def confirm_leadership(self) -> None:
        """Wait until a majority holds the first entry of this leader.

        Raises
        ------
        NotLeaderError
            If this replica does not hold the leader lease.
        UnavailableError
            If no majority has it in time.
        """
        await self._require_lease()
        await self._wait_for_quorum(self._term_start_index)
        await self._require_lease()

    async def change_members(self, old: MemberSet, new: MemberSet) -> None:
        """Replace the member list and wait until a majority of the new one holds it.

        A majority is enough for a list, however many copies a command needs: a change
        of the list may be what makes that number of copies possible.

        Raises
        ------
        NotLeaderError
            If this replica no longer leads.
        ConflictError
            If `old` is not the newest list or no majority holds it yet.
        UnavailableError
            If the outcome is unknown.
        """
        core = self._core
        if not core.is_leader:
            raise core.not_leader_error()
        if core.members != old or not self.is_settled():
            raise ConflictError(
                "another member change is in progress", "try again in a second"
            )
        index = self._append(MEMBERS, encode_members(new))
        self.update_peers()
        await self._wait_for_quorum(index)

    def is_settled(self) -> bool:
        """Return whether a majority holds an entry of this term and the newest list."""
        newest = max(self._term_start_index, self._core.members_index)
        return self._quorum.value >= newest

    def update_peers(self) -> None:
        """Replicate to exactly the other members of the newest list."""
        core = self._core
        wanted = {
            member.name: member
            for member in core.members.members
            if member.name != core.node
        }
        for name in list(self.peers):
            known = self.peers[name].member
            if name not in wanted or known.address != wanted[name].address:
                self._close_peer(self.peers.pop(name))
        for name, member in wanted.items():
            if name in self.peers:
                self.peers[name].member = member
            else:
                self.peers[name] = Peer(core, member, self._handle_progress)

    def is_counted(self, member: Member) -> bool:
        """Return whether a voter's acknowledgements count towards a majority.

        Those of a voter whose disk has another incarnation than the member list
        names do not: it has lost its log.
        """
        if member.name == self._core.node:
            return self._core.is_voter()
        peer = self.peers.get(member.name)
        return peer is not None and peer.incarnation == member.incarnation

    def advance_commit(self) -> None:
        """Commit the entries that enough voters hold on disk."""
        core = self._core
        if not core.is_leader:
            return
        match_indexes = sorted(
            (self._match_index_of(member) for member in core.members.voters()),
            reverse=True,
        )
        majority = core.members.majority()
        held_by_majority = match_indexes[majority - 1]
        held_by_enough = match_indexes[core.required_copies() - 1]
        # Entries of earlier terms count only together with one of this term (Raft,
        # section 5.4.2).
        if core.log.term_at(held_by_majority) == core.term:
            self._quorum.advance(held_by_majority)
        if (
            held_by_enough > core.commit_index
            and core.log.term_at(held_by_enough) == core.term
        ):
            core.commit(held_by_enough)

    def describe_missing_copies(self) -> dict[str, str]:
        """Return by voter why its copy of the last entry does not count yet."""
        last_index = self._core.log.last_index
        return {
            member.name: self._explain_missing_copy(member)
            for member in self._core.members.voters()
            if self._match_index_of(member) < last_index
        }

    def _explain_missing_copy(self, member: Member) -> str:
        if member.name == self._core.node:
            return "its own write is not durable yet"
        peer = self.peers.get(member.name)
        if peer is None or peer.incarnation is None:
            error = "" if peer is None else peer.last_error
            return error or "has not answered yet"
        if peer.incarnation != member.incarnation:
            return "has lost its log"
        return peer.last_error or f"holds entries up to {peer.match_index}"

    def lease_until(self) -> float:
        """Return the end of the leader lease, in seconds of the local clock.

        No other replica can be elected before it.
        """
        core = self._core
        times = sorted(
            (self._last_contact_of(member) for member in core.members.voters()),
            reverse=True,
        )
        return times[core.members.majority() - 1] + (
            LEASE_SHARE * core.election_timeout_s
        )

    def has_lease(self) -> bool:
        """Return whether this replica leads and its lease has not expired."""
        core = self._core
        return (
            core.is_leader
            and not self.is_transferring
            and core.timers.now() < self.lease_until()
        )

    async def transfer(self) -> bool:
        """Transfer leadership to a voter that holds the whole log.

        Returns
        -------
        bool
            Whether a voter was asked to take over.
        """
        core = self._core
        if all(member.name == core.node for member in core.members.voters()):
            return False
        self.is_transferring = True
        deadline = core.timers.now() + core.election_timeout_s
        while core.is_leader and core.timers.now() < deadline:
            for member in core.members.voters():
                peer = self.peers.get(member.name)
                if peer is None or not self.is_counted(member) or not peer.is_live():
                    continue
                last_index = core.log.last_index
                if peer.match_index == core.commit_index == last_index:
                    return await self._transfer_to(member)
            await core.timers.sleep(core.heartbeat_s / 4)
        return False

    async def close(self) -> None:
        """Stop replicating and wait until all tasks have ended."""
        self._stop()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def _transfer_to(self, member: Member) -> bool:
        core = self._core
        request = build_request(core, "TransferRequest")
        # The successor may be elected from now on, even if the call fails here.
        core.step_down()
        try:
            await call_peer(
                core,
                member.address,
                "transfer",
                request,
                "StatusResponse",
                core.election_timeout_s,
            )
        except GeraniumbendError:
            return False
        return True

    def _append(self, kind: int, data: bytes) -> int:
        core = self._core
        entry = Entry(core.log.last_index + 1, core.term, kind, data)
        core.append(entry)
        for peer in self.peers.values():
            peer.wake()
        return entry.index

    async def _wait_for_result(self, index: int) -> bytes:
        core = self._core
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        core.pending_proposals[index] = PendingProposal(core.term, future)

        def expire() -> None:
            if not future.done():
                future.set_exception(
                    UnavailableError(
                        "no majority confirmed the change in time; its outcome is "
                        "unknown",
                        "read the state or retry the change with the same change id",
                    )
                )

        limit = MAX_WAIT_TIMEOUTS * core.election_timeout_s
        timer = core.timers.after(limit, expire)
        try:
            return await future
        finally:
            timer.cancel()

    async def _wait_for_quorum(self, index: int) -> None:
        limit_s = MAX_WAIT_TIMEOUTS * self._core.election_timeout_s
        await self._quorum.wait(index, limit_s)

    async def _require_lease(self) -> None:
        core = self._core
        if core.failure is not None:
            raise core.failure
        if not core.is_leader:
            raise core.not_leader_error()
        if self.has_lease():
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._lease_waiters.append(future)
        timer = core.timers.after(core.election_timeout_s, lambda: _resolve(future))
        try:
            await future
        finally:
            timer.cancel()
        if not self.has_lease():
            raise NotLeaderError(
                f"{core.node} has lost contact with the majority of log {core.shard}",
                "try another control host",
            )

    def _match_index_of(self, member: Member) -> int:
        core = self._core
        if not self.is_counted(member):
            return 0
        if member.name == core.node:
            return core.log.durable_index(core.storage.last_written)
        return self.peers[member.name].match_index

    def _last_contact_of(self, member: Member) -> float:
        if not self.is_counted(member):
            return NEVER
        if member.name == self._core.node:
            return self._core.timers.now()
        return self.peers[member.name].acknowledged_at

    def _handle_progress(self) -> None:
        self.advance_commit()
        if self.has_lease():
            self._wake_lease_waiters()

    async def _run_heartbeats(self, term: int) -> None:
        core = self._core
        lease = LEASE_SHARE * core.election_timeout_s
        while core.is_leader and core.term == term:
            confirmed_at = max(self._started_at, self.lease_until() - lease)
            if core.timers.now() - confirmed_at > core.election_timeout_s:
                core.step_down()
                return
            for peer in self.peers.values():
                peer.wake(is_heartbeat=True)
            self._commit_watch.check()
            self.on_heartbeat()
            await core.timers.sleep(core.heartbeat_s)

    def _stop(self) -> None:
        if self._heartbeat is not None:
            if self._heartbeat is not asyncio.current_task():
                self._heartbeat.cancel()
            self._heartbeat = None
        for peer in self.peers.values():
            self._close_peer(peer)
        self.peers.clear()
        self._quorum.release()
        self._wake_lease_waiters()

    def _wake_lease_waiters(self) -> None:
        waiters, self._lease_waiters = self._lease_waiters, []
        for future in waiters:
            if not future.done():
                future.set_result(None)

    def _close_peer(self, peer: Peer) -> None:
        task = asyncio.ensure_future(peer.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


def _ignore() -> None:
    return None
