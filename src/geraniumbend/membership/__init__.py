"""Processes and backend servers of the cluster, and what they publish."""

from __future__ import annotations

from geraniumbend.membership._announcement_service import AnnouncementService
from geraniumbend.membership._announcements import AnnouncementApi
from geraniumbend.membership._directory_file import DirectoryFile
from geraniumbend.membership._members import Member
from geraniumbend.membership._membership import Membership, MembershipOptions
from geraniumbend.membership._records import DOMAIN_SCOPE_NODES, RETRY_EARNINGS
from geraniumbend.membership._shares import Shares
from geraniumbend.membership._values import Announcement, LoadReport

__all__ = [
    "DOMAIN_SCOPE_NODES",
    "RETRY_EARNINGS",
    "Announcement",
    "AnnouncementApi",
    "AnnouncementService",
    "DirectoryFile",
    "LoadReport",
    "Member",
    "Membership",
    "MembershipOptions",
    "Shares",
]
