"""Raft log replication: elections, snapshots and membership changes."""

from __future__ import annotations

from geraniumbend.replication._backup import (
    BackupInfo,
    create_backup,
    describe_backup,
    restore_backup,
)
from geraniumbend.replication._client import LogClient
from geraniumbend.replication._ports import Disk
from geraniumbend.replication._replica import MemberState, Replica

__all__ = [
    "BackupInfo",
    "Disk",
    "LogClient",
    "MemberState",
    "Replica",
    "create_backup",
    "describe_backup",
    "restore_backup",
]
