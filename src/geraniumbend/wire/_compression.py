"""Compression of messages."""

from __future__ import annotations

import zlib

from geraniumbend.errors import ProtocolError

COMPRESSION_LEVEL = 1


def compress(data: bytes) -> bytes:
    """Return compressed bytes for `decompress`."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes, limit_bytes: int) -> bytes:
    """Return the content of compressed bytes.

    Parameters
    ----------
    data : bytes
        Output of `compress`.
    limit_bytes : int
        Longest content in bytes. Without a limit, damaged or hostile data could use up
        the memory of the process.

    Returns
    -------
    bytes
        The content.

    Raises
    ------
    ProtocolError
        If the data is damaged or incomplete, or its content too long.
    """
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, limit_bytes)
    except zlib.error as error:
        raise ProtocolError(
            f"compressed message is damaged: {error}", "ask another peer"
        ) from error
    if not inflater.eof:
        raise ProtocolError(
            f"compressed message is incomplete or exceeds {limit_bytes} bytes",
            "ask another peer",
        )
    return content
