from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.errors import StorageError
from geraniumbend.replication._files import (
    Vote,
    pack_snapshot,
    replace_file,
    unpack_snapshot,
)
from geraniumbend.replication._members import Member, MemberSet
from geraniumbend.replication._records import BACKUP_MAGIC
from geraniumbend.replication._storage import LogStorage

if TYPE_CHECKING:
    from pathlib import Path

    from geraniumbend.replication._ports import Disk
    from geraniumbend.replication._replica import Replica


class BackupInfo(NamedTuple):
    """Head of a backup.

    Parameters
    ----------
    cluster_id : str
        Cluster that the backup was taken from, or that a restore started.
    epoch : int
        Number of restores that led to that cluster.
    index : int
        Last entry that the backup covers.
    """

    cluster_id: str
    epoch: int
    index: int  # type: ignore[assignment]


async def create_backup(replica: Replica) -> bytes:
    """Return a checksummed copy of the state of a log.

    Parameters
    ----------
    replica : Replica
        Any replica that reaches the leader.

    Returns
    -------
    bytes
        Content of a backup file; covers everything acknowledged before the call.

    Raises
    ------
    NotLeaderError
        If no leader with a majority can be asked.
    """
    return pack_snapshot(await replica.take_snapshot(), BACKUP_MAGIC)


def describe_backup(data: bytes) -> BackupInfo:
    """Return the head of a backup; raises StorageError when it is damaged."""
    snapshot = unpack_snapshot(data, "backup", BACKUP_MAGIC)
    members = snapshot.members
    return BackupInfo(members.cluster_id, members.epoch, snapshot.index)


async def restore_backup(
    data: bytes,
    folder: str | Path,
    shard: str,
    node: str,
    address: str,
    disk: Disk | None = None,
) -> BackupInfo:
    """Start a new cluster with the state of a backup.

    The new cluster has one voter, another identity and a higher epoch. Replicas of
    the old cluster can neither join it nor take part in its elections, so they
    cannot bring their state back.

    Parameters
    ----------
    data : bytes
        Output of `create_backup`.
    folder : str or Path
        Data folder; its part for this log must be empty.
    shard : str
        Name of the log.
    node, address : str
        Name and peer address of the only first voter.
    disk : Disk or None, default=None
        File operations; the local disk if None.

    Returns
    -------
    BackupInfo
        Identity, epoch and index of the new cluster.

    Raises
    ------
    StorageError
        If the backup is damaged or the folder holds files.
    """
    old = unpack_snapshot(data, "backup", BACKUP_MAGIC)
    target = f"{folder}/{shard}"
    members = MemberSet(
        secrets.token_hex(16), old.members.epoch + 1, (Member(node, address, True),)
    )
    term = old.term + 1
    snapshot = old._replace(term=term, members=members)
    used = disk if disk is not None else LocalDisk()

    def write() -> None:
        if used.list_files(target) or used.list_files(f"{target}/damaged"):
            raise StorageError(
                f"{target} is not empty",
                "restore into an empty data folder; move the old one aside",
            )
        used.create_folder(target)
        name = f"snapshot-{snapshot.index:016d}.snap"
        replace_file(used, target, name, pack_snapshot(snapshot))

    try:
        await used.run(write)
        # The vote file completes the restore; without it a start refuses the folder.
        storage = LogStorage(used, target, _ignore, _ignore)
        await storage.create(Vote(term=term, formed=True))
    except OSError as error:
        raise StorageError(
            f"{target} cannot be written: {error}", "check the disk and permissions"
        ) from error
    finally:
        if isinstance(used, LocalDisk):
            used.close()
    return BackupInfo(members.cluster_id, members.epoch, snapshot.index)


def _ignore(error: StorageError | None = None) -> None:
    return None
