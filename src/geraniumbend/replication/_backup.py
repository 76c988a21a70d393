"""Backups of a log, and clusters restored from them."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.errors import StorageError
from geraniumbend.replication._files import (
    VoteState,
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
    """Description of a backup.

    Parameters
    ----------
    cluster_id : str
        Cluster that the backup was taken from, or that a restore has started.
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
        Content of a backup file. It covers everything acknowledged before the call.

    Raises
    ------
    NotLeaderError
        If no leader with a majority can be asked.
    """
    return pack_snapshot(await replica.take_snapshot(), BACKUP_MAGIC)


def describe_backup(data: bytes) -> BackupInfo:
    """Return the description of a backup; raises StorageError if it is damaged."""
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
    the old cluster can neither join it nor vote in it, so their newer state cannot
    return.

    Parameters
    ----------
    data : bytes
        Output of `create_backup`.
    folder : str or Path
        Data folder; its subfolder for this log must be empty.
    shard : str
        Name of the log.
    node, address : str
        Name and peer address of the only voter.
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
    log_folder = f"{folder}/{shard}"
    members = MemberSet(
        secrets.token_hex(16), old.members.epoch + 1, (Member(node, address, True),)
    )
    term = old.term + 1
    snapshot = old._replace(term=term, members=members)
    target_disk = disk if disk is not None else LocalDisk()

    def write() -> None:
        if target_disk.list_files(log_folder) or target_disk.list_files(
            f"{log_folder}/damaged"
        ):
            raise StorageError(
                f"{log_folder} is not empty",
                "restore into an empty data folder; move the old one aside",
            )
        target_disk.create_folder(log_folder)
        name = f"snapshot-{snapshot.index:016d}.snap"
        replace_file(target_disk, log_folder, name, pack_snapshot(snapshot))

    try:
        await target_disk.run(write)
        # The vote file completes the restore; a replica does not start without it.
        storage = LogStorage(target_disk, log_folder, _ignore, _ignore)
        await storage.create(VoteState(term=term, formed=True))
    except OSError as error:
        raise StorageError(
            f"{log_folder} cannot be written: {error}", "check the disk and permissions"
        ) from error
    finally:
        if isinstance(target_disk, LocalDisk):
            target_disk.close()
    return BackupInfo(members.cluster_id, members.epoch, snapshot.index)


def _ignore(error: StorageError | None = None) -> None:
    return None
