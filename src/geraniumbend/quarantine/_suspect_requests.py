"""Requests with the servers that were lost while running them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService

# Lost servers at which a request is quarantined.
QUARANTINE_LOSSES = 2
# Seconds from the latest loss until an entry expires.
ENTRY_LIFETIME_S = 600.0
MAX_FINGERPRINTS = 10_000
# Time for which records of a cleared fingerprint are ignored, in seconds, because
# gossip may still deliver them.
CLEARED_MEMORY_S = 30.0


class _SuspectRequest:
    __slots__ = ("expiry", "losses")

    def __init__(self) -> None:
        self.losses: dict[str, None] = {}
        self.expiry = 0.0


class SuspectRequests:
    """Fingerprints of requests, with the servers that were lost while running them.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._entries: dict[str, _SuspectRequest] = {}
        self._cleared: dict[str, float] = {}

    def __contains__(self, fingerprint: object) -> bool:
        """Tell whether a server was lost while running a request."""
        return self._find(fingerprint) is not None

    def add(self, fingerprint: str, loss: str) -> None:
        """Record a lost server; the same server and incarnation counts once."""
        entry = self._find(fingerprint)
        if entry is None:
            if len(self._entries) >= MAX_FINGERPRINTS:
                self._entries.pop(next(iter(self._entries)))
            entry = self._entries[fingerprint] = _SuspectRequest()
        if loss not in entry.losses:
            entry.losses[loss] = None
            entry.expiry = self._timers.now() + ENTRY_LIFETIME_S

    def losses(self, fingerprint: str) -> tuple[str, ...]:
        """Return the lost servers in the order in which they were recorded."""
        entry = self._find(fingerprint)
        return tuple(entry.losses) if entry is not None else ()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether enough servers were lost to quarantine the request."""
        return len(self.losses(fingerprint)) >= QUARANTINE_LOSSES

    def remaining_s(self, fingerprint: str) -> float:
        """Return the seconds until the entry expires."""
        entry = self._find(fingerprint)
        return entry.expiry - self._timers.now() if entry is not None else 0.0

    def clear(self, fingerprint: str) -> bool:
        """Remove a fingerprint and tell whether it was recorded."""
        now = self._timers.now()
        self._cleared = {
            name: cleared_at
            for name, cleared_at in self._cleared.items()
            if now - cleared_at < CLEARED_MEMORY_S
        }
        self._cleared[fingerprint] = now
        return self._entries.pop(fingerprint, None) is not None

    def was_cleared(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint was cleared in the last ``CLEARED_MEMORY_S``."""
        cleared_at = self._cleared.get(fingerprint, -math.inf)
        return self._timers.now() - cleared_at < CLEARED_MEMORY_S

    def fingerprints(self) -> list[str]:
        """Return all fingerprints that have not expired."""
        return [name for name in list(self._entries) if name in self]

    def _find(self, fingerprint: object) -> _SuspectRequest | None:
        entry = self._entries.get(fingerprint)  # type: ignore[call-overload]
        if entry is not None and self._timers.now() >= entry.expiry:
            del self._entries[fingerprint]  # type: ignore[arg-type]
            return None
        return entry
