"""Raft elections with pre-votes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import log_event
from geraniumbend.replication._messages import build_request, call_peer, cancel_tasks
from geraniumbend.wire import load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._members import Member


# Time after a restart in which a voter grants no vote, in election timeouts: it may
# have acknowledged a heartbeat just before it ended. The lease of the old leader lasts
# at most 0.67 of a timeout (see `LEASE_SHARE`), and a clock that runs 10 % fast
# shortens 0.75 to 0.68.
RESTART_NO_VOTE_TIMEOUTS = 0.75
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

    A restarted voter grants no vote for a while, because it may have acknowledged a
    leader just before. That time ends early if all voters respond to a pre-vote and
    none of them leads or follows a leader: then no leader is left that a lease could
    protect. Each voter sends the number of its process along and grants the vote only
    if it is sent back, so a voter that restarts in between does not grant it.

    Parameters
    ----------
    core : Core
        State of the replica.
    on_elected : callable
        Called when this replica has won an election.
    """

    def __init__(self, core: Core, on_elected: Callable[[], None]) -> None:
        self._core = core
        self._on_elected = on_elected
        self._is_campaigning = False
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
        if self._is_campaigning:
            return
        self._is_campaigning = True
        try:
            await self._campaign(is_transfer)
        except GeraniumbendError:
            # A failed write is recorded in the core; after any other error the next
            # election timeout starts a new campaign.
            pass
        finally:
            self._is_campaigning = False

    async def handle_vote_request(self, request: Any) -> Any:
        """Grant or deny a vote or a pre-vote."""
        core = self._core
        core.check_request(request)
        granted = await self._decide_vote(request)
        idle = not granted and request.is_trial and self._is_idle(request)
        return load_structs("replication").VoteResponse(
            term=core.term,
            granted=granted,
            incarnation=core.vote_state.incarnation,
            idle_session=core.session if granted or idle else 0,
        )

    def _is_idle(self, request: Any) -> bool:
        """Return whether only the restart keeps this voter from granting a pre-vote."""
        core = self._core
        return (
            core.can_vote()
            and not core.is_installing
            and not core.is_leader
            and self._is_bound_by_restart()
            and self._is_current(request)
            and request.term > core.term
        )

    def _is_bound_by_restart(self) -> bool:
        """Return whether an earlier process may have acknowledged a live leader."""
        core = self._core
        if core.leader_contact_at != core.started_at:
            return False
        limit_s = RESTART_NO_VOTE_TIMEOUTS * core.election_timeout_s
        return core.timers.now() - core.started_at < limit_s

    def _is_current(self, request: Any) -> bool:
        """Return whether the candidate's log holds at least what this one holds."""
        log = self._core.log
        own = (log.last_term, log.last_index)
        return bool((request.last_term, request.last_index) >= own)

    async def _campaign(self, is_transfer: bool) -> None:
        core = self._core
        term = core.term
        sessions: dict[str, int] = {}
        if not is_transfer:
            pre_vote = await self._run_pre_vote(term + 1)
            if pre_vote is None:
                return
            sessions = pre_vote
        if core.term != term or core.is_leader or not core.can_vote():
            return
        core.leader = core.leader_address = ""
        vote_state = core.vote_state._replace(term=term + 1, voted_for=core.node)
        await core.save_vote_state(vote_state)
        if core.vote_state != vote_state:
            return
        won = await self._collect_votes(vote_state.term, is_transfer, sessions)
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
        votes = int(core.is_voter() and not self._is_bound_by_restart())
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
        self, term: int, is_transfer: bool, sessions: Mapping[str, int]
    ) -> bool:
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
                )
            )
            for member in members.voters()
            if member.name != core.node
        ]
        waiting = set(tasks)
        try:
            while waiting and votes < members.majority():
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
            response = await call_peer(
                core,
                member.address,
                "vote",
                request,
                "VoteResponse",
                self._choose_vote_timeout(is_pre_vote),
            )
            core.observe_term(response.term)
        except GeraniumbendError as error:
            return _Vote(member.name, reason=error.message)
        if response.incarnation != member.incarnation:
            return _Vote(member.name, reason="has lost its log")
        granted = bool(response.granted)
        reason = "" if granted else "denies its vote"
        return _Vote(member.name, granted, response.idle_session or 0, reason)

    def _choose_vote_timeout(self, is_pre_vote: bool) -> float:
        """Return the timeout of a vote request in seconds."""
        core = self._core
        if not is_pre_vote:
            return core.election_timeout_s + SLOW_DISK_WRITES * core.vote_save_s
        timeouts = RESTART_VOTE_WAIT_TIMEOUTS if self._is_restarting() else 1.0
        return timeouts * core.election_timeout_s

    async def _decide_vote(self, request: Any) -> bool:
        core = self._core
        if not core.can_vote() or core.is_installing:
            return False
        if not request.is_transfer and self._may_have_leader(request):
            return False
        is_current = self._is_current(request)
        if request.is_trial:
            return bool(is_current and request.term > core.term)
        if request.term < core.term:
            return False
        vote_state = core.vote_state
        if request.term > core.term:
            core.step_down()
            core.leader = core.leader_address = ""
            vote_state = vote_state._replace(term=request.term, voted_for="")
        if is_current and vote_state.voted_for in ("", request.candidate):
            vote_state = vote_state._replace(voted_for=request.candidate)
            core.timeout_start = core.timers.now()
        if vote_state != core.saved_vote_state:
            await core.save_vote_state(vote_state)
        # Another message may have raised the term while the vote was written.
        return (
            core.term == request.term and core.vote_state.voted_for == request.candidate
        )

    def _may_have_leader(self, request: Any) -> bool:
        """Return whether a leader with a lease may exist as far as this voter knows."""
        core = self._core
        if core.is_leader:
            return True
        if core.leader_contact_at == core.started_at:
            is_confirmed_idle = request.idle_session == core.session
            return self._is_bound_by_restart() and not is_confirmed_idle
        return core.timers.now() - core.leader_contact_at < core.election_timeout_s

    def _is_sole_voter(self) -> bool:
        return len(self._core.members.voters()) == 1 and self._core.is_voter()
