"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

from geraniumbend.quarantine._ports import QuarantineEntry
from geraniumbend.quarantine._quarantine import Quarantine

__all__ = ["Quarantine", "QuarantineEntry"]
