from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import UnavailableError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._membership import Membership
    from geraniumbend.membership._values import Announcement

# A backend server waits one second for its acknowledgement.
SPREAD_TIMEOUT_S = 0.6

declare_event(
    818,
    "departure_spread",
    "info",
    "Gateways were told that a backend server drains or has left.",
)


class AnnouncementService:
    """Takes announcements and acknowledges a departure once the gateways know it.

    A backend server that has been told that its draining is known gets no new work
    soon after, so the acknowledgement must not come from a host that the gateways do
    not hear.

    Parameters
    ----------
    membership : Membership
        Records shared with the gateways.
    in_touch : callable
        Tells whether this host is in touch with a majority of the control hosts.
    """

    def __init__(
        self, membership: Membership, has_majority_contact: Callable[[], bool]
    ) -> None:
        self._membership = membership
        self._has_majority_contact = has_majority_contact

    async def announce(self, announcement: Announcement) -> None:
        """Take an announcement; returns at once unless the server drains.

        Raises
        ------
        ConflictError
            If a newer start of the server is known, or this one has left.
        UnavailableError
            If the server drains and too few gateways could be told.
        """
        self._membership.announce(announcement)
        if announcement.server.draining:
            await self._spread(announcement.server.server_id)

    async def deregister(self, server_id: str, incarnation: int = 0) -> None:
        """Deregister a backend server.

        Raises
        ------
        ConflictError
            If a newer start of the server is known.
        UnavailableError
            If too few gateways could be told.
        """
        if self._membership.deregister(server_id, incarnation):
            await self._spread(server_id)

    async def _spread(self, server_id: str) -> None:
        members = self._membership
        live = members.live_gateways()
        told = await members.notify_gateways(server_id, SPREAD_TIMEOUT_S)
        has_majority_contact = self._has_majority_contact()
        log_event(
            818,
            server=server_id,
            gateways=live,
            told=len(told),
            in_touch=has_majority_contact,
        )
        if not has_majority_contact or 2 * len(told) < live:
            raise UnavailableError(
                f"{len(told)} of {live} gateways know that {server_id!r} leaves",
                "tell another control host",
            )
