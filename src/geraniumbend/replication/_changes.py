from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from geraniumbend.errors import ConfigurationError, ConflictError, GeraniumbendError
from geraniumbend.replication._members import Member, MemberSet

if TYPE_CHECKING:
    from geraniumbend.replication._core import Core
    from geraniumbend.replication._leading import Leading

# A learner this close to the end of the log keeps up and can vote.
CAUGHT_UP_ENTRIES = 100


class MemberChanges:
    """Changes of the member list, one at a time.

    A learner becomes a voter once it has caught up. A voter that reports another
    incarnation has lost its log: its earlier votes and acknowledgements are
    forgotten, so it becomes a learner until it has caught up again.

    Parameters
    ----------
    core : Core
        State of the replica.
    leading : Leading
        Leader side of the replica.
    """

    def __init__(self, core: Core, leading: Leading) -> None:
        self._core = core
        self._leading = leading
        self._review: asyncio.Task[None] | None = None
        leading.on_beat = self._start_review

    async def add(self, name: str, address: str, is_voting: bool) -> None:
        """Add a learner, which becomes a voter later if `is_voting`."""
        await self._require_opened()
        members = self._core.members
        known = members.get(name)
        if known is not None:
            is_same = (known.is_voter or known.promote) == is_voting
            if known.address == address and is_same:
                return
            raise ConflictError(
                f"{name} is already a member at {known.address}",
                f"remove {name} first",
            )
        waiting = [member.name for member in members.members if member.promote]
        if is_voting and waiting:
            raise ConflictError(
                f"{waiting[0]} has not caught up yet",
                f"wait until {waiting[0]} is a voter, or remove it",
            )
        new = Member(name, address, False, is_voting)
        await self._leading.change_members(members, members.replace(new))

    async def remove(self, name: str) -> None:
        """Remove a member unless the majority would be lost."""
        await self._require_opened()
        members = self._core.members
        known = members.get(name)
        if known is None:
            raise ConfigurationError(
                f"{name} is no member of log {self._core.shard}",
                "list the members and check the name",
            )
        rest = members.without(name)
        if known.is_voter:
            await self._require_majority(rest, name)
        await self._leading.change_members(members, rest)
        if name == self._core.node:
            await self._leave()

    async def _require_opened(self) -> None:
        # The barrier also makes a new leader commit its first own entry, without
        # which a second change could lose a first one of an earlier term.
        await self._leading.read_barrier()

    async def _require_majority(self, rest: MemberSet, name: str) -> None:
        # Answers from before the request would count a voter that has just died.
        core = self._core
        asked_at = core.timers.now()
        deadline = asked_at + core.election_timeout_s
        live = 0
        while live < rest.majority() and core.timers.now() < deadline:
            await core.timers.sleep(core.heartbeat_s / 2)
            live = self._live_voters(rest, asked_at)
        if rest.voters() and live >= rest.majority():
            return
        raise ConflictError(
            f"without {name} only {live} of {len(rest.voters())} voters would be live, "
            "which is no majority",
            "repair or replace the other control hosts first",
        )

    def _live_voters(self, members: MemberSet, since: float) -> int:
        return sum(self._is_live(member, since) for member in members.voters())

    def _is_live(self, member: Member, since: float) -> bool:
        if member.name == self._core.node:
            return True
        peer = self._leading.peers.get(member.name)
        return (
            peer is not None
            and peer.acknowledged_at >= since
            and self._leading.counts(member)
        )

    def _start_review(self) -> None:
        if not self._leading.is_settled():
            return
        if self._review is not None and not self._review.done():
            return
        changed = self._next_members()
        if not self._core.is_voter():
            self._review = asyncio.ensure_future(self._leave())
        elif changed is not None:
            self._review = asyncio.ensure_future(
                self._change_quietly(self._core.members, changed)
            )

    async def _leave(self) -> None:
        await self._leading.transfer()
        self._core.step_down()

    async def _change_quietly(self, old: MemberSet, new: MemberSet) -> None:
        # After a failure the members are reviewed again, here or by the next leader.
        with suppress(GeraniumbendError):
            await self._leading.change_members(old, new)

    def _next_members(self) -> MemberSet | None:
        core = self._core
        members = core.members
        for member in members.members:
            peer = self._leading.peers.get(member.name)
            if peer is None or not peer.is_live() or peer.incarnation is None:
                continue
            if member.is_voter and peer.incarnation != member.incarnation:
                learner = member._replace(is_voter=False, promote=True)
                demoted = members.replace(learner)
                since = core.timers.now() - core.election_timeout_s
                if self._live_voters(demoted, since) >= demoted.majority():
                    return demoted
            elif not member.is_voter and member.promote:
                # The learner must hold the entry that made it a learner, which is
                # behind everything its disk acknowledged before a loss.
                needed = max(core.members_index, core.commit_index - CAUGHT_UP_ENTRIES)
                if peer.match_index >= needed:
                    voter = Member(
                        member.name, member.address, True, False, peer.incarnation
                    )
                    return members.replace(voter)
        return None
