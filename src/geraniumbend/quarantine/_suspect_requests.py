"""Requests with the servers that were lost while running them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

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
        # Losses and the time of the last clear by fingerprint, oldest clear first.
        self._cleared_losses: dict[str, tuple[dict[str, None], float]] = {}

    def __contains__(self, fingerprint: object) -> bool:
        """Tell whether a server was lost while running a request."""
        return self._find(fingerprint) is not None

    def add(self, fingerprint: str, loss: str) -> None:
        """Record a lost server; the same server and incarnation counts once."""
        if fingerprint in self._cleared_losses:
            self._cleared_losses[fingerprint][0].pop(loss, None)
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
        """Remove a fingerprint and tell whether it was recorded.

        Its losses are remembered for as long as records of them may exist.
        """
        now = self._timers.now()
        self._cleared = {
            name: cleared_at
            for name, cleared_at in self._cleared.items()
            if now - cleared_at < CLEARED_MEMORY_S
        }
        self._cleared[fingerprint] = now
        return self.forget_losses(fingerprint, self.losses(fingerprint))

    def forget_losses(self, fingerprint: str, losses: Iterable[str]) -> bool:
        """Let losses not count any more, also if records name them.

        Returns
        -------
        bool
            Whether the fingerprint was recorded and has no other losses.
        """
        names = dict.fromkeys((*self.list_cleared_losses(fingerprint), *losses))
        self._cleared_losses.pop(fingerprint, None)
        if names:
            self._cleared_losses[fingerprint] = names, self._timers.now()
        entry = self._find(fingerprint)
        if entry is None:
            return False
        for loss in names:
            entry.losses.pop(loss, None)
        if entry.losses:
            return False
        del self._entries[fingerprint]
        return True

    def list_cleared_losses(self, fingerprint: str) -> tuple[str, ...]:
        """Return the losses of a fingerprint that do not count any more."""
        self._drop_oldest_clears()
        return tuple(self._cleared_losses.get(fingerprint, ((), 0.0))[0])

    def was_cleared(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint was cleared in the last ``CLEARED_MEMORY_S``."""
        cleared_at = self._cleared.get(fingerprint, -math.inf)
        return self._timers.now() - cleared_at < CLEARED_MEMORY_S

    def fingerprints(self) -> list[str]:
        """Return all fingerprints that have not expired."""
        return [name for name in list(self._entries) if name in self]

    def _drop_oldest_clears(self) -> None:
        oldest_s = self._timers.now() - ENTRY_LIFETIME_S
        while self._cleared_losses:
            fingerprint = next(iter(self._cleared_losses))
            is_expired = self._cleared_losses[fingerprint][1] < oldest_s
            if not is_expired and len(self._cleared_losses) <= MAX_FINGERPRINTS:
                return
            del self._cleared_losses[fingerprint]

    def _find(self, fingerprint: object) -> _SuspectRequest | None:
        entry = self._entries.get(fingerprint)  # type: ignore[call-overload]
        if entry is not None and self._timers.now() >= entry.expiry:
            del self._entries[fingerprint]  # type: ignore[arg-type]
            return None
        return entry
