"""Local files of the durable state in the data folder."""

from __future__ import annotations

from geraniumbend.adapters._local_disk import LocalDisk

__all__ = ["LocalDisk"]
