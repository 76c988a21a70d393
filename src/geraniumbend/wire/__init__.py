"""Thrift structs of the protocol between processes, and their serialization."""

from __future__ import annotations

from geraniumbend.wire._codec import decode, encode, load_structs
from geraniumbend.wire._compression import compress, decompress

__all__ = ["compress", "decode", "decompress", "encode", "load_structs"]
