from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError
from geraniumbend.replication._messages import build_request, call_peer, cancel_tasks
from geraniumbend.wire import load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

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
# Time that such a campaign waits for each vote, in election timeouts. It is short
# because a host without power never responds.
RESTART_VOTE_WAIT_TIMEOUTS = 0.4
# Time after the start in which a replica counts as restarted, in election timeouts.
RESTART_PHASE_TIMEOUTS = 20.0


class Elections:
    """Election timeouts, pre-votes and votes.

    A candidate runs a pre-vote first and raises its term only if a majority would
    vote for it, so that a replica that returns from a partition does not depose a
    live leader (Ongaro, Consensus, section 9.6).

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

    async def run(self) -> None:
        """Start a campaign after each election timeout without a leader's message."""
        core = self._core
        while core.failure is None:
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
        if core.timeout_start == core.started_at:
            timeouts += RESTART_NO_VOTE_TIMEOUTS
        return core.election_timeout_s * timeouts

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
        return load_structs("replication").VoteResponse(
            term=core.term, granted=granted, incarnation=core.vote_state.incarnation
        )

    async def _campaign(self, is_transfer: bool) -> None:
        core = self._core
        term = core.term
        if not is_transfer and not await self._collect_votes(term + 1, True, False):
            return
        if core.term != term or core.is_leader or not core.can_vote():
            return
        core.leader = core.leader_address = ""
        vote_state = core.vote_state._replace(term=term + 1, voted_for=core.node)
        await core.save_vote_state(vote_state)
        if core.vote_state != vote_state:
            return
        won = await self._collect_votes(vote_state.term, False, is_transfer)
        if won and core.vote_state == vote_state and core.can_vote():
            self._on_elected()

    async def _collect_votes(
        self, term: int, is_pre_vote: bool, is_transfer: bool
    ) -> bool:
        core = self._core
        members = core.members
        votes = int(core.is_voter())
        tasks = [
            asyncio.ensure_future(
                self._request_vote(member, term, is_pre_vote, is_transfer)
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
                votes += sum(task.result() for task in done)
        finally:
            await cancel_tasks(tasks)
        return votes >= members.majority()

    async def _request_vote(
        self, member: Member, term: int, is_pre_vote: bool, is_transfer: bool
    ) -> bool:
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
        )
        try:
            response = await call_peer(
                core,
                member.address,
                "vote",
                request,
                "VoteResponse",
                self._choose_vote_timeout(),
            )
            await core.observe_term(response.term)
        except GeraniumbendError:
            return False
        return bool(response.granted) and response.incarnation == member.incarnation

    def _choose_vote_timeout(self) -> float:
        """Return the timeout of a vote request in seconds."""
        timeouts = RESTART_VOTE_WAIT_TIMEOUTS if self._is_restarting() else 1.0
        return timeouts * self._core.election_timeout_s

    async def _decide_vote(self, request: Any) -> bool:
        core = self._core
        if not core.can_vote() or core.is_installing:
            return False
        since_contact = core.timers.now() - core.leader_contact_at
        no_vote_timeouts = (
            RESTART_NO_VOTE_TIMEOUTS
            if core.leader_contact_at == core.started_at
            else 1.0
        )
        has_recent_leader = (
            core.is_leader or since_contact < no_vote_timeouts * core.election_timeout_s
        )
        if has_recent_leader and not request.is_transfer:
            return False
        own = (core.log.last_term, core.log.last_index)
        is_current = (request.last_term, request.last_index) >= own
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

    def _is_sole_voter(self) -> bool:
        return len(self._core.members.voters()) == 1 and self._core.is_voter()
