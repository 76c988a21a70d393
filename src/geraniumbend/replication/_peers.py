"""Replication from the leader to one member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError
from geraniumbend.replication._core import MAX_WAIT_TIMEOUTS
from geraniumbend.replication._entries import entry_to_wire
from geraniumbend.replication._files import Snapshot, snapshot_meta
from geraniumbend.replication._follower import checksum_of
from geraniumbend.replication._messages import build_request, call_peer, cancel_tasks
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._entries import Entry
    from geraniumbend.replication._members import Member

# Append calls with entries in flight to one peer; more only lengthen its queue.
PIPELINE_DEPTH = 8
BATCH_ENTRIES = 512
BATCH_BYTES = 1024 * 1024
CHUNK_BYTES = 512 * 1024
SNAPSHOT_TIMEOUT_S = 5.0
NEVER = float("-inf")


class Peer:
    """Replication from the leader to one member: its progress and the sending task.

    Parameters
    ----------
    core : Core
        State of the replica.
    member : Member
        The peer.
    on_progress : callable
        Called after each acknowledgement of the peer.
    """

    def __init__(
        self, core: Core, member: Member, on_progress: Callable[[], None]
    ) -> None:
        self.member = member
        self.match_index = 0
        self.next_index = core.log.last_index + 1
        # Local time at which the newest acknowledged message was sent.
        self.acknowledged_at = NEVER
        self.incarnation: int | None = None
        # Why the newest append failed, empty if it succeeded.
        self.last_error = ""
        self._core = core
        self._term = core.term
        self._on_progress = on_progress
        # Until an append succeeds, one entry is sent at a time to find the last index
        # at which the peer's log matches.
        self._is_probing = True
        # After a failed call nothing is sent until the next heartbeat.
        self._is_paused = False
        self._heartbeat_due = True
        self._wake = asyncio.Event()
        # Calls by kind, with the times at which they began.
        self._heartbeats: dict[asyncio.Task[None], float] = {}
        self._in_flight: dict[asyncio.Task[None], float] = {}
        self._snapshots: dict[asyncio.Task[None], float] = {}
        # Calls with entries during which the peer lacked some of them.
        self._unconfirmed: set[asyncio.Task[None]] = set()
        self._task = spawn_task(self._replicate())

    def wake(self, is_heartbeat: bool = False) -> None:
        """Make the sending task send new entries, or a heartbeat if `is_heartbeat`."""
        self._heartbeat_due = self._heartbeat_due or is_heartbeat
        self._wake.set()

    def is_live(self) -> bool:
        """Return whether the peer has responded within an election timeout."""
        since = self._core.timers.now() - self.acknowledged_at
        return since <= self._core.election_timeout_s

    async def close(self) -> None:
        """Stop replicating to the peer."""
        calls = [*self._heartbeats, *self._in_flight, *self._snapshots]
        await cancel_tasks([self._task, *calls])

    async def _replicate(self) -> None:
        core = self._core
        self._wake.set()
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._heartbeat_due:
                self._is_paused = False
                self._heartbeat_due = False
                self._send_heartbeat()
            while not self._is_paused:
                if self.next_index <= core.log.base_index and self.is_live():
                    if not self._snapshots:
                        self._track(self._snapshots, self._send_snapshot())
                    break
                has_entries = (
                    core.log.base_index < self.next_index <= core.log.last_index
                )
                depth = 1 if self._is_probing else PIPELINE_DEPTH
                if not has_entries or len(self._in_flight) >= depth:
                    break
                self._send_entries()

    def _send_heartbeat(self) -> None:
        core = self._core
        # A peer that needs a snapshot first is only checked to be live.
        needs_snapshot = self.next_index <= core.log.base_index
        previous = core.log.last_index if needs_snapshot else self.next_index - 1
        request = self._build_append(previous, [])
        # A heartbeat waits for no disk, so a peer that is late has lost contact.
        call = self._call_append(request, core.election_timeout_s)
        self._track(self._heartbeats, call)

    def _send_entries(self) -> None:
        core = self._core
        previous = self.next_index - 1
        entries = core.log.slice(previous + 1, BATCH_ENTRIES, BATCH_BYTES)
        if self._is_probing:
            entries = entries[:1]
        else:
            self.next_index += len(entries)
        request = self._build_append(previous, entries)
        # Heartbeats tell whether the peer is live. Its disk may take as long as a
        # proposal waits.
        call = self._call_append(request, MAX_WAIT_TIMEOUTS * core.election_timeout_s)
        self._track(self._in_flight, call)

    def _build_append(self, previous: int, entries: list[Entry]) -> Any:
        core = self._core
        return build_request(
            core,
            "AppendRequest",
            term=self._term,
            leader=core.node,
            leader_address=core.leader_address,
            prev_index=previous,
            prev_term=core.log.term_at(previous),
            entries=[entry_to_wire(entry) for entry in entries],
            commit_index=core.commit_index,
        )

    def _track(
        self, tasks: dict[asyncio.Task[None], float], call: Coroutine[Any, Any, None]
    ) -> None:
        task = asyncio.ensure_future(call)
        tasks[task] = self._core.timers.now()

        def handle_done(task: asyncio.Task[None]) -> None:
            tasks.pop(task, None)
            self._wake.set()

        task.add_done_callback(handle_done)

    async def _call_append(self, request: Any, timeout_s: float) -> None:
        core = self._core
        sent_at = core.timers.now()
        try:
            response = await call_peer(
                core,
                self.member.address,
                "append",
                request,
                "AppendResponse",
                timeout_s,
            )
        except GeraniumbendError as error:
            self._handle_lost_append(sent_at, error)
            return
        if not self._accept_response(response, sent_at):
            return
        self.last_error = ""
        if response.success:
            self._is_probing = False
            self.match_index = max(self.match_index, response.match_index)
            held = request.prev_index + len(request.entries)
            self.next_index = max(self.next_index, self.match_index + 1, held + 1)
        else:
            self._unconfirmed.update(self._in_flight)
            self._probe_from(max(self.match_index + 1, response.next_index))
        self._cancel_overdue_calls()
        self._on_progress()

    def _cancel_overdue_calls(self) -> None:
        """Cancel calls whose entries a live peer lacked, after an election timeout.

        They were lost with their connection, and would keep the entries from being sent
        again.
        """
        latest_start = self._core.timers.now() - self._core.election_timeout_s
        self._unconfirmed.intersection_update(self._in_flight)
        for call in self._unconfirmed:
            if self._in_flight[call] < latest_start:
                call.cancel()

    def _handle_lost_append(self, sent_at: float, error: GeraniumbendError) -> None:
        if self.acknowledged_at > sent_at:
            # The peer is live, and its responses to heartbeats tell what it lacks.
            return
        self.last_error = error.message
        for call in self._in_flight:
            call.cancel()
        self._probe_from(self.match_index + 1)
        self._is_paused = True

    def _accept_response(self, response: Any, sent_at: float) -> bool:
        core = self._core
        if response.term > core.term:
            core.observe_term(response.term)
        if not core.is_leader or core.term != self._term:
            return False
        if response.incarnation != self.incarnation:
            # The peer has lost its log and with it the entries it acknowledged.
            self.incarnation = response.incarnation
            self.match_index = 0
        self.acknowledged_at = max(self.acknowledged_at, sent_at)
        return True

    def _probe_from(self, index: int) -> None:
        self._is_probing = True
        self.next_index = max(1, min(index, self._core.log.last_index + 1))

    async def _send_snapshot(self) -> None:
        try:
            snapshot = await self._core.storage.read_snapshot()
            installed = snapshot is not None and await self._send_chunks(snapshot)
        except GeraniumbendError as error:
            self.last_error = error.message
            installed, snapshot = False, None
        if installed and snapshot is not None:
            self.match_index = max(self.match_index, snapshot.index)
            self.next_index = self.match_index + 1
            self._on_progress()
        else:
            self._is_paused = True

    async def _send_chunks(self, snapshot: Snapshot) -> bool:
        core = self._core
        meta = snapshot_meta(snapshot)
        checksum = checksum_of(snapshot.data)
        total = len(snapshot.data)
        offset = 0
        while True:
            request = build_request(
                core,
                "SnapshotRequest",
                term=self._term,
                leader=core.node,
                leader_address=core.leader_address,
                meta=meta,
                offset=offset,
                total=total,
                data=snapshot.data[offset : offset + CHUNK_BYTES],
                checksum=checksum,
            )
            sent_at = core.timers.now()
            response = await call_peer(
                core,
                self.member.address,
                "snapshot",
                request,
                "SnapshotResponse",
                SNAPSHOT_TIMEOUT_S,
            )
            if not self._accept_response(response, sent_at):
                return False
            if response.installed:
                return True
            if response.received <= offset:
                return False
            offset = response.received
            self._on_progress()
