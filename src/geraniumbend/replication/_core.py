"""Raft state of one replica."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import (
    GeraniumbendError,
    NotLeaderError,
    ProtocolError,
    StorageError,
    UnavailableError,
)
from geraniumbend.logs import log_event
from geraniumbend.replication import _events  # noqa: F401
from geraniumbend.replication._disk_recovery import DiskRecovery
from geraniumbend.replication._entries import COMMAND, MEMBERS, Entry, EntryLog
from geraniumbend.replication._files import Snapshot, VoteState
from geraniumbend.replication._members import MemberSet, decode_members
from geraniumbend.replication._storage import LogStorage
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    import random

    from geraniumbend.ports import RpcCaller, StateMachine
    from geraniumbend.replication._ports import Disk
    from geraniumbend.timers import TimerService

MESSAGE_VERSION = 1
# Maximum wait of a proposal or a read for its entry, in election timeouts.
MAX_WAIT_TIMEOUTS = 10
# The log is compacted after this many applied entries or bytes of entry data.
COMPACT_ENTRIES = 1_000
COMPACT_BYTES = 4 * 1024 * 1024
# Entries that compaction keeps in memory although the snapshot covers them, so that
# a follower that lags by less gets entries instead of the whole snapshot.
TRAILING_ENTRIES = 500


class PendingProposal(NamedTuple):
    """A proposal that waits for its commit.

    Parameters
    ----------
    term : int
        Term in which the entry was appended.
    future : asyncio.Future of bytes
        Result of the state machine.
    """

    term: int
    future: asyncio.Future[bytes]


class Core:
    """Raft state of one replica, shared by its leader, follower and election parts.

    Parameters
    ----------
    shard, node, folder : str
        Name of the log, name of this node, folder of this replica.
    machine : StateMachine
        State machine that committed commands are applied to.
    clients : RpcCaller
        Calls to peers.
    timers : TimerService
        Clock.
    disk : Disk
        File operations.
    election_timeout_s, heartbeat_s : float
        Minimum election timeout and heartbeat period, in seconds.
    rng : random.Random
        Source of random election timeouts and incarnations.
    """

    def __init__(
        self,
        shard: str,
        node: str,
        folder: str,
        machine: StateMachine,
        clients: RpcCaller,
        timers: TimerService,
        disk: Disk,
        election_timeout_s: float,
        heartbeat_s: float,
        rng: random.Random,
    ) -> None:
        self.shard = shard
        self.node = node
        self.machine = machine
        self.clients = clients
        self.timers = timers
        self.election_timeout_s = election_timeout_s
        self.heartbeat_s = heartbeat_s
        self.rng = rng
        self.storage = LogStorage(disk, folder, self._notify_written, self.fail)
        self.log = EntryLog()
        self.vote_state = VoteState()
        self.saved_vote_state = VoteState()
        # Time that writes of the vote state took lately, in seconds.
        self.vote_save_s = 0.0
        self.is_leader = False
        self.leader = ""
        self.leader_address = ""
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        # An entry commits once a majority holds it on disk, and at least this many
        # voters (all of them in a smaller cluster).
        self.min_durable_copies = 1
        self.failure: StorageError | None = None
        self.is_installing = False
        # Why each voter denied its vote in the last campaign without a majority.
        self.missing_votes: dict[str, str] = {}
        # Time of the last message of a leader. A voter grants no vote within an
        # election timeout after it, which the leader lease relies on. A restarted
        # replica has lost that time, so its start counts as contact.
        self.started_at = timers.now()
        self.leader_contact_at = self.started_at
        # Tells this process from earlier ones of the same replica.
        self.session = rng.getrandbits(62) | 1
        # Start of the current election timeout.
        self.timeout_start = self.started_at
        # Index and member list of the newest committed list and of all later ones.
        self.member_sets: list[tuple[int, MemberSet]] = [(0, MemberSet())]
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.uncompacted_bytes = 0
        self._applied_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.on_step_down = _ignore
        self.on_written = _ignore
        self._compaction: asyncio.Task[None] | None = None
        self._vote_lock = asyncio.Lock()
        self._vote_write_started_at: float | None = None
        self._vote_save: asyncio.Task[None] | None = None
        self._cluster_id_save: asyncio.Task[None] | None = None
        self.disk_recovery = DiskRecovery(self)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote_state.term

    @property
    def members(self) -> MemberSet:
        """Return the newest member list in the log, committed or not."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry with the newest member list."""
        return self.member_sets[-1][0]

    @property
    def confirmed_cluster_id(self) -> str:
        """Return the cluster id of a committed entry, empty if none is known.

        The first leader chooses the id. Until its entry is committed, another leader
        may replace the entry, and the id with it.
        """
        return self.member_sets[0][1].cluster_id or self.vote_state.cluster_id or ""

    @property
    def is_empty(self) -> bool:
        """Return whether the replica has no term and no entry and has lost no log."""
        return (
            self.vote_state.term == 0
            and self.log.last_index == 0
            and not self.vote_state.lost
        )

    def required_copies(self) -> int:
        """Return how many voters must hold an entry on disk before it commits."""
        copies = min(self.min_durable_copies, len(self.members.voters()))
        return max(self.members.majority(), copies)

    def may_grant_votes(self) -> bool:
        """Return whether this replica may grant votes to candidates.

        A candidate counts the vote by its own list, which may name this replica a voter
        before the replica holds that list (Ongaro, section 4.2.2).
        """
        is_formation_durable = self.saved_vote_state.formed == self.vote_state.formed
        return (
            self.failure is None and is_formation_durable and bool(self.members.members)
        )

    def can_vote(self) -> bool:
        """Return whether this replica may vote and become leader.

        A voter that an uncommitted list removes still votes and may lead: without it
        no candidate might reach the majority that commits that list (Ongaro,
        section 4.2.2).
        """
        return self.may_grant_votes() and any(
            self._is_voter_in(members) for _, members in self.member_sets
        )

    def is_voter(self) -> bool:
        """Return whether this replica is a voter of the newest member list."""
        return self.failure is None and self._is_voter_in(self.members)

    def check_request(self, request: Any) -> None:
        """Check that a request may be processed.

        Raises
        ------
        StorageError
            If a disk write of this replica has failed.
        ProtocolError
            If the request comes from a newer release or another cluster.
        """
        if self.failure is not None:
            raise self.failure
        if request.version > MESSAGE_VERSION:
            raise ProtocolError(
                f"message version {request.version} is newer than {MESSAGE_VERSION}",
                "upgrade this control host",
            )
        own = self.confirmed_cluster_id
        if own and request.cluster_id and own != request.cluster_id:
            raise ProtocolError(
                f"peer belongs to cluster {request.cluster_id}, this replica to {own}",
                "empty the data folder of the host that is to join",
            )

    async def save_vote_state(self, vote_state: VoteState) -> None:
        """Set the vote state in memory at once and return when it is durable.

        Raises
        ------
        StorageError
            If a disk write of this replica has failed.
        """
        self.vote_state = vote_state
        await self.wait_vote_state_saved()

    async def wait_vote_state_saved(self) -> None:
        """Wait until the vote state in memory is durable; callers share the writes.

        Raises
        ------
        StorageError
            If a disk write of this replica has failed.
        """
        async with self._vote_lock:
            while self.saved_vote_state != self.vote_state:
                await self._write_vote_state()

    def set_vote_state(self, vote_state: VoteState) -> None:
        """Set the vote state in memory and write it in the background."""
        self.vote_state = vote_state
        if self._vote_save is None or self._vote_save.done():
            self._vote_save = asyncio.ensure_future(self._save_in_background())

    def is_term_durable(self) -> bool:
        """Return whether a restart of this replica would keep its term."""
        return self.saved_vote_state.term == self.vote_state.term

    def vote_delay_s(self) -> float:
        """Return how long a write of the vote state takes at present, in seconds."""
        if self._vote_write_started_at is None:
            return self.vote_save_s
        running_s = self.timers.now() - self._vote_write_started_at
        return max(self.vote_save_s, running_s)

    def observe_term(self, term: int) -> None:
        """Adopt a higher term that a peer reported and become follower."""
        if term > self.vote_state.term:
            self.step_down()
            self.leader = self.leader_address = ""
            self.set_vote_state(self.vote_state._replace(term=term, voted_for=""))

    def step_down(self) -> None:
        """Stop leading; pending proposals fail with an unknown outcome."""
        if not self.is_leader:
            return
        self.is_leader = False
        self.leader = self.leader_address = ""
        self.timeout_start = self.timers.now()
        log_event(501, shard=self.shard, term=self.term)
        self._fail_pending_proposals(
            UnavailableError(
                "leadership was lost; the outcome of the change is unknown",
                "read the state or retry the change with the same change id",
            )
        )
        self.on_step_down()

    def fail(self, error: StorageError) -> None:
        """Stop acknowledging, voting and leading until the disk takes writes again."""
        if self.failure is None:
            self.failure = error
            log_event(502, shard=self.shard, error=str(error))
            self.disk_recovery.start()
        self.step_down()
        self._release_applied_waiters()

    def not_leader_error(self) -> NotLeaderError:
        """Return the error that names the leader."""
        if self.leader_address:
            return NotLeaderError(
                f"{self.node} does not lead log {self.shard}",
                f"ask {self.leader_address}",
                self.leader_address,
            )
        reasons = [f"{name}: {why}" for name, why in sorted(self.missing_votes.items())]
        waits_for = f", it lacks votes ({', '.join(reasons)})" if reasons else ""
        return NotLeaderError(
            f"log {self.shard} has no leader known to {self.node}{waits_for}",
            "try again, and check the control hosts whose votes are missing",
        )

    def append(self, entry: Entry) -> None:
        """Append an entry to the log and queue its write."""
        self.log.append(entry, self.storage.enqueue(entry))
        if entry.kind == MEMBERS:
            self.member_sets.append((entry.index, decode_members(entry.data)))

    def truncate(self, index: int) -> None:
        """Drop uncommitted entries that conflict with the leader's log."""
        if index <= self.commit_index:
            raise StorageError(
                f"the leader's log conflicts with committed entry {index}",
                "keep the data folders and restore a backup",
            )
        self.log.truncate(index)
        while self.member_sets[-1][0] >= index:
            self.member_sets.pop()

    def commit(self, index: int) -> None:
        """Commit and apply all entries up to an index."""
        index = min(index, self.log.last_index)
        while self.commit_index < index:
            self.commit_index += 1
            self._apply(self.log.get(self.commit_index))
        while len(self.member_sets) > 1 and self.member_sets[1][0] <= index:
            self.member_sets.pop(0)
        if self.confirmed_cluster_id != self.vote_state.cluster_id:
            self.vote_state = self.vote_state._replace(
                cluster_id=self.confirmed_cluster_id
            )
            self._cluster_id_save = asyncio.ensure_future(self._save_cluster_id())
        self._release_applied_waiters()
        self._compact_if_due()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log and the state machine's state by a snapshot."""
        self.machine.restore(snapshot.data)
        self.log.reset(snapshot.index, snapshot.term)
        self.member_sets = [(snapshot.index, snapshot.members)]
        self.commit_index = self.applied_index = snapshot.index
        self.snapshot_index = snapshot.index
        self.uncompacted_bytes = 0
        self._release_applied_waiters()

    async def wait_applied(self, index: int) -> None:
        """Wait until the state machine has applied an entry.

        Raises
        ------
        UnavailableError
            If that takes longer than `MAX_WAIT_TIMEOUTS` election timeouts or the
            replica stops.
        StorageError
            If a disk write of this replica has failed.
        """
        if self.failure is not None:
            raise self.failure
        if index <= self.applied_index:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._applied_waiters.append((index, future))

        def expire() -> None:
            if not future.done():
                future.set_exception(
                    UnavailableError(
                        f"{self.node} did not apply entry {index} of log {self.shard} "
                        "in time",
                        "try another control host",
                    )
                )

        limit = MAX_WAIT_TIMEOUTS * self.election_timeout_s
        timer = self.timers.after(limit, expire)
        try:
            await future
        finally:
            timer.cancel()

    def current_snapshot(self) -> Snapshot:
        """Return a snapshot of the state after the last applied entry."""
        index = self.applied_index
        term = self.log.term_at(index)
        assert term is not None
        members = [held for at, held in self.member_sets if at <= index][-1]
        return Snapshot(index, term, members, self.machine.snapshot())

    async def stop(self) -> None:
        """Fail pending proposals and reads and wait for running writes."""
        await self.disk_recovery.stop()
        self.step_down()
        waiters, self._applied_waiters = self._applied_waiters, []
        for _, future in waiters:
            if not future.done():
                future.set_exception(
                    UnavailableError(f"{self.node} stops", "try another control host")
                )
        if self._cluster_id_save is not None:
            self._cluster_id_save.cancel()
        background = [self._compaction, self._vote_save, self._cluster_id_save]
        running = [task for task in background if task is not None]
        await asyncio.gather(*running, return_exceptions=True)
        await self.storage.close()

    def _is_voter_in(self, members: MemberSet) -> bool:
        own = members.get(self.node)
        return (
            own is not None
            and own.is_voter
            and own.incarnation == self.vote_state.incarnation
        )

    def _apply(self, entry: Entry) -> None:
        result = b""
        error: Exception | None = None
        if entry.kind == COMMAND:
            try:
                result = self.machine.apply(entry.index, entry.data)
            except Exception as raised:
                error = raised
                log_event(505, shard=self.shard, index=entry.index, error=repr(raised))
        elif entry.kind == MEMBERS:
            names = {
                member.name: "voter" if member.is_voter else "learner"
                for member in decode_members(entry.data).members
            }
            log_event(504, shard=self.shard, index=entry.index, members=names)
        self.applied_index = entry.index
        self.uncompacted_bytes += len(entry.data)
        pending = self.pending_proposals.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term != entry.term:
            error = UnavailableError(
                "another leader's entry replaced the change", "retry the change"
            )
        if error is None:
            pending.future.set_result(result)
        elif isinstance(error, GeraniumbendError):
            pending.future.set_exception(error)
        else:
            pending.future.set_exception(
                UnavailableError(f"the change failed: {error!r}", "see event 505")
            )

    def _compact_if_due(self) -> None:
        uncompacted_entries = self.applied_index - self.snapshot_index
        if (
            uncompacted_entries < COMPACT_ENTRIES
            and self.uncompacted_bytes < COMPACT_BYTES
        ):
            return
        if self._compaction is None or self._compaction.done():
            self._compaction = spawn_task(self._compact())

    async def _compact(self) -> None:
        if self.failure is not None or self.is_installing:
            return
        # The new segment is started before the snapshot, so that the snapshot covers
        # the older segments completely: they are deleted now and are not read at the
        # next start.
        self.storage.roll()
        try:
            await self.wait_applied(self.log.last_index)
        except GeraniumbendError:
            return
        if self.failure is not None or self.is_installing:
            return
        snapshot = self.current_snapshot()
        self.uncompacted_bytes = 0
        self.snapshot_index = snapshot.index
        try:
            await self.storage.save_snapshot(snapshot, is_reset=False)
        except StorageError:
            return
        self.log.discard(snapshot.index - TRAILING_ENTRIES)
        log_event(506, shard=self.shard, index=snapshot.index)

    async def _write_vote_state(self) -> None:
        started_at = self._vote_write_started_at = self.timers.now()
        try:
            self.saved_vote_state = await self.storage.save_vote_state(
                lambda: self.vote_state
            )
        finally:
            self._vote_write_started_at = None
        taken_s = self.timers.now() - started_at
        # One fast write does not make a slow disk count as fast.
        self.vote_save_s = max(taken_s, (self.vote_save_s + taken_s) / 2)

    async def _save_cluster_id(self) -> None:
        # Entries go first: a change waits for them, and nothing waits for the id.
        deadline = self.timers.now() + MAX_WAIT_TIMEOUTS * self.election_timeout_s
        while self.storage.is_writing() and self.timers.now() < deadline:
            await self.timers.sleep(self.heartbeat_s)
        await self._save_in_background()

    async def _save_in_background(self) -> None:
        # A failed write is recorded in `failure`.
        with suppress(StorageError):
            await self.wait_vote_state_saved()

    def _notify_written(self) -> None:
        self.on_written()

    def _release_applied_waiters(self) -> None:
        waiting = []
        for index, future in self._applied_waiters:
            if self.failure is not None and not future.done():
                future.set_exception(self.failure)
            elif index > self.applied_index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._applied_waiters = waiting

    def _fail_pending_proposals(self, error: UnavailableError) -> None:
        pending_proposals, self.pending_proposals = self.pending_proposals, {}
        for pending in pending_proposals.values():
            if not pending.future.done():
                pending.future.set_exception(error)


def _ignore() -> None:
    return None
