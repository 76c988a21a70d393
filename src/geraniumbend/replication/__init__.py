"""Raft log replication: elections, snapshots and membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.replication._backup import (
        BackupInfo,
        create_backup,
        describe_backup,
        restore_backup,
    )
    from geraniumbend.replication._client import LogClient
    from geraniumbend.replication._ports import Disk
    from geraniumbend.replication._replica import MemberState, Replica
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_backup": (
                "BackupInfo",
                "create_backup",
                "describe_backup",
                "restore_backup",
            ),
            "_client": ("LogClient",),
            "_ports": ("Disk",),
            "_replica": (
                "MemberState",
                "Replica",
            ),
        },
    )

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
