"""Checksummed records in the files of a replica."""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash

from geraniumbend.errors import StorageError

FORMAT_VERSION = 1
SEGMENT_MAGIC = b"GBLS"
VOTE_MAGIC = b"GBVT"
SNAPSHOT_MAGIC = b"GBSN"
BACKUP_MAGIC = b"GBBK"
# Magic, format version, two reserved bytes.
HEADER = struct.Struct("!4sHH")
# Header of a record: length of the payload, xxh64 of the payload seeded with the
# length.
RECORD = struct.Struct("!IQ")
SECTOR_BYTES = 512


class VersionError(StorageError):
    """A file was written by a newer release and must not be changed."""


class ReadError(StorageError):
    """Files cannot be read at present, which says nothing about their content."""


class SegmentScan(NamedTuple):
    """Records of one segment.

    Parameters
    ----------
    payloads : list of bytes
        Valid records in order.
    valid_bytes : int
        Size of the file without a torn tail.
    """

    payloads: list[bytes]
    valid_bytes: int


def file_header(magic: bytes) -> bytes:
    """Return the file header with a magic number."""
    return HEADER.pack(magic, FORMAT_VERSION, 0)


def check_header(data: bytes, magic: bytes, path: str) -> None:
    """Check the header of a file.

    Raises
    ------
    StorageError
        If the magic is wrong.
    VersionError
        If the format is newer than this release reads.
    """
    if len(data) < HEADER.size or data[:4] != magic:
        raise _damaged_error(path, 0, "the file header is damaged")
    version = HEADER.unpack_from(data)[1]
    if version > FORMAT_VERSION:
        raise VersionError(
            f"{path} has format version {version}, this release reads up to "
            f"{FORMAT_VERSION}",
            "start a release that knows this format",
        )


def pack_record(payload: bytes) -> bytes:
    """Return a record: length, checksum and payload."""
    length = len(payload)
    return RECORD.pack(length, xxhash.xxh64_intdigest(payload, length)) + payload


def pack_file(magic: bytes, *payloads: bytes) -> bytes:
    """Return the content of a file: header and one record for each payload."""
    return file_header(magic) + b"".join(pack_record(part) for part in payloads)


def unpack_file(data: bytes, magic: bytes, count: int, path: str) -> list[bytes]:
    """Return the payloads of a file that `pack_file` wrote.

    Raises
    ------
    StorageError
        If any part is damaged or missing.
    """
    check_header(data, magic, path)
    payloads: list[bytes] = []
    position = HEADER.size
    for _ in range(count):
        payload = _read_record(data, position)
        if payload is None:
            raise _damaged_error(path, position, "a checksum does not match")
        payloads.append(payload)
        position += RECORD.size + len(payload)
    if position != len(data):
        raise _damaged_error(path, position, "bytes follow the last record")
    return payloads


def scan_segment(data: bytes, path: str, is_last: bool) -> SegmentScan:
    """Read the records of a segment.

    Parameters
    ----------
    data : bytes
        Content of the file.
    path : str
        Name of the file in errors.
    is_last : bool
        Whether it is the newest segment, the only one that may have a torn tail.

    Returns
    -------
    SegmentScan
        Records and the size to cut the file to.

    Raises
    ------
    StorageError
        If records are damaged and the damage is not a torn tail.
    """
    if is_last and len(data) < HEADER.size:
        return SegmentScan([], 0)
    if is_last and not any(data):
        return SegmentScan([], 0)
    check_header(data, SEGMENT_MAGIC, path)
    payloads: list[bytes] = []
    position = HEADER.size
    while position < len(data):
        payload = _read_record(data, position)
        if payload is None:
            if is_last and _is_torn(data, position):
                break
            raise _damaged_error(path, position, "a checksum does not match")
        payloads.append(payload)
        position += RECORD.size + len(payload)
    return SegmentScan(payloads, position)


def _read_record(data: bytes, position: int) -> bytes | None:
    if position + RECORD.size > len(data):
        return None
    length, checksum = RECORD.unpack_from(data, position)
    start = position + RECORD.size
    if length == 0 or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if xxhash.xxh64_intdigest(payload, length) == checksum else None


def _is_torn(data: bytes, position: int) -> bool:
    # A crash during a write leaves a shorter file or sectors of zeros. A complete
    # record with a wrong checksum, or a valid record after the damage, means that
    # synced bytes have changed.
    for later in range(position + 1, len(data) - RECORD.size):
        if _read_record(data, later) is not None:
            return False
    if position + RECORD.size > len(data):
        return True
    length, _ = RECORD.unpack_from(data, position)
    if position + RECORD.size + length > len(data):
        return True
    start = position
    while start < len(data):
        end = min(len(data), (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False


def _damaged_error(path: str, position: int, problem: str) -> StorageError:
    return StorageError(
        f"{path} is damaged at byte {position}: {problem}",
        "the replica fetches a snapshot from its peers; a single voter needs a backup",
    )
