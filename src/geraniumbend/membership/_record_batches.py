from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._records import Record, pack_record, unpack_records
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Iterable

COMPRESSION_LEVEL = 1
# Longest decompressed batch in bytes. Without a limit a damaged or hostile batch could
# use up the memory of the process.
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
    return zlib.compress(encode(batch), COMPRESSION_LEVEL)


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
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, MAX_BATCH_BYTES)
    except zlib.error as error:
        raise ProtocolError(
            f"batch of records is damaged: {error}", "synchronise with another peer"
        ) from error
    if not inflater.eof:
        raise ProtocolError(
            f"batch of records is incomplete or exceeds {MAX_BATCH_BYTES} bytes",
            "synchronise with another peer",
        )
    return unpack_records(
        decode(load_structs("membership").RecordBatch, content).records
    )
