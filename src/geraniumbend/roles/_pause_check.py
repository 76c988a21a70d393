"""Check of servers and configuration after a pause of the process."""

from __future__ import annotations

import asyncio
from typing import Protocol

# Longest wait of a request for the newest revision, in seconds. A gateway that reaches
# no control host goes on with the revision that it has.
MAX_WAIT_S = 0.5


class MembershipPort(Protocol):
    """Pauses of this process, and the servers that it knows."""

    def count_pauses(self) -> int:
        """Return the number of pauses of this process, with one that ends now."""
        ...

    async def wait_synchronised(self) -> bool:
        """Wait until the servers are up to date if this process was paused."""
        ...


class FollowerPort(Protocol):
    """Subscription to the configuration."""

    async def refresh(self, timeout_s: float) -> bool:
        """Get the newest revision; False if no control host confirmed it."""
        ...


class PauseCheck:
    """Holds requests after a pause until servers and configuration are up to date.

    While a process is paused, a failure domain may be evacuated and a key removed. The
    first requests that it handles afterwards must not use the revision from before, and
    those whose server was chosen before must not be written.

    Parameters
    ----------
    membership : Membership
        Detects pauses.
    follower : ConfigurationFollower
        Gets the newest revision.

    Attributes
    ----------
    withheld : int
        Writes that were withheld because the state was not renewed.
    """

    def __init__(self, membership: MembershipPort, follower: FollowerPort) -> None:
        self._membership = membership
        self._follower = follower
        self.withheld = 0
        self._checked_pauses = 0
        self._refresh: asyncio.Future[None] | None = None

    async def wait_current(self) -> bool:
        """Wait until the state is up to date if this process was paused.

        Returns
        -------
        bool
            False if no peer responded in time.
        """
        # Counted before the waits: a pause during them needs further waits.
        pauses = self._membership.count_pauses()
        is_synchronised = await self._membership.wait_synchronised()
        while self._checked_pauses < pauses:
            if self._refresh is None or self._refresh.done():
                self._refresh = asyncio.ensure_future(self._refresh_revision(pauses))
            await asyncio.shield(self._refresh)
        return is_synchronised

    def may_write(self) -> bool:
        """Tell whether a request whose server was chosen earlier may be written.

        It may not from a pause until `wait_current` has returned, with newer state or
        because no peer responded in time.
        """
        if self._membership.count_pauses() == self._checked_pauses:
            return True
        self.withheld += 1
        return False

    def count_withheld(self) -> dict[tuple[str, ...], float]:
        """Return the number of withheld writes, for a gauge."""
        return {(): float(self.withheld)}

    async def _refresh_revision(self, pauses: int) -> None:
        await self._follower.refresh(MAX_WAIT_S)
        self._checked_pauses = pauses
