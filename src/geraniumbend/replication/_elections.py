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


# Part of an election timeout for which a restarted voter keeps a promise that it may
# have given before it ended. The lease of the old leader lasts at most 0.67 of a
# timeout (see `LEASE_SHARE`), and a clock that runs 10 % fast shortens 0.75 to 0.68.
RESTART_PROMISE = 0.75
# A replica that starts and hears no leader campaigns as often as this, in election
# timeouts. When all replicas were lost together, nobody else ends the outage, and a
# trial vote disturbs no leader that lives.
RESTART_PERIODS = (0.1, 0.5)
# Part of an election timeout that such a campaign waits for votes; a host without
# power answers never.
RESTART_PATIENCE = 0.4
# Election timeouts after the start in which a replica counts as just started.
RESTART_TIMEOUTS = 20.0


class Elections:
    """Election timeouts, trial votes (pre-vote) and votes.

    A replica asks for trial votes first and raises its term only when a majority
    would vote for it, so that a replica that was partitioned disturbs nobody when
    it returns (Ongaro, Consensus, section 9.6).

    Parameters
    ----------
    core : Core
        State of the replica.
    lead : callable
        Called when this replica won an election.
    """

    def __init__(self, core: Core, lead: Callable[[], None]) -> None:
        self._core = core
        self._lead = lead
        self._is_campaigning = False

    async def run(self) -> None:
        """Start a campaign whenever no leader was heard for an election timeout."""
        core = self._core
        while core.failure is None:
            start = core.timeout_start
            deadline = start + self._draw_timeout()
            while core.timeout_start == start and core.timers.now() < deadline:
                await core.timers.sleep(deadline - core.timers.now())
            if core.timeout_start != start:
                continue
            core.timeout_start = core.timers.now()
            if core.is_leader or core.is_installing or not core.can_vote():
                await core.timers.sleep(core.election_timeout_s)
                continue
            await self.campaign(is_transfer=False)

    def _draw_timeout(self) -> float:
        """Return the time without a leader before the next campaign, in seconds."""
        core = self._core
        if self._is_sole_voter():
            return 0.0
        if not self._is_restarting():
            return core.election_timeout_s * core.rng.uniform(1.0, 2.0)
        pause = core.rng.uniform(*RESTART_PERIODS)
        if core.timeout_start == core.started_at:
            pause += RESTART_PROMISE
        return core.election_timeout_s * pause

    def _is_restarting(self) -> bool:
        """Tell whether this replica has just started and has heard no leader yet."""
        core = self._core
        limit_s = RESTART_TIMEOUTS * core.election_timeout_s
        return (
            core.leader_contact == core.started_at
            and not core.is_empty
            and core.timers.now() < core.started_at + limit_s
        )

    async def campaign(self, is_transfer: bool) -> None:
        """Ask the voters for their votes.

        Parameters
        ----------
        is_transfer : bool
            Whether the leader asked this replica to take over; voters then ignore
            their promise to that leader.
        """
        if self._is_campaigning:
            return
        self._is_campaigning = True
        try:
            await self._campaign(is_transfer)
        except GeraniumbendError:
            # A failed write is recorded in the core; anything else ends in the next
            # election timeout.
            pass
        finally:
            self._is_campaigning = False

    async def answer(self, request: Any) -> Any:
        """Answer a request for a vote."""
        core = self._core
        core.check_request(request)
        granted = await self._decide(request)
        return load_structs("replication").VoteResponse(
            term=core.term, granted=granted, incarnation=core.vote.incarnation
        )

    async def _campaign(self, is_transfer: bool) -> None:
        core = self._core
        term = core.term
        if not is_transfer and not await self._collect(term + 1, True, False):
            return
        if core.term != term or core.is_leader or not core.can_vote():
            return
        core.leader = core.leader_address = ""
        vote = core.vote._replace(term=term + 1, voted_for=core.node)
        await core.save_vote(vote)
        if core.vote != vote:
            return
        won = await self._collect(vote.term, False, is_transfer)
        if won and core.vote == vote and core.can_vote():
            self._lead()

    async def _collect(self, term: int, is_trial: bool, is_transfer: bool) -> bool:
        core = self._core
        members = core.members
        votes = int(core.is_voter())
        tasks = [
            asyncio.ensure_future(self._ask(member, term, is_trial, is_transfer))
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

    async def _ask(
        self, member: Member, term: int, is_trial: bool, is_transfer: bool
    ) -> bool:
        core = self._core
        request = build_request(
            core,
            "VoteRequest",
            term=term,
            candidate=core.node,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            is_trial=is_trial,
            is_transfer=is_transfer,
        )
        try:
            response = await call_peer(
                core,
                member.address,
                "vote",
                request,
                "VoteResponse",
                self._choose_patience(),
            )
            await core.observe_term(response.term)
        except GeraniumbendError:
            return False
        return bool(response.granted) and response.incarnation == member.incarnation

    def _choose_patience(self) -> float:
        """Return how long a voter may take to answer, in seconds."""
        patience = RESTART_PATIENCE if self._is_restarting() else 1.0
        return patience * self._core.election_timeout_s

    async def _decide(self, request: Any) -> bool:
        core = self._core
        if not core.can_vote() or core.is_installing:
            return False
        since_contact = core.timers.now() - core.leader_contact
        promise = RESTART_PROMISE if core.leader_contact == core.started_at else 1.0
        is_promised = (
            core.is_leader or since_contact < promise * core.election_timeout_s
        )
        if is_promised and not request.is_transfer:
            return False
        own = (core.log.last_term, core.log.last_index)
        is_current = (request.last_term, request.last_index) >= own
        if request.is_trial:
            return bool(is_current and request.term > core.term)
        if request.term < core.term:
            return False
        vote = core.vote
        if request.term > core.term:
            core.step_down()
            core.leader = core.leader_address = ""
            vote = vote._replace(term=request.term, voted_for="")
        if is_current and vote.voted_for in ("", request.candidate):
            vote = vote._replace(voted_for=request.candidate)
            core.timeout_start = core.timers.now()
        if vote != core.saved_vote:
            await core.save_vote(vote)
        # Another message may have raised the term while the vote was written.
        return core.term == request.term and core.vote.voted_for == request.candidate

    def _is_sole_voter(self) -> bool:
        return len(self._core.members.voters()) == 1 and self._core.is_voter()
