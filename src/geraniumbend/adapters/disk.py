"""Local files of the durable state in the data folder."""

from __future__ import annotations

from geraniumbend.adapters._local_disk import LocalDisk
from geraniumbend.adapters._worker_pool import WorkerPool

__all__ = ["LocalDisk", "WorkerPool"]
