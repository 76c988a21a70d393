"""Public interface of one replica of a log."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.errors import UnavailableError
from geraniumbend.logs import log_event
from geraniumbend.replication._core import Core
from geraniumbend.replication._elections import Elections
from geraniumbend.replication._entries import MEMBERS
from geraniumbend.replication._follower import FollowerRole
from geraniumbend.replication._handlers import Handlers
from geraniumbend.replication._leader import LeaderRole
from geraniumbend.replication._members import decode_members, initial_members
from geraniumbend.replication._membership_changes import MembershipChanges
from geraniumbend.replication._messages import call_peer, cancel_tasks
from geraniumbend.replication._startup import Startup
from geraniumbend.replication._voter import Voter
from geraniumbend.replication._waits import describe_waits
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping
    from pathlib import Path

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.ports import RpcCaller, StateMachine
    from geraniumbend.replication._files import Snapshot
    from geraniumbend.replication._ports import Disk
    from geraniumbend.settings import ControlSettings
    from geraniumbend.timers import TimerService


class MemberState(NamedTuple):
    """A member as seen by the replica that reports it.

    Parameters
    ----------
    name : str
        Node name.
    address : str
        Peer address as ``ip:port``.
    role : {"voter", "learner"}
        Voters count towards majorities, learners do not.
    is_leader : bool
        Whether the reporting replica regards it as the leader.
    is_live : bool or None
        Whether it responded within an election timeout; None unless the reporting
        replica is the leader.
    match_index : int or None
        Last entry known to be on its disk; None unless the reporting replica is the
        leader.
    becomes_voter : bool, default=False
        Whether the leader makes this learner a voter once it has caught up; other
        learners are on standby.
    """

    name: str
    address: str
    role: str
    is_leader: bool
    is_live: bool | None
    match_index: int | None
    becomes_voter: bool = False


class Replica:
    """One replica of a log that is replicated with Raft.

    Parameters
    ----------
    shard : str
        Name of the log; also the name of its folder below `folder`.
    node : str
        Name of this node.
    folder : str or Path
        Data folder of the process.
    voters : mapping of str to str
        First voters: node name to peer address. They are ignored once the log has
        been bootstrapped.
    machine : StateMachine
        State machine that committed commands are applied to.
    clients : RpcCaller
        Calls to peers.
    timers : TimerService
        Clock.
    settings : ControlSettings
        Election timeout, heartbeat period, tolerated disk losses and whether a new
        log may be bootstrapped.
    disk : Disk or None, default=None
        File operations; the local disk if None.
    rng : random.Random or None, default=None
        Source of random election timeouts; seeded by the system if None.
    process_started_at : float or None, default=None
        Clock time, in seconds, before which this process has sent no response to a
        leader. The delay after a restart in which a voter grants no vote counts from
        it; from `start` if None.
    """

    def __init__(
        self,
        shard: str,
        node: str,
        folder: str | Path,
        voters: Mapping[str, str],
        machine: StateMachine,
        clients: RpcCaller,
        timers: TimerService,
        settings: ControlSettings,
        disk: Disk | None = None,
        rng: random.Random | None = None,
        process_started_at: float | None = None,
    ) -> None:
        self._process_started_at = process_started_at
        self.shard = shard
        self.node = node
        self._voters = dict(voters)
        self._own_disk = LocalDisk() if disk is None else None
        used_disk: Any = disk if disk is not None else self._own_disk
        self._core = Core(
            shard,
            node,
            f"{folder}/{shard}",
            machine,
            clients,
            timers,
            used_disk,
            settings.election_timeout_s,
            settings.heartbeat_s,
            rng or random.Random(),
        )
        self._leading = LeaderRole(self._core)
        self._voter = Voter(self._core)
        self._elections = Elections(self._core, self._voter, self._leading.start)
        self._following = FollowerRole(self._core)
        self._core.min_durable_copies = settings.tolerated_losses + 1
        self._startup = Startup(
            self._core, voters, settings.may_found, settings.is_first_start
        )
        self._changes = MembershipChanges(self._core, self._leading)
        self._handlers = Handlers(
            self._core,
            self._leading,
            self._elections,
            self._voter,
            self._following,
            self._require_running,
        )
        self._tasks: list[asyncio.Task[Any]] = []
        self._is_running = False

    def register(self, server: RpcServer) -> None:
        """Register the RPC methods of this log.

        Parameters
        ----------
        server : RpcServer
            Server of the peer listener.
        """
        self._handlers.register(server)

    async def start(self) -> None:
        """Load the stored log and take part in elections.

        Raises
        ------
        StorageError
            If stored files are damaged and no peer can replace them, or were
            written by a newer release.
        """
        core = self._core
        load_start = core.timers.now()
        stored = await self._startup.load()
        load_s = core.timers.now() - load_start
        if stored.vote_state is not None:
            core.vote_state = core.saved_vote_state = stored.vote_state
        if core.vote_state.formed:
            core.member_sets = [(0, initial_members(self._voters.items()))]
        if stored.snapshot is not None:
            core.restore(stored.snapshot)
        for entry in stored.entries:
            core.log.append(entry, 0)
            core.uncompacted_bytes += len(entry.data)
            if entry.kind == MEMBERS:
                core.member_sets.append((entry.index, decode_members(entry.data)))
        if core.vote_state.cluster_id is None:
            core.vote_state = core.vote_state._replace(
                cluster_id=core.members.cluster_id
            )
        log_event(
            512,
            shard=self.shard,
            took_s=round(load_s, 3),
            entries=len(stored.entries),
            snapshot_index=core.snapshot_index,
            term=core.term,
            formed=core.vote_state.formed,
            lost=stored.is_lost,
        )
        core.disk_recovery.enable()
        contact_at = self._process_started_at
        if contact_at is None:
            contact_at = core.timers.now()
        core.started_at = core.leader_contact_at = core.timeout_start = contact_at
        self._is_running = True
        if core.is_empty and not core.vote_state.formed:
            self._spawn(self._startup.bootstrap())
        self._spawn(self._elections.run())

    async def stop(self) -> None:
        """Transfer leadership, then stop; pending proposals fail as unknown."""
        if self._is_running and self._core.is_leader:
            await self._leading.transfer()
        await self.abort()

    async def abort(self) -> None:
        """Stop without a leadership transfer."""
        self._is_running = False
        await cancel_tasks(self._tasks + self._handlers.tasks)
        await self._core.stop()
        await self._leading.close()
        if self._own_disk is not None:
            self._own_disk.close()

    async def propose(self, command: bytes) -> bytes:
        """Return the result of a command once it is committed.

        Parameters
        ----------
        command : bytes
            Input of `StateMachine.apply`, at most 4 MiB.

        Returns
        -------
        bytes
            Result of `StateMachine.apply`.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader; the command was not appended.
        UnavailableError
            If the outcome is unknown.
        StorageError
            If the disk of this replica failed.
        """
        self._require_running()
        return await self._leading.propose(command)

    async def read_barrier(self) -> int:
        """Return an index once this replica has applied the log up to it.

        A replica that is not the leader asks the leader for the index.

        Returns
        -------
        int
            Index that covers every command acknowledged before the call.

        Raises
        ------
        NotLeaderError
            If no leader with a majority can be reached.
        """
        self._require_running()
        core = self._core
        if core.is_leader:
            return await self._leading.read_barrier()
        if not core.leader_address or core.failure is not None:
            raise core.failure or core.not_leader_error()
        try:
            response = await call_peer(
                core,
                core.leader_address,
                "barrier",
                None,
                "BarrierResponse",
                2 * core.election_timeout_s,
            )
        except UnavailableError as error:
            raise core.not_leader_error() from error
        await core.wait_applied(response.index)
        return int(response.index)

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader and holds the leader lease."""
        return self._leading.has_lease()

    @property
    def disk_failed(self) -> bool:
        """Return whether the replica takes no part because a disk write failed."""
        return self._core.failure is not None

    @property
    def leader_address(self) -> str:
        """Return the peer address of the known leader, empty if unknown."""
        return self._core.leader_address

    @property
    def leader_silence_s(self) -> float:
        """Return the time since a leader last replicated to this replica, in seconds.

        The time begins with the start of the replica.
        """
        return self._core.timers.now() - self._core.leader_contact_at

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._core.commit_index

    @property
    def is_formed(self) -> bool:
        """Return whether the members of the log are known to this replica."""
        return bool(self._core.members.members)

    def describe_waits(self) -> dict[str, Any] | None:
        """Return what the replica waits for, with reasons; None if for nothing."""
        if not self._is_running:
            return {"files": "are not read yet"}
        return describe_waits(self._core, self._startup, self._leading)

    @property
    def epoch(self) -> int:
        """Return how many restores from a backup led to this cluster."""
        return self._core.members.epoch

    @property
    def cluster_id(self) -> str:
        """Return the identity of the cluster, empty until the first leader draws it."""
        return self._core.members.cluster_id

    def members(self) -> list[MemberState]:
        """Return the members of the newest list, ordered by name."""
        core = self._core
        return [self._describe(member) for member in core.members.members]

    async def add_member(self, name: str, address: str, voting: bool = True) -> None:
        """Add a learner and return once the change is committed.

        Parameters
        ----------
        name : str
            Node name.
        address : str
            Peer address as ``ip:port``.
        voting : bool, default=True
            Whether the learner becomes a voter once it has caught up.

        Raises
        ------
        ConflictError
            If another change is in progress or the name is taken.
        NotLeaderError
            If this replica is not the leader.
        """
        self._require_running()
        await self._changes.add(name, address, voting)

    async def promote_member(self, name: str) -> None:
        """Let a learner become a voter once it has caught up.

        Parameters
        ----------
        name : str
            Node name.

        Raises
        ------
        ConflictError
            If another change is in progress or another learner is to become a voter.
        ConfigurationError
            If there is no such member.
        NotLeaderError
            If this replica is not the leader.
        """
        self._require_running()
        await self._changes.promote(name)

    async def remove_member(self, name: str) -> None:
        """Remove a member and return once the change is committed.

        Parameters
        ----------
        name : str
            Node name.

        Raises
        ------
        ConflictError
            If another change is in progress or the live voters that remain would
            not be a majority.
        ConfigurationError
            If there is no such member.
        NotLeaderError
            If this replica is not the leader.
        """
        self._require_running()
        await self._changes.remove(name)

    async def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the state after a read barrier."""
        await self.read_barrier()
        return self._core.current_snapshot()

    def dump(self) -> dict[str, Any]:
        """Return the state of the replica for operators."""
        core = self._core
        return {
            "shard": self.shard,
            "node": self.node,
            "cluster_id": self.cluster_id,
            "epoch": self.epoch,
            "role": self._role(),
            "term": core.term,
            "leader": core.leader,
            "leader_address": core.leader_address,
            "commit_index": core.commit_index,
            "applied_index": core.applied_index,
            "last_index": core.log.last_index,
            "snapshot_index": core.snapshot_index,
            "log_bytes": core.storage.size(),
            "syncs": core.storage.syncs,
            "writes": core.storage.last_written,
            "failure": str(core.failure) if core.failure else None,
            "vote_save_s": round(core.vote_save_s, 3),
            "waits_for": self.describe_waits(),
            "members": [member._asdict() for member in self.members()],
        }

    def _require_running(self) -> None:
        if not self._is_running:
            raise UnavailableError(
                f"log {self.shard} is not running on {self.node}",
                "try another control host",
            )

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(spawn_task(coroutine))

    def _describe(self, member: Any) -> MemberState:
        core = self._core
        peer = self._leading.peers.get(member.name)
        is_live, match = (peer.is_live(), peer.match_index) if peer else (None, None)
        if core.is_leader and member.name == self.node:
            is_live = True
            match = core.log.durable_index(core.storage.last_written)
        return MemberState(
            member.name,
            member.address,
            "voter" if member.is_voter else "learner",
            member.name == core.leader,
            is_live,
            match,
            member.promote,
        )

    def _role(self) -> str:
        core = self._core
        if core.failure is not None:
            return "failed"
        if core.is_leader:
            return "leader"
        if core.can_vote():
            return "follower"
        return "learner"
