"""What a replica waits for: founders, votes, or copies of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend._wait_reports import WaitReports
from geraniumbend.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.replication._core import Core
    from geraniumbend.replication._leader import LeaderRole
    from geraniumbend.replication._startup import Startup

# Silence after which a known leader counts as lost here, in election timeouts; it is
# the longest time until a voter starts a campaign.
LEADER_SILENCE_TIMEOUTS = 2.0


class CommitWatch:
    """Reports a leader that has entries but commits nothing for some time.

    Parameters
    ----------
    core : Core
        State of the replica.
    describe_missing : callable
        Returns why each voter's copy of the last entry is missing.
    """

    def __init__(
        self, core: Core, describe_missing: Callable[[], dict[str, str]]
    ) -> None:
        self._core = core
        self._describe_missing = describe_missing
        self._reports = WaitReports(core.timers.now())
        self._progress = (0, 0)

    def check(self) -> None:
        """Log event 511 if no entry was committed for some time."""
        core = self._core
        now = core.timers.now()
        progress = (core.term, core.commit_index)
        if progress != self._progress or core.commit_index == core.log.last_index:
            self._progress = progress
            self._reports.restart(now)
        elif self._reports.is_due(now):
            log_event(
                511,
                shard=core.shard,
                term=core.term,
                commit_index=core.commit_index,
                last_index=core.log.last_index,
                required_copies=core.required_copies(),
                missing=self._describe_missing(),
                waited_s=round(self._reports.waited_s(now), 3),
            )


def describe_waits(
    core: Core, startup: Startup, leading: LeaderRole
) -> dict[str, Any] | None:
    """Return what a replica waits for, None if nothing is missing.

    Parameters
    ----------
    core, startup, leading : object
        State, start part and leader part of the replica.

    Returns
    -------
    dict or None
        Keys ``disk``, ``founders``, ``own_membership``, ``votes``, ``copies`` or
        ``leader``, with the reason or a dict of reasons by node.
    """
    if core.failure is not None:
        return {"disk": str(core.failure)}
    if not core.members.members:
        if startup.missing_founders:
            return {"founders": dict(startup.missing_founders)}
        return {"own_membership": "waits until a leader adds this host"}
    if core.is_leader:
        missing = leading.describe_missing_copies()
        waits = core.commit_index < core.log.last_index
        return {"copies": missing} if waits else None
    if _has_no_leader(core):
        if not core.can_vote():
            return {"own_membership": "is no voter; waits for a leader"}
        return {"votes": core.missing_votes or "no campaign has ended"}
    if core.commit_index == 0:
        return {"leader": f"{core.leader_address} has committed nothing"}
    return None


def _has_no_leader(core: Core) -> bool:
    """Return whether no leader is known, or the known one has been silent too long."""
    silent_s = core.timers.now() - core.leader_contact_at
    limit_s = LEADER_SILENCE_TIMEOUTS * core.election_timeout_s
    return not core.leader_address or silent_s > limit_s
