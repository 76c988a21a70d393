"""Raft elections with pre-votes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import log_event
from geraniumbend.replication._messages import build_request, call_peer, cancel_tasks

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._members import Member
    from geraniumbend.replication._voter import Voter


# Range of the time between the campaigns of a restarted replica that hears no leader,
# in election timeouts. It is short because only a campaign ends the outage after a
# crash of all replicas, and a pre-vote does not disturb a live leader.
RESTART_CAMPAIGN_TIMEOUTS = (0.1, 0.5)
# Time that such a campaign waits for each pre-vote, in election timeouts. It is short
# because a host without power never responds, and a pre-vote needs no disk write.
RESTART_VOTE_WAIT_TIMEOUTS = 0.4
# A vote costs candidate and voter one write of the vote state each. On slow disks a
# campaign waits for this many writes longer for a vote, and campaigns of several
# replicas are spread over this many writes, so that one of them gets a majority.
SLOW_DISK_WRITES = 4.0
# Time after the start in which a replica counts as restarted, in election timeouts.
RESTART_PHASE_TIMEOUTS = 20.0
# Shortest time between two reports of missing votes, in seconds.
REPORT_PERIOD_S = 1.0


class _Vote(NamedTuple):
    """Response of a voter: whether it grants a vote, and the number of its process.

    The number is 0 if the voter leads, follows a leader or would not vote for the
    candidate for other reasons than its restart. `reason` tells why there is no vote.
    """

    name: str
    granted: bool = False
    idle_session: int = 0
    reason: str = ""


class Elections:
    """Election timeouts, pre-votes and votes.

    A candidate runs a pre-vote first and raises its term only if a majority would
    vote for it, so that a replica that returns from a partition does not depose a
    live leader (Ongaro, Consensus, section 9.6).

    Parameters
    ----------
    core : Core
        State of the replica.
    voter : Voter
        Votes of this replica.
    on_elected : callable
        Called when this replica has won an election.
    """

    def __init__(
        self, core: Core, voter: Voter, on_elected: Callable[[], None]
    ) -> None:
        self._core = core
        self._on_elected = on_elected
        self._voter = voter
        # Newest response of each voter in the present campaign.
        self._responses: dict[str, Any] = {}
        self._reported_at = float("-inf")

    async def run(self) -> None:
        """Start a campaign after each election timeout without a leader's message."""
        core = self._core
        while True:
            start = core.timeout_start
            deadline = start + self._draw_election_timeout()
            while core.timeout_start == start and core.timers.now() < deadline:
                await core.timers.sleep(deadline - core.timers.now())
            if core.timeout_start != start:
                continue
            core.timeout_start = core.timers.now()
            if core.is_leader or core.is_installing or not core.can_vote():
                await core.timers.sleep(core.election_timeout_s)
                continue
            await self.campaign(is_transfer=False)

    def _draw_election_timeout(self) -> float:
        """Return a random election timeout in seconds."""
        core = self._core
        if self._is_sole_voter():
            return 0.0
        if not self._is_restarting():
            return core.election_timeout_s * core.rng.uniform(1.0, 2.0)
        timeouts = core.rng.uniform(*RESTART_CAMPAIGN_TIMEOUTS)
        spread_s = core.rng.uniform(0.0, SLOW_DISK_WRITES) * core.vote_save_s
        return core.election_timeout_s * timeouts + spread_s

    def _is_restarting(self) -> bool:
        """Return whether this replica has just started and has heard no leader yet."""
        core = self._core
        limit_s = RESTART_PHASE_TIMEOUTS * core.election_timeout_s
        return (
            core.leader_contact_at == core.started_at
            and not core.is_empty
            and core.timers.now() < core.started_at + limit_s
        )

    async def campaign(self, is_transfer: bool) -> None:
        """Ask the voters for their votes.

        Parameters
        ----------
        is_transfer : bool
            Whether the leader transfers its leadership to this replica. There is no
            pre-vote then, and voters grant the vote although the leader is live.
        """
        if self._voter.is_campaigning:
            return
        self._voter.is_campaigning = True
        try:
            await self._campaign(is_transfer)
        except GeraniumbendError:
            # A failed write is recorded in the core; after any other error the next
            # election timeout starts a new campaign.
            pass
        finally:
            self._voter.is_campaigning = False

    async def _campaign(self, is_transfer: bool) -> None:
        core = self._core
        if not is_transfer and self._voter.may_elect_other(core.node):
            return
        term = core.term
        sessions: dict[str, int] = {}
        self._responses.clear()
        if not is_transfer:
            pre_vote = await self._run_pre_vote(term + 1)
            if pre_vote is None:
                return
            sessions = pre_vote
        if core.term != term or core.is_leader or not core.can_vote():
            return
        core.leader = core.leader_address = ""
        vote_state = core.vote_state._replace(term=term + 1, voted_for=core.node)
        save = asyncio.ensure_future(core.save_vote_state(vote_state))
        try:
            won = await self._collect_votes(
                vote_state.term, is_transfer, sessions, save
            )
            # Its own vote counts, and it may lead, only once the vote is durable.
            await save
        finally:
            save.cancel()
        if won and core.vote_state == vote_state and core.can_vote():
            self._on_elected()

    async def _run_pre_vote(self, term: int) -> dict[str, int] | None:
        """Ask the voters whether they would vote for this replica.

        Returns
        -------
        dict of str to int or None
            None if they would not. Otherwise the numbers of the voters' processes by
            node name, empty if a majority would vote without them.
        """
        core = self._core
        members = core.members
        votes = int(core.is_voter() and not self._voter.is_bound_by_restart())
        sessions: dict[str, int] = {}
        others = [member for member in members.voters() if member.name != core.node]
        tasks = [
            asyncio.ensure_future(self._request_vote(member, term, is_pre_vote=True))
            for member in others
        ]
        waiting = set(tasks)
        missing: dict[str, str] = {}
        try:
            while waiting and votes < members.majority():
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    response = task.result()
                    votes += response.granted
                    if not response.granted:
                        missing[response.name] = response.reason
                    if response.idle_session:
                        sessions[response.name] = response.idle_session
        finally:
            await cancel_tasks(tasks)
        if votes >= members.majority():
            return {}
        if len(sessions) == len(others):
            return sessions
        self._report_missing_votes(missing)
        return None

    def _report_missing_votes(self, missing: dict[str, str]) -> None:
        core = self._core
        core.missing_votes = missing
        now = core.timers.now()
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._reported_at = now
            log_event(509, shard=core.shard, term=core.term, missing=missing)

    async def _collect_votes(
        self,
        term: int,
        is_transfer: bool,
        sessions: Mapping[str, int],
        save: asyncio.Future[None],
    ) -> bool:
        """Return whether a majority votes for this replica, its own vote included."""
        core = self._core
        members = core.members
        votes = int(core.is_voter())
        tasks = [
            asyncio.ensure_future(
                self._request_vote(
                    member,
                    term,
                    is_transfer=is_transfer,
                    idle_session=sessions.get(member.name, 0),
                    save=save,
                )
            )
            for member in members.voters()
            if member.name != core.node
        ]
        waiting = set(tasks)
        try:
            # It ends as soon as the votes that are missing cannot make a majority.
            while votes < members.majority() <= votes + len(waiting):
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                votes += sum(task.result().granted for task in done)
        finally:
            await cancel_tasks(tasks)
        return votes >= members.majority()

    async def _request_vote(
        self,
        member: Member,
        term: int,
        is_pre_vote: bool = False,
        is_transfer: bool = False,
        idle_session: int = 0,
        save: asyncio.Future[None] | None = None,
    ) -> _Vote:
        core = self._core
        request = build_request(
            core,
            "VoteRequest",
            term=term,
            candidate=core.node,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            is_trial=is_pre_vote,
            is_transfer=is_transfer,
            idle_session=idle_session,
        )
        try:
            if save is not None:
                await self._wait_for_turn(member, term, save)
            response = await self._call_voter(member, request)
            core.observe_term(response.term)
        except GeraniumbendError as error:
            return _Vote(member.name, reason=error.message)
        self._responses[member.name] = response
        if response.incarnation != member.incarnation:
            return _Vote(member.name, reason="has lost its log")
        granted = bool(response.granted)
        reason = "" if granted else "denies its vote"
        return _Vote(member.name, granted, response.idle_session or 0, reason)

    async def _wait_for_turn(
        self, member: Member, term: int, save: asyncio.Future[None]
    ) -> None:
        """Wait until a voter may be asked: usually at once, else after the own vote.

        A candidate that restarts before its own vote is durable may ask for the same
        term again with a shorter log. A voter of an earlier release would not compare
        the logs again.
        """
        if member.name not in self._responses:
            pre_vote = asyncio.ensure_future(
                self._request_vote(member, term, is_pre_vote=True)
            )
            either: set[asyncio.Future[Any]] = {pre_vote, save}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            await cancel_tasks([pre_vote])
        known = self._responses.get(member.name)
        if known is None or not known.rechecks_log:
            await asyncio.shield(save)

    async def _call_voter(self, member: Member, request: Any) -> Any:
        """Call a voter; repeat the call while writes turn out to take longer."""
        core = self._core
        started_at = core.timers.now()
        waited_s = 0.0
        while True:
            limit_s = self._choose_vote_timeout(member.name, request.is_trial)
            try:
                return await call_peer(
                    core,
                    member.address,
                    "vote",
                    request,
                    "VoteResponse",
                    limit_s - waited_s,
                )
            except GeraniumbendError:
                waited_s = core.timers.now() - started_at
                longer_s = self._choose_vote_timeout(member.name, request.is_trial)
                if waited_s < limit_s or longer_s <= waited_s:
                    raise

    def _choose_vote_timeout(self, voter: str, is_pre_vote: bool) -> float:
        """Return the timeout of a vote request in seconds."""
        core = self._core
        if not is_pre_vote:
            known = self._responses.get(voter)
            reported_s = 0.0 if known is None else (known.save_ms or 0) / 1000
            save_s = max(core.vote_delay_s(), reported_s)
            return core.election_timeout_s + SLOW_DISK_WRITES * save_s
        timeouts = RESTART_VOTE_WAIT_TIMEOUTS if self._is_restarting() else 1.0
        return timeouts * core.election_timeout_s

    def _is_sole_voter(self) -> bool:
        return len(self._core.members.voters()) == 1 and self._core.is_voter()
