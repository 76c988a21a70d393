"""Repair of the files of a replica after a failed write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.replication._entries import encode_entry
from geraniumbend.replication._files import Segment, pack_vote_state, replace_file
from geraniumbend.replication._records import (
    SEGMENT_MAGIC,
    file_header,
    pack_record,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from geraniumbend.replication._entries import Entry
    from geraniumbend.replication._files import VoteState
    from geraniumbend.replication._ports import Disk


def repair_folder(
    disk: Disk,
    folder: str,
    segments: list[Segment],
    entries: Sequence[Entry],
    vote_state: VoteState,
) -> list[Segment]:
    """Complete the files of a replica after a failed write.

    Each step leaves files that a start accepts and that hold all durable entries, so
    the repair may be interrupted at any point and repeated.

    Parameters
    ----------
    disk : Disk
        File operations.
    folder : str
        Folder of the replica.
    segments : list of Segment
        Segments as far as they are known; the one that is being written is added.
    entries : sequence of Entry
        Entries that no sync has covered; they are written to a new segment.
    vote_state : VoteState
        Vote state, which is written anew.

    Returns
    -------
    list of Segment
        Segments of the folder.

    Raises
    ------
    OSError
        If the disk refuses an operation.
    """
    _remove_drafts(disk, folder)
    names = disk.list_files(folder)
    durable = [s for s in segments if s.synced_bytes and s.name in names]
    target = _choose_target(segments)
    # Only the newest segment may end in a torn record, so a tail is cut off first.
    for segment in durable:
        if segment.size != segment.synced_bytes:
            path = f"{folder}/{segment.name}"
            disk.truncate(path, segment.synced_bytes)
            disk.sync(path)
            segment.size = segment.synced_bytes
    data = file_header(SEGMENT_MAGIC) + b"".join(
        pack_record(encode_entry(entry)) for entry in entries
    )
    path = f"{folder}/{target.name}"
    disk.write(path, data)
    disk.sync(path)
    disk.sync_folder(folder)
    replace_file(disk, folder, "vote", pack_vote_state(vote_state))
    target.size = target.synced_bytes = len(data)
    target.last_index = max((entry.index for entry in entries), default=0)
    return [*durable, target]


def _choose_target(segments: list[Segment]) -> Segment:
    """Return the first segment that may not exist; a new one is added if all do."""
    for segment in segments:
        if not segment.synced_bytes:
            return segment
    segments.append(Segment(segments[-1].number + 1))
    return segments[-1]


def _remove_drafts(disk: Disk, folder: str) -> None:
    """Remove files that were not renamed to their place; they take up space."""
    for name in disk.list_files(folder):
        if name.endswith(".tmp"):
            disk.remove(f"{folder}/{name}")
