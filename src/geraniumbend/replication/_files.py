"""Files of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import StorageError
from geraniumbend.replication._entries import Entry, decode_entry
from geraniumbend.replication._members import (
    MemberSet,
    members_from_wire,
    members_to_wire,
)
from geraniumbend.replication._records import (
    HEADER,
    SNAPSHOT_MAGIC,
    VOTE_MAGIC,
    pack_file,
    scan_segment,
    unpack_file,
)
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.replication._ports import Disk


class VoteState(NamedTuple):
    """Term, vote and disk identity; durable before a response that depends on them.

    Parameters
    ----------
    term : int
        Highest term seen.
    voted_for : str
        Candidate voted for in that term, empty if none.
    incarnation : int
        Identity of this replica's disk; 0 on the disks that bootstrapped the log.
    formed : bool
        Whether the replica took part in bootstrapping the log.
    lost : bool
        Whether the replica lost its log.
    cluster_id : str or None
        Cluster id of a committed entry, empty if none is known to be committed; None
        in files of releases that did not store it.
    """

    term: int = 0
    voted_for: str = ""
    incarnation: int = 0
    formed: bool = False
    lost: bool = False
    cluster_id: str | None = ""


class Snapshot(NamedTuple):
    """State of the state machine after one entry.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the state covers.
    members : MemberSet
        Member list at that entry.
    data : bytes
        Output of `StateMachine.snapshot`.
    """

    index: int  # type: ignore[assignment]
    term: int
    members: MemberSet
    data: bytes


class StoredState(NamedTuple):
    """State that a replica loads from its disk.

    Parameters
    ----------
    vote_state : VoteState or None
        None in a new folder.
    snapshot : Snapshot or None
        Newest snapshot.
    entries : list of Entry
        Contiguous entries after the snapshot.
    is_lost : bool
        Whether the replica lost its log.
    """

    vote_state: VoteState | None
    snapshot: Snapshot | None
    entries: list[Entry]
    is_lost: bool


def snapshot_meta(snapshot: Snapshot) -> Any:
    """Return the thrift struct of a snapshot without its data."""
    return load_structs("replication").SnapshotMeta(
        index=snapshot.index,
        term=snapshot.term,
        members=members_to_wire(snapshot.members),
    )


def snapshot_from_meta(meta: Any, data: bytes) -> Snapshot:
    """Return the snapshot of a thrift struct and its data."""
    return Snapshot(meta.index, meta.term, members_from_wire(meta.members), data)


def pack_snapshot(snapshot: Snapshot, magic: bytes = SNAPSHOT_MAGIC) -> bytes:
    """Return the file content of a snapshot."""
    # The marker byte keeps the second record non-empty when the state is empty.
    return pack_file(magic, encode(snapshot_meta(snapshot)), b"\x01" + snapshot.data)


def unpack_snapshot(data: bytes, path: str, magic: bytes = SNAPSHOT_MAGIC) -> Snapshot:
    """Return the snapshot of a file; raises StorageError if it is damaged."""
    header, state = unpack_file(data, magic, 2, path)
    meta = decode(load_structs("replication").SnapshotMeta, header)
    return snapshot_from_meta(meta, state[1:])


def replace_file(disk: Disk, folder: str, name: str, data: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new content."""
    temporary = f"{folder}/{name}.tmp"
    disk.write(temporary, data)
    disk.sync(temporary)
    disk.rename(temporary, f"{folder}/{name}")
    disk.sync_folder(folder)


class Segment:
    """Segment file of the log.

    Attributes
    ----------
    size : int
        Size in bytes with the writes that have not ended.
    synced_bytes : int
        Size in bytes that is durable, 0 if the file may not exist.
    last_index : int
        Highest index in it.
    """

    def __init__(self, number: int) -> None:
        self.name = f"log-{number:016d}.seg"
        self.number = number
        self.size = 0
        self.synced_bytes = 0
        self.last_index = 0


