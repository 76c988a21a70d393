"""Thrift structs of the protocol between processes, and their serialization."""

from __future__ import annotations

from geraniumbend.wire._codec import decode, encode, load_structs

__all__ = ["decode", "encode", "load_structs"]
