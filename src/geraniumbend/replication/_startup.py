"""Loading of a stored log, and formation of a new one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, StorageError
from geraniumbend.logs import log_event
from geraniumbend.replication._files import StoredState, VoteState
from geraniumbend.replication._members import initial_members
from geraniumbend.replication._messages import call_peer
from geraniumbend.replication._records import ReadError, VersionError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.replication._core import Core

# Time in seconds for which a start tries to read the files, and between two attempts.
READ_LIMIT_S = 10.0
READ_RETRY_S = 0.5


class Startup:
    """Loads a stored log or bootstraps a new one.

    Parameters
    ----------
    core : Core
        State of the replica.
    voters : mapping of str to str
        First voters: node name to peer address.
    may_bootstrap : bool, default=True
        Whether a new log may be bootstrapped; otherwise an empty replica waits until
        it is added to an existing one.
    is_first_start : bool, default=False
        Whether no disk of the system has held a log before. An empty first voter has
        then never voted, so it takes part at once.
    """

    def __init__(
        self,
        core: Core,
        voters: Mapping[str, str],
        may_bootstrap: bool = True,
        is_first_start: bool = False,
    ) -> None:
        self._core = core
        self._voters = dict(voters)
        self._may_bootstrap = may_bootstrap
        # Why each other first voter keeps the log from being formed.
        self.missing_founders: dict[str, str] = {}
        self._is_first_start = is_first_start

    async def load(self) -> StoredState:
        """Read the files of the replica and create them in an empty folder.

        A damaged log is moved to the folder ``damaged`` if there are peers that it
        can be fetched from. Files that cannot be read at present, for lack of memory
        for example, are left as they are and read again for `READ_LIMIT_S`.

        Raises
        ------
        StorageError
            If files are damaged and there are no peers, cannot be read at present, or
            were written by a newer release.
        """
        core = self._core
        has_peers = bool(set(self._voters) - {core.node})
        try:
            stored = await self._read()
        except (ReadError, VersionError):
            raise
        except StorageError as error:
            if not has_peers:
                raise
            log_event(503, shard=core.shard, error=str(error))
            await core.storage.move_to_damaged()
            stored = StoredState(None, None, [], True)
        if stored.vote_state is None:
            forms = not stored.is_lost and self._may_form_unasked()
            vote_state = VoteState(
                incarnation=0 if forms else core.rng.getrandbits(62) | 1,
                formed=forms,
                lost=stored.is_lost,
            )
            await core.storage.create(vote_state)
            if forms:
                log_event(508, shard=core.shard, voters=sorted(self._voters))
            stored = stored._replace(vote_state=vote_state)
        return stored

    async def _read(self) -> StoredState:
        core = self._core
        begin_s = core.timers.now()
        while True:
            try:
                return await core.storage.load()
            except ReadError as error:
                waited_s = core.timers.now() - begin_s
                if waited_s >= READ_LIMIT_S:
                    raise
                log_event(
                    519,
                    shard=core.shard,
                    error=str(error),
                    left_s=round(READ_LIMIT_S - waited_s, 1),
                )
            await core.timers.sleep(READ_RETRY_S)

    def _may_form_unasked(self) -> bool:
        """Return whether no other voter can know of a log that this one has lost."""
        node = self._core.node
        is_alone = set(self._voters) == {node} and self._may_bootstrap
        return is_alone or (self._is_first_start and node in self._voters)

    async def bootstrap(self) -> None:
        """Bootstrap the log once all first voters report that they are empty."""
        # Voters bootstrap the log only if all are empty at the same time. A voter that
        # finds a peer with a log may have lost its own, so it waits until the leader
        # makes it a voter again.
        core = self._core
        others = [
            address for name, address in self._voters.items() if name != core.node
        ]
        if core.node not in self._voters or not self._may_bootstrap:
            return
        while core.is_empty:
            responses = await asyncio.gather(
                *(self._request_status(address) for address in others)
            )
            begun = [
                address
                for address, response in zip(others, responses, strict=True)
                if response is not None and not response.is_empty
            ]
            if begun:
                log_event(513, shard=core.shard, begun=begun)
                return
            if all(responses) and core.is_empty:
                vote_state = core.vote_state._replace(incarnation=0, formed=True)
                core.member_sets = [(0, initial_members(self._voters.items()))]
                await core.save_vote_state(vote_state)
                self.missing_founders = {}
                log_event(508, shard=core.shard, voters=sorted(self._voters))
                return
            await core.timers.sleep(core.heartbeat_s)

    async def _request_status(self, address: str) -> Any:
        core = self._core
        try:
            response = await call_peer(
                core, address, "status", None, "StatusResponse", core.election_timeout_s
            )
        except GeraniumbendError as error:
            self.missing_founders[address] = error.message
            return None
        if response.is_empty:
            self.missing_founders.pop(address, None)
        else:
            self.missing_founders[address] = "has a log already"
        return response