def load_folder(disk: Disk, folder: str) -> tuple[StoredState, list[Segment]]:
    """Read the files of a replica and truncate a torn tail.

    Raises
    ------
    StorageError
        If files are damaged or missing.
    """
    names = [
        name
        for name in disk.list_files(folder)
        if name == "vote" or name.endswith((".seg", ".snap"))
    ]
    if "vote" not in names:
        # A crash during the creation of the replica leaves an empty segment.
        if names and not (
            names == [Segment(1).name] and _is_unused(disk, folder, names[0])
        ):
            raise _missing_error(folder, "vote")
        has_damaged_files = bool(disk.list_files(f"{folder}/damaged"))
        return StoredState(None, None, [], has_damaged_files), []
    vote_state = unpack_vote_state(disk.read(f"{folder}/vote"), folder)
    snapshot = load_snapshot(disk, folder)
    segment_names = [name for name in names if name.endswith(".seg")]
    records, segments = _load_segments(disk, folder, segment_names)
    entries = _merge_entries(records, snapshot, folder)
    return StoredState(vote_state, snapshot, entries, vote_state.lost), segments


def _is_unused(disk: Disk, folder: str, name: str) -> bool:
    return len(disk.read(f"{folder}/{name}")) <= HEADER.size


def load_snapshot(disk: Disk, folder: str) -> Snapshot | None:
    """Return the newest snapshot of a folder."""
    names = disk.list_files(folder)
    snapshots = [name for name in names if name.endswith(".snap")]
    if not snapshots:
        return None
    path = f"{folder}/{snapshots[-1]}"
    return unpack_snapshot(disk.read(path), path)


def _load_segments(
    disk: Disk, folder: str, names: list[str]
) -> tuple[list[Entry], list[Segment]]:
    if not names:
        raise _missing_error(folder, "log-*.seg")
    segments: list[Segment] = []
    entries: list[Entry] = []
    for name in names:
        segment = Segment(int(name[4:-4]))
        if segments and segment.number != segments[-1].number + 1:
            raise _missing_error(folder, f"the segment before {name}")
        path = f"{folder}/{name}"
        data = disk.read(path)
        scan = scan_segment(data, path, name == names[-1])
        if scan.valid_bytes < len(data):
            disk.truncate(path, scan.valid_bytes)
            disk.sync(path)
        found = [decode_entry(payload) for payload in scan.payloads]
        segment.size = segment.synced_bytes = scan.valid_bytes
        segment.last_index = max((entry.index for entry in found), default=0)
        segments.append(segment)
        entries.extend(found)
    return entries, segments


def _merge_entries(
    records: list[Entry], snapshot: Snapshot | None, folder: str
) -> list[Entry]:
    base = snapshot.index if snapshot else 0
    kept: list[Entry] = []
    for entry in records:
        last = kept[-1].index if kept else base
        if kept and kept[0].index <= entry.index <= last + 1:
            del kept[entry.index - kept[0].index :]
        elif entry.index > max(last, base) + 1:
            raise _missing_error(folder, f"entry {max(last, base) + 1}")
        else:
            kept.clear()
        kept.append(entry)
    if snapshot and kept:
        # Entries after the snapshot continue it only if the log contains its last
        # entry. Others remain from a log that a leader's snapshot replaced.
        known = [entry for entry in kept if entry.index == snapshot.index]
        if known and known[0].term != snapshot.term:
            return []
        kept = [entry for entry in kept if entry.index > snapshot.index]
    return kept


def pack_vote_state(vote_state: VoteState) -> bytes:
    """Return the content of the vote file."""
    struct = load_structs("replication").VoteState(**vote_state._asdict())
    return pack_file(VOTE_MAGIC, encode(struct))


def unpack_vote_state(data: bytes, folder: str) -> VoteState:
    """Return the vote state of a file; raises StorageError if it is damaged."""
    (payload,) = unpack_file(data, VOTE_MAGIC, 1, f"{folder}/vote")
    struct = decode(load_structs("replication").VoteState, payload)
    return VoteState(
        struct.term,
        struct.voted_for or "",
        struct.incarnation or 0,
        bool(struct.formed),
        bool(struct.lost),
        struct.cluster_id,
    )


def _missing_error(folder: str, what: str) -> StorageError:
    return StorageError(
        f"{folder} lacks {what}",
        "the replica fetches a snapshot from its peers; a single voter needs a backup",
    )
