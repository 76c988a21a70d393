"""Follower role of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import xxhash

from geraniumbend.errors import ProtocolError, StorageError
from geraniumbend.logs import log_event
from geraniumbend.replication._entries import entry_from_wire
from geraniumbend.replication._files import snapshot_from_meta
from geraniumbend.wire import load_structs

if TYPE_CHECKING:
    from geraniumbend.replication._core import Core


class FollowerRole:
    """Follower of a log: appends entries and installs snapshots of the leader.

    Parameters
    ----------
    core : Core
        State of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._chunks = bytearray()
        self._transfer_id: tuple[object, ...] = ()

    async def append(self, request: Any) -> Any:
        """Append the leader's entries and respond once they are durable.

        A request without entries is a heartbeat. It waits for no write, since its
        response confirms contact and only the entries that are durable already.
        """
        core = self._core
        core.check_request(request)
        is_accepted = self._accept_leader(request)
        if is_accepted and request.entries and not core.is_term_durable():
            # A crash could reset the term, and a leader of an older term could
            # overwrite the entries.
            await core.wait_vote_state_saved()
            is_accepted = core.term == request.term
        if core.is_installing or not is_accepted:
            return self._respond_failure(core.log.last_index + 1)
        prev_index, prev_term = request.prev_index, request.prev_term
        entries = [entry_from_wire(entry) for entry in request.entries or []]
        if prev_index < core.log.base_index:
            # Entries up to the base are committed and equal to the leader's.
            entries = [entry for entry in entries if entry.index > core.log.base_index]
            match = max(request.prev_index + len(request.entries or []), prev_index)
            if match <= core.log.base_index:
                return self._respond_success(self._durable_index(match))
            prev_index, prev_term = core.log.base_index, core.log.base_term
        if prev_index > core.log.last_index:
            return self._respond_failure(core.log.last_index + 1)
        if core.log.term_at(prev_index) != prev_term:
            first = core.log.first_of_term(prev_index)
            return self._respond_failure(max(first, core.commit_index + 1))
        match = prev_index
        for entry in entries:
            if core.log.term_at(entry.index) != entry.term:
                if entry.index <= core.log.last_index:
                    core.truncate(entry.index)
                core.append(entry)
            match = entry.index
        if not request.entries:
            core.commit(min(request.commit_index, match))
            return self._respond_success(self._durable_index(match))
        match_term = core.log.term_at(match)
        await core.storage.wait_written(core.log.write_number_of(match))
        # A newer leader may have replaced the entries during the write.
        if core.term != request.term or core.log.term_at(match) != match_term:
            return self._respond_failure(core.commit_index + 1)
        core.commit(min(request.commit_index, match))
        return self._respond_success(match)

    async def receive_snapshot(self, request: Any) -> Any:
        """Store a chunk and install the snapshot once it is complete."""
        core = self._core
        core.check_request(request)
        is_accepted = self._accept_leader(request)
        if is_accepted and not core.is_term_durable():
            await core.wait_vote_state_saved()
            is_accepted = core.term == request.term
        if core.is_installing or not is_accepted:
            return self._report_chunk(0, False)
        transfer_id = (request.leader, request.term, request.meta.index, request.total)
        if transfer_id != self._transfer_id:
            self._transfer_id = transfer_id
            self._chunks.clear()
        index = request.meta.index
        if core.log.term_at(index) == request.meta.term or index <= core.commit_index:
            # The log already contains the snapshot's last entry. Later entries may
            # already be part of a majority, so the log must not be replaced.
            await core.storage.wait_written(core.log.write_number_of(index))
            core.commit(index)
            return self._report_chunk(request.total, core.term == request.term)
        data = request.data or b""
        if request.offset == len(self._chunks):
            self._chunks += data
        received = len(self._chunks)
        if received < request.total:
            return self._report_chunk(received, False)
        content = bytes(self._chunks)
        self._transfer_id = ()
        self._chunks.clear()
        if checksum_of(content) != request.checksum:
            raise ProtocolError(
                "checksum of the snapshot transfer does not match",
                "the leader sends the snapshot again",
            )
        await self._install(request.meta, content)
        return self._report_chunk(request.total, core.term == request.term)

    async def _install(self, meta: Any, content: bytes) -> None:
        core = self._core
        snapshot = snapshot_from_meta(meta, content)
        core.is_installing = True
        try:
            await core.storage.save_snapshot(snapshot, is_reset=True)
            core.restore(snapshot)
        finally:
            core.is_installing = False
        log_event(507, shard=core.shard, index=snapshot.index)

    def _accept_leader(self, request: Any) -> bool:
        """Return whether the sender leads; note the contact and its term in memory."""
        core = self._core
        if request.term < core.term:
            return False
        if core.is_leader and request.term == core.term:
            raise StorageError(
                f"two leaders in term {request.term}: {core.node}, {request.leader}",
                "stop the replica whose data folder was copied or restored from a copy",
            )
        core.step_down()
        core.leader = request.leader
        core.leader_address = request.leader_address
        core.leader_contact_at = core.timeout_start = core.timers.now()
        if request.term > core.term:
            core.set_vote_state(
                core.vote_state._replace(term=request.term, voted_for="")
            )
        return True

    def _durable_index(self, match: int) -> int:
        """Return up to which index a crash would keep the entries that match."""
        core = self._core
        if not core.is_term_durable():
            return 0
        return min(match, core.log.durable_index(core.storage.last_written))

    def _respond_success(self, match: int) -> Any:
        return load_structs("replication").AppendResponse(
            term=self._core.term,
            success=True,
            match_index=match,
            incarnation=self._core.vote_state.incarnation,
        )

    def _respond_failure(self, next_index: int) -> Any:
        return load_structs("replication").AppendResponse(
            term=self._core.term,
            success=False,
            match_index=0,
            next_index=next_index,
            incarnation=self._core.vote_state.incarnation,
        )

    def _report_chunk(self, received: int, installed: bool) -> Any:
        return load_structs("replication").SnapshotResponse(
            term=self._core.term,
            received=received,
            installed=installed,
            incarnation=self._core.vote_state.incarnation,
        )


def checksum_of(content: bytes) -> int:
    """Return the signed 64-bit checksum of a transferred snapshot."""
    unsigned = xxhash.xxh64_intdigest(content)
    return unsigned - (1 << 64) if unsigned >> 63 else unsigned
