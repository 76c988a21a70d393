"""Processes and backend servers of the cluster, and what they publish."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.membership._announcement_api import AnnouncementApi
    from geraniumbend.membership._announcement_service import AnnouncementService
    from geraniumbend.membership._departure_copies import DepartureCopies
    from geraniumbend.membership._departure_log import DepartureLog
    from geraniumbend.membership._departure_sender import DepartureSender
    from geraniumbend.membership._gateway_shares import GatewayShares
    from geraniumbend.membership._members import Member
    from geraniumbend.membership._membership import Membership, MembershipOptions
    from geraniumbend.membership._rate_totals import RateTotals, has_changed
    from geraniumbend.membership._records import RETRY_EARNINGS
    from geraniumbend.membership._server_records import AnnouncedLoad, Announcement
    from geraniumbend.membership._server_records_file import ServerRecordsFile
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_announcement_api": ("AnnouncementApi",),
            "_announcement_service": ("AnnouncementService",),
            "_departure_copies": ("DepartureCopies",),
            "_departure_log": ("DepartureLog",),
            "_departure_sender": ("DepartureSender",),
            "_gateway_shares": ("GatewayShares",),
            "_members": ("Member",),
            "_membership": (
                "Membership",
                "MembershipOptions",
            ),
            "_rate_totals": (
                "RateTotals",
                "has_changed",
            ),
            "_records": ("RETRY_EARNINGS",),
            "_server_records": (
                "AnnouncedLoad",
                "Announcement",
            ),
            "_server_records_file": ("ServerRecordsFile",),
        },
    )

__all__ = [
    "RETRY_EARNINGS",
    "Announcement",
    "AnnouncementApi",
    "AnnouncementService",
    "DepartureCopies",
    "DepartureLog",
    "DepartureSender",
    "ServerRecordsFile",
    "AnnouncedLoad",
    "Member",
    "Membership",
    "MembershipOptions",
    "GatewayShares",
    "RateTotals",
    "has_changed",
]
