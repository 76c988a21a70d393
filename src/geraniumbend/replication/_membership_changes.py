"""Changes of the member list by the leader."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from geraniumbend.errors import ConfigurationError, ConflictError, GeraniumbendError
from geraniumbend.replication._members import Member, MemberSet
from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    import asyncio

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._leader import LeaderRole

# A learner counts as caught up if its log lacks at most this many committed entries.
CAUGHT_UP_ENTRIES = 100


class MembershipChanges:
    """Membership changes by the leader, one at a time.

    A learner becomes a voter once it has caught up. A voter that reports another
    incarnation has lost its log and with it the record of its votes and
    acknowledgements, so it becomes a learner until it has caught up again.

    Parameters
    ----------
    core : Core
        State of the replica.
    leading : LeaderRole
        Leader part of the replica.
    """

    def __init__(self, core: Core, leading: LeaderRole) -> None:
        self._core = core
        self._leading = leading
        self._reconciliation: asyncio.Task[None] | None = None
        leading.on_heartbeat = self._start_reconciliation

    async def add(self, name: str, address: str, is_voting: bool) -> None:
        """Add a learner, which becomes a voter once it has caught up if `is_voting`.

        Raises
        ------
        ConflictError
            If the name is taken or another learner is still to become a voter.
        """
        await self._leading.confirm_leadership()
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
        if is_voting:
            self._require_none_waiting(members)
        new = Member(name, address, False, is_voting)
        await self._leading.change_members(members, members.replace(new))

    async def promote(self, name: str) -> None:
        """Let a learner become a voter once it has caught up.

        Raises
        ------
        ConfigurationError
            If there is no such member.
        ConflictError
            If another learner is still to become a voter.
        """
        await self._leading.confirm_leadership()
        members = self._core.members
        known = members.get(name)
        if known is None:
            raise self._not_found_error(name)
        if known.is_voter or known.promote:
            return
        self._require_none_waiting(members)
        promoted = members.replace(known._replace(promote=True))
        await self._leading.change_members(members, promoted)

    async def remove(self, name: str) -> None:
        """Remove a member; return once the others hold enough copies without it.

        Raises
        ------
        UnavailableError
            If the others lack copies of what was committed.
        ConfigurationError
            If there is no such member.
        ConflictError
            If the live voters that remain would not be a majority.
        """
        await self._leading.confirm_leadership()
        members = self._core.members
        known = members.get(name)
        if known is None:
            raise self._not_found_error(name)
        remaining = members.without(name)
        if known.is_voter:
            await self._require_live_majority(remaining, name)
        await self._leading.change_members(members, remaining)
        await self._core.wait_applied(self._core.members_index)
        if name == self._core.node:
            await self._transfer_and_step_down()

    def _require_none_waiting(self, members: MemberSet) -> None:
        waiting = [member.name for member in members.members if member.promote]
        if waiting:
            raise ConflictError(
                f"{waiting[0]} has not caught up yet",
                f"wait until {waiting[0]} is a voter, or remove it",
            )

    def _not_found_error(self, name: str) -> ConfigurationError:
        return ConfigurationError(
            f"{name} is not a member of log {self._core.shard}",
            "list the members and check the name",
        )

    async def _require_live_majority(self, remaining: MemberSet, name: str) -> None:
        # Only acknowledgements sent after the request count: older ones would include
        # a voter that has just died.
        core = self._core
        requested_at = core.timers.now()
        deadline = requested_at + core.election_timeout_s
        live = 0
        while live < remaining.majority() and core.timers.now() < deadline:
            await core.timers.sleep(core.heartbeat_s / 2)
            live = self._count_live_voters(remaining, requested_at)
        if remaining.voters() and live >= remaining.majority():
            return
        raise ConflictError(
            f"without {name} only {live} of {len(remaining.voters())} voters would be "
            "live, which is not a majority",
            "repair or replace the other control hosts first",
        )

    def _count_live_voters(self, members: MemberSet, since: float) -> int:
        return sum(self._is_live(member, since) for member in members.voters())

    def _is_live(self, member: Member, since: float) -> bool:
        if member.name == self._core.node:
            return True
        peer = self._leading.peers.get(member.name)
        return (
            peer is not None
            and peer.acknowledged_at >= since
            and self._leading.is_counted(member)
        )

    def _start_reconciliation(self) -> None:
        if not self._leading.is_settled():
            return
        if self._reconciliation is not None and not self._reconciliation.done():
            return
        changed = self._plan_next_members()
        if not self._core.is_voter():
            self._reconciliation = spawn_task(self._transfer_and_step_down())
        elif changed is not None:
            self._reconciliation = spawn_task(
                self._try_change_members(self._core.members, changed)
            )

    async def _transfer_and_step_down(self) -> None:
        await self._leading.transfer()
        self._core.step_down()

    async def _try_change_members(self, old: MemberSet, new: MemberSet) -> None:
        # After an error the next heartbeat tries again, here or at the next leader.
        with suppress(GeraniumbendError):
            await self._leading.change_members(old, new)

    def _plan_next_members(self) -> MemberSet | None:
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
                if self._count_live_voters(demoted, since) >= demoted.majority():
                    return demoted
            elif not member.is_voter and member.promote:
                # The learner must hold the entry that made it a learner: that entry
                # follows everything that its disk acknowledged before the loss.
                needed = max(core.members_index, core.commit_index - CAUGHT_UP_ENTRIES)
                if peer.match_index >= needed:
                    voter = Member(
                        member.name, member.address, True, False, peer.incarnation
                    )
                    return members.replace(voter)
        return None
