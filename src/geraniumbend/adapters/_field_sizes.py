"""Memory that the fields of heads and trailers take."""

from __future__ import annotations

from typing import Any

# Memory of one field besides its bytes, which are kept as bytes and as text.
FIELD_BYTES = 256
# Bytes of the shortest field: a name, a colon and the end of the line.
MIN_FIELD_BYTES = 4
# Bytes around a chunk: its length of six digits and two ends of lines.
CHUNK_FRAMING_BYTES = 10


def measure_fields(data: bytes) -> int:
    """Return the memory of the fields in bytes of a head, of which each ends a line."""
    return len(data) + FIELD_BYTES * data.count(b"\n")


def count_chunks(body: Any) -> int:
    """Return the number of chunks that have ended since parts were joined."""
    return len(body._http_chunk_splits or ())


def measure_trailers(data: bytes, framing: int, chunks: int) -> int:
    """Return the memory of the trailers in bytes of a body in chunks.

    Parameters
    ----------
    data : bytes
        Bytes on the wire.
    framing : int
        How many of them are not the content of chunks.
    chunks : int
        Chunks that ended in them.
    """
    trailers = max(0, framing - CHUNK_FRAMING_BYTES * (chunks + 1))
    fields = min(trailers // MIN_FIELD_BYTES, data.count(b"\n"))
    return trailers + FIELD_BYTES * fields


def measure_head(message: Any) -> int:
    """Return the memory of the fields of a parsed request."""
    fields = getattr(message, "raw_headers", ())
    size = sum(len(name) + len(value) for name, value in fields)
    return 2 * size + FIELD_BYTES * len(fields)
