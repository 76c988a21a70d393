"""Acknowledgement of announcements at a control host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.errors import UnavailableError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._departure_copies import DepartureCopies
    from geraniumbend.membership._membership import Membership
    from geraniumbend.membership._server_records import Announcement

# Must be shorter than the 1 s that a backend server waits for the acknowledgement.
NOTIFY_TIMEOUT_S = 0.6

declare_event(
    818,
    "departure_spread",
    "info",
    "Gateways were notified that a backend server is draining or was deregistered; "
    "stored tells whether a majority of the control hosts has it on disk.",
)


class AnnouncementService:
    """Records announcements and acknowledges draining once the gateways know of it.

    After the acknowledgement a backend server expects no new requests. A host that
    cannot reach the gateways must therefore not acknowledge: at least half of the live
    gateways have to confirm the change, and the host needs majority contact. A majority
    of the control hosts has to have it on disk, since a server that has left does not
    announce itself again to processes that have restarted.

    Parameters
    ----------
    membership : Membership
        Records shared with the gateways.
    departures : DepartureCopies
        Stores departures on disks.
    has_majority_contact : callable
        Returns whether this host can reach a majority of the control hosts.
    """

    def __init__(
        self,
        membership: Membership,
        departures: DepartureCopies,
        has_majority_contact: Callable[[], bool],
    ) -> None:
        self._membership = membership
        self._departures = departures
        self._has_majority_contact = has_majority_contact

    async def announce(self, announcement: Announcement) -> None:
        """Record an announcement; wait for the gateways if the server is draining.

        Raises
        ------
        ConflictError
            If a newer incarnation is known or this one was deregistered.
        UnavailableError
            If the server is draining and too few gateways acknowledged that, or too
            few control hosts stored it.
        """
        self._membership.announce(announcement)
        if announcement.server.draining:
            await self._complete_departure(announcement.server.server_id)

    async def deregister(self, server_id: str, incarnation: int = 0) -> None:
        """Deregister a backend server.

        Raises
        ------
        ConflictError
            If a newer incarnation is known.
        UnavailableError
            If too few gateways acknowledged the change, or too few control hosts
            stored it.
        """
        if self._membership.deregister(server_id, incarnation):
            await self._complete_departure(server_id)

    async def _complete_departure(self, server_id: str) -> None:
        membership = self._membership
        live = membership.live_gateways()
        acknowledged, is_stored = await asyncio.gather(
            membership.notify_gateways(server_id, NOTIFY_TIMEOUT_S),
            self._departures.store(server_id, NOTIFY_TIMEOUT_S),
        )
        has_majority_contact = self._has_majority_contact()
        log_event(
            818,
            server=server_id,
            gateways=live,
            told=len(acknowledged),
            in_touch=has_majority_contact,
            stored=is_stored,
        )
        if not has_majority_contact:
            raise UnavailableError(
                "this control host has no recent contact with a majority, so it does "
                "not acknowledge the draining or deregistration of backend server "
                f"{server_id!r}",
                "send the request to another control host",
            )
        if 2 * len(acknowledged) < live:
            raise UnavailableError(
                f"{len(acknowledged)} of {live} gateways acknowledged the draining or "
                f"deregistration of backend server {server_id!r}",
                "send the request to another control host",
            )
        if not is_stored:
            raise UnavailableError(
                f"too few control hosts stored the draining or deregistration of "
                f"backend server {server_id!r}",
                "send the request to another control host and check the disks",
            )
