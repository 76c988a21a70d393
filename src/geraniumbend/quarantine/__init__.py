"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

from geraniumbend.quarantine._quarantine import Quarantine, QuarantineEntry

__all__ = ["Quarantine", "QuarantineEntry"]
