from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService

LOSS_LIMIT = 2
LIFETIME_S = 600.0
MAX_FINGERPRINTS = 10_000
# Gossip may still deliver the losses of a cleared fingerprint for this time, in
# seconds.
CLEARED_S = 30.0


class _Suspect:
    __slots__ = ("expiry", "losses")

    def __init__(self) -> None:
        self.losses: dict[str, None] = {}
        self.expiry = 0.0


class Suspects:
    """Request fingerprints with the servers that were lost to them.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._entries: dict[str, _Suspect] = {}
        self._cleared: dict[str, float] = {}

    def __contains__(self, fingerprint: object) -> bool:
        """Tell whether a server was lost to a fingerprint."""
        return self._find(fingerprint) is not None

    def add(self, fingerprint: str, loss: str) -> None:
        """Add a lost server; the same loss counts once."""
        entry = self._find(fingerprint)
        if entry is None:
            if len(self._entries) >= MAX_FINGERPRINTS:
                self._entries.pop(next(iter(self._entries)))
            entry = self._entries[fingerprint] = _Suspect()
        if loss not in entry.losses:
            entry.losses[loss] = None
            entry.expiry = self._timers.now() + LIFETIME_S

    def losses(self, fingerprint: str) -> tuple[str, ...]:
        """Return the lost servers in the order in which they became known."""
        entry = self._find(fingerprint)
        return tuple(entry.losses) if entry is not None else ()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether the limit of lost servers is reached."""
        return len(self.losses(fingerprint)) >= LOSS_LIMIT

    def remaining_s(self, fingerprint: str) -> float:
        """Return the seconds until the entry expires."""
        entry = self._find(fingerprint)
        return entry.expiry - self._timers.now() if entry is not None else 0.0

    def clear(self, fingerprint: str) -> bool:
        """Remove a fingerprint and tell whether it was there."""
        now = self._timers.now()
        self._cleared = {
            name: since
            for name, since in self._cleared.items()
            if now - since < CLEARED_S
        }
        self._cleared[fingerprint] = now
        return self._entries.pop(fingerprint, None) is not None

    def was_cleared(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint was cleared a short time ago."""
        since = self._cleared.get(fingerprint, -math.inf)
        return self._timers.now() - since < CLEARED_S

    def fingerprints(self) -> list[str]:
        """Return all fingerprints that have not expired."""
        return [name for name in list(self._entries) if name in self]

    def _find(self, fingerprint: object) -> _Suspect | None:
        entry = self._entries.get(fingerprint)  # type: ignore[call-overload]
        if entry is not None and self._timers.now() >= entry.expiry:
            del self._entries[fingerprint]  # type: ignore[arg-type]
            return None
        return entry
