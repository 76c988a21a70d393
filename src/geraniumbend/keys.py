"""Cluster keys that authenticate messages between processes."""

from __future__ import annotations

from geraniumbend._keys import KeyRing

__all__ = ["KeyRing"]
