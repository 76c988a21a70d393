"""Grants and denies votes and pre-votes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.wire import load_structs

if TYPE_CHECKING:
    from geraniumbend.replication._core import Core

# Time after a restart in which a voter grants no vote, in election timeouts: it may
# have acknowledged a heartbeat just before it ended. The lease of the old leader lasts
# at most 0.67 of a timeout (see `LEASE_SHARE`), and a clock that runs 10 % fast
# shortens 0.75 to 0.68.
RESTART_NO_VOTE_TIMEOUTS = 0.75


class Voter:
    """Votes of this replica for candidates.

    A restarted voter grants no vote for a while, because it may have acknowledged a
    leader just before. That time ends early if all voters respond to a pre-vote and
    none of them leads or follows a leader: then no leader is left that a lease could
    protect. Each voter sends the number of its process along and grants the vote only
    if it is sent back, so a voter that restarts in between does not grant it.

    Parameters
    ----------
    core : Core
        State of the replica.

    Attributes
    ----------
    is_campaigning : bool
        Whether this replica asks for votes itself.
    """

    def __init__(self, core: Core) -> None:
        self.is_campaigning = False
        self._core = core
        # Time until which a candidate that has this replica's vote may still win.
        self._vote_until = float("-inf")

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
            save_ms=round(core.vote_delay_s() * 1000),
            rechecks_log=True,
        )

    def _is_idle(self, request: Any) -> bool:
        """Return whether only the restart keeps this voter from granting a pre-vote."""
        core = self._core
        return (
            core.can_vote()
            and not core.is_installing
            and not core.is_leader
            and self.is_bound_by_restart()
            and self._is_current(request)
            and request.term > core.term
            and not self.may_elect_other(request.candidate)
        )

    def is_bound_by_restart(self) -> bool:
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

    async def _decide_vote(self, request: Any) -> bool:
        core = self._core
        if not core.may_grant_votes() or core.is_installing:
            return False
        if not request.is_transfer and self._may_have_leader(request):
            return False
        is_current = self._is_current(request)
        if request.is_trial:
            return (
                is_current
                and request.term > core.term
                and not self.may_elect_other(request.candidate)
            )
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
            core.timeout_start = core.timers.now()
            self._vote_until = core.timeout_start + core.vote_save_s
        # Another message may have raised the term while the vote was written. A
        # candidate that has restarted since it got this vote may have lost entries.
        is_voted_for = core.vote_state.voted_for == request.candidate
        return core.term == request.term and is_voted_for and is_current

    def _may_have_leader(self, request: Any) -> bool:
        """Return whether a leader with a lease may exist as far as this voter knows."""
        core = self._core
        if core.is_leader:
            return True
        if core.leader_contact_at == core.started_at:
            is_confirmed_idle = request.idle_session == core.session
            return self.is_bound_by_restart() and not is_confirmed_idle
        return core.timers.now() - core.leader_contact_at < core.election_timeout_s

    def may_elect_other(self, candidate: str) -> bool:
        """Return whether another candidate may be about to win with this vote.

        A pre-vote for `candidate` would raise the term and undo the other's election,
        whose votes are still being written.
        """
        core = self._core
        if core.vote_state.voted_for in ("", candidate):
            return False
        if core.vote_state.voted_for == core.node:
            return self.is_campaigning
        return not core.is_term_durable() or core.timers.now() < self._vote_until
