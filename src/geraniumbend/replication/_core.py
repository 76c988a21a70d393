from __future__ import annotations

import asyncio
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
from geraniumbend.replication._entries import COMMAND, MEMBERS, Entry, EntryLog
from geraniumbend.replication._files import Snapshot, Vote
from geraniumbend.replication._members import MemberSet, decode_members
from geraniumbend.replication._storage import LogStorage

if TYPE_CHECKING:
    import random

    from geraniumbend.ports import RpcCaller, StateMachine
    from geraniumbend.replication._ports import Disk
    from geraniumbend.timers import TimerService

MESSAGE_VERSION = 1
# Election timeouts that a proposal or a read waits for its entry.
PATIENCE_TIMEOUTS = 10
COMPACT_ENTRIES = 1_000
COMPACT_BYTES = 4 * 1024 * 1024
# Entries kept in memory behind a snapshot, so that a follower that is slightly
# behind does not need the snapshot.
TRAILING_ENTRIES = 500


class Outcome(NamedTuple):
    """A proposal that waits for its commit."""

    term: int
    future: asyncio.Future[bytes]


class Core:
    """State that the parts of one replica share.

    Parameters
    ----------
    shard, node, folder : str
        Name of the log, name of this node, folder of this replica.
    machine : StateMachine
        State that committed commands drive.
    clients : RpcCaller
        Calls to peers.
    timers : TimerService
        Clock.
    disk : Disk
        File operations.
    election_timeout_s, heartbeat_s : float
        Shortest election timeout and heartbeat period, in seconds.
    rng : random.Random
        Source of election timeouts and incarnations.
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
        self.storage = LogStorage(disk, folder, self._note_written, self.fail)
        self.log = EntryLog()
        self.vote = Vote()
        self.saved_vote = Vote()
        self.is_leader = False
        self.leader = ""
        self.leader_address = ""
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        # Disks that hold an entry before it counts as committed, besides the majority.
        self.copies_wanted = 1
        self.failure: StorageError | None = None
        self.is_installing = False
        # Last message of a leader; it backs the promise not to vote for another one
        # within an election timeout. A restarted replica no longer knows when it
        # made that promise, so the start counts as contact.
        self.started_at = timers.now()
        self.leader_contact = self.started_at
        # Start of the running election timeout.
        self.timeout_start = self.started_at
        self.member_sets: list[tuple[int, MemberSet]] = [(0, MemberSet())]
        self.outcomes: dict[int, Outcome] = {}
        self.uncompacted_bytes = 0
        self._readers: list[tuple[int, asyncio.Future[None]]] = []
        self.on_step_down = _ignore
        self.on_written = _ignore
        self._compaction: asyncio.Task[None] | None = None

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote.term

    @property
    def members(self) -> MemberSet:
        """Return the newest member list, committed or not."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry with the newest member list."""
        return self.member_sets[-1][0]

    @property
    def is_empty(self) -> bool:
        """Return whether the replica never held anything."""
        return self.vote.term == 0 and self.log.last_index == 0 and not self.vote.lost

    def can_vote(self) -> bool:
        """Return whether votes of this disk count.

        A voter that an uncommitted list removes still votes and may lead: without it
        nobody might be able to commit that list (Ongaro, section 4.2.2).
        """
        return self.failure is None and any(
            self._is_voter_in(members) for _, members in self.member_sets
        )

    def is_voter(self) -> bool:
        """Return whether this replica counts for majorities of the newest list."""
        return self.failure is None and self._is_voter_in(self.members)

    def check_request(self, request: Any) -> None:
        """Refuse requests of other clusters, of newer releases or after a failure."""
        if self.failure is not None:
            raise self.failure
        if request.version > MESSAGE_VERSION:
            raise ProtocolError(
                f"message version {request.version} is newer than {MESSAGE_VERSION}",
                "upgrade this control host",
            )
        own = self.members.cluster_id
        if own and request.cluster_id and own != request.cluster_id:
            raise ProtocolError(
                f"peer belongs to cluster {request.cluster_id}, this replica to {own}",
                "empty the data folder of the host that is to join",
            )

    async def save_vote(self, vote: Vote) -> None:
        """Adopt a vote state at once and return when it is durable."""
        self.vote = vote
        self.saved_vote = await self.storage.save_vote(lambda: self.vote)

    async def observe_term(self, term: int) -> None:
        """Follow in a higher term that a peer reported."""
        if term > self.vote.term:
            self.step_down()
            self.leader = self.leader_address = ""
            await self.save_vote(self.vote._replace(term=term, voted_for=""))

    def step_down(self) -> None:
        """Stop leading; open proposals get an unknown outcome."""
        if not self.is_leader:
            return
        self.is_leader = False
        self.leader = self.leader_address = ""
        self.timeout_start = self.timers.now()
        log_event(501, shard=self.shard, term=self.term)
        self._fail_outcomes(
            UnavailableError(
                "the leader lost its majority; the outcome of the change is unknown",
                "read the state or repeat the change with the same change id",
            )
        )
        self.on_step_down()

    def fail(self, error: StorageError) -> None:
        """Stop acknowledging, voting and leading after a failed write."""
        if self.failure is None:
            self.failure = error
            log_event(502, shard=self.shard, error=str(error))
        self.step_down()
        self._wake_readers()

    def not_leader(self) -> NotLeaderError:
        """Return the error that names the leader."""
        return NotLeaderError(
            f"{self.node} does not lead log {self.shard}",
            f"ask {self.leader_address}" if self.leader_address else "try again",
            self.leader_address,
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
                f"the leader's log contradicts committed entry {index}",
                "keep the data folders and restore a backup",
            )
        self.log.truncate(index)
        while self.member_sets[-1][0] >= index:
            self.member_sets.pop()

    def commit(self, index: int) -> None:
        """Apply all entries up to an index that a majority holds."""
        index = min(index, self.log.last_index)
        while self.commit_index < index:
            self.commit_index += 1
            self._apply(self.log.get(self.commit_index))
        while len(self.member_sets) > 1 and self.member_sets[1][0] <= index:
            self.member_sets.pop(0)
        self._wake_readers()
        self._compact_if_due()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace log and state by a snapshot."""
        self.machine.restore(snapshot.data)
        self.log.reset(snapshot.index, snapshot.term)
        self.member_sets = [(snapshot.index, snapshot.members)]
        self.commit_index = self.applied_index = snapshot.index
        self.snapshot_index = snapshot.index
        self.uncompacted_bytes = 0
        self._wake_readers()

    async def wait_applied(self, index: int) -> None:
        """Wait until the state machine has applied an entry.

        Raises
        ------
        UnavailableError
            If that takes ten election timeouts or the replica stops.
        """
        if self.failure is not None:
            raise self.failure
        if index <= self.applied_index:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._readers.append((index, future))

        def expire() -> None:
            if not future.done():
                future.set_exception(
                    UnavailableError(
                        f"{self.node} did not reach entry {index} of log {self.shard} "
                        "in time",
                        "try another control host",
                    )
                )

        limit = PATIENCE_TIMEOUTS * self.election_timeout_s
        timer = self.timers.after(limit, expire)
        try:
            await future
        finally:
            timer.cancel()

    def current_snapshot(self) -> Snapshot:
        """Return the state after the last applied entry."""
        index = self.applied_index
        term = self.log.term_at(index)
        assert term is not None
        members = [held for at, held in self.member_sets if at <= index][-1]
        return Snapshot(index, term, members, self.machine.snapshot())

    async def stop(self) -> None:
        """Fail open proposals and reads and wait for running writes."""
        self.step_down()
        readers, self._readers = self._readers, []
        for _, future in readers:
            if not future.done():
                future.set_exception(
                    UnavailableError(f"{self.node} stops", "try another control host")
                )
        if self._compaction is not None:
            await asyncio.gather(self._compaction, return_exceptions=True)
        await self.storage.close()

    def _is_voter_in(self, members: MemberSet) -> bool:
        own = members.get(self.node)
        return (
            own is not None
            and own.is_voter
            and own.incarnation == self.vote.incarnation
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
        outcome = self.outcomes.pop(entry.index, None)
        if outcome is None or outcome.future.done():
            return
        if outcome.term != entry.term:
            error = UnavailableError(
                "another leader replaced the change", "repeat the change"
            )
        if error is None:
            outcome.future.set_result(result)
        elif isinstance(error, GeraniumbendError):
            outcome.future.set_exception(error)
        else:
            outcome.future.set_exception(
                UnavailableError(f"the change failed: {error!r}", "see event 505")
            )

    def _compact_if_due(self) -> None:
        behind = self.applied_index - self.snapshot_index
        if behind < COMPACT_ENTRIES and self.uncompacted_bytes < COMPACT_BYTES:
            return
        if self._compaction is None or self._compaction.done():
            self._compaction = asyncio.ensure_future(self._compact())

    async def _compact(self) -> None:
        if self.failure is not None or self.is_installing:
            return
        # A new segment first, then a snapshot that covers the older ones as a whole,
        # so that they are deleted now and not read at the next start.
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

    def _note_written(self) -> None:
        self.on_written()

    def _wake_readers(self) -> None:
        waiting = []
        for index, future in self._readers:
            if self.failure is not None and not future.done():
                future.set_exception(self.failure)
            elif index > self.applied_index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._readers = waiting

    def _fail_outcomes(self, error: UnavailableError) -> None:
        outcomes, self.outcomes = self.outcomes, {}
        for outcome in outcomes.values():
            if not outcome.future.done():
                outcome.future.set_exception(error)


def _ignore() -> None:
    return None
