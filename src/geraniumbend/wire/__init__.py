"""Thrift structs of the protocol between processes, and their serialization."""

from __future__ import annotations

from geraniumbend.wire._codec import decode, encode, load_structs
from geraniumbend.wire._compression import compress, decompress
from geraniumbend.wire._documents import decode_document
from geraniumbend.wire._tables import Table
from geraniumbend.wire._values import parse_address, parse_duration

__all__ = [
    "Table",
    "compress",
    "decode",
    "decode_document",
    "decompress",
    "encode",
    "load_structs",
    "parse_address",
    "parse_duration",
]
