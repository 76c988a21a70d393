"""Compressed batches of records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.membership._records import Record, pack_record, unpack_records
from geraniumbend.wire import compress, decode, decompress, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longest decompressed batch in bytes.
MAX_BATCH_BYTES = 2 * 1024 * 1024


def pack_batch(records: Iterable[Record]) -> bytes:
    """Return records compressed together.

    Records of one cluster repeat names and addresses, so they need about a fifth of
    their bytes. A process that joins over a thin link is ready that much sooner.

    Parameters
    ----------
    records : iterable of Record
        Records with their remaining lifetimes.

    Returns
    -------
    bytes
        Batch for `unpack_batch`.
    """
    batch = load_structs("membership").RecordBatch(
        records=[pack_record(record) for record in records]
    )
    return compress(encode(batch))


def unpack_batch(data: bytes) -> list[Record]:
    """Return the records of a batch.

    Parameters
    ----------
    data : bytes
        Batch of `pack_batch`.

    Returns
    -------
    list of Record
        The records.

    Raises
    ------
    ProtocolError
        If the batch is damaged, incomplete or longer than `MAX_BATCH_BYTES`.
    """
    content = decompress(data, MAX_BATCH_BYTES)
    return unpack_records(
        decode(load_structs("membership").RecordBatch, content).records
    )
