"""Replicated log with elections and snapshots."""

from __future__ import annotations

from geraniumbend.replication._ports import Disk
from geraniumbend.replication._replica import MemberState, Replica

__all__ = ["Disk", "MemberState", "Replica"]
