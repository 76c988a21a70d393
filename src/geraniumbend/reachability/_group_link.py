"""Evidence of the link to the servers of one group."""

from __future__ import annotations

from typing import NamedTuple

# Time without an answer after which an exchange that needs no work of the server counts
# as unanswered, in seconds. A round trip within a region takes 1 to 2 ms, and a lost
# packet is sent again after 200 ms.
SILENCE_S = 0.25
# Servers that must be silent for a link to count as lost, all of a smaller group.
MIN_SILENT_SERVERS = 3


class Silence(NamedTuple):
    """Unanswered exchanges with the servers of a group since the last answer.

    Parameters
    ----------
    servers : int
        Number of silent servers.
    since : float
        Clock time of the first unanswered exchange, in seconds; 0 without any.
    """

    servers: int
    since: float


class GroupLink:
    """Exchanges of one kind with the backend servers of one group.

    An answer of any server shows that the link works, so only what was asked after the
    last answer tells of a lost link.
    """

    __slots__ = ("_asked_at", "_failed", "_heard_at")

    def __init__(self) -> None:
        self._heard_at = float("-inf")
        self._asked_at: dict[str, float] = {}
        self._failed: set[str] = set()

    def begin(self, server_id: str, now: float) -> None:
        """Record that a server was asked something."""
        asked_at = self._asked_at.get(server_id)
        if asked_at is None or asked_at <= self._heard_at:
            self._asked_at[server_id] = now
            self._failed.discard(server_id)

    def succeed(self, server_id: str, now: float) -> None:
        """Record an answer."""
        self._heard_at = now
        self._asked_at.pop(server_id, None)
        self._failed.discard(server_id)

    def fail(self, server_id: str, now: float) -> None:
        """Record that an exchange failed for good."""
        self.begin(server_id, now)
        self._failed.add(server_id)

    def abandon(self, server_id: str) -> None:
        """Forget an exchange that was given up before an answer was due."""
        if server_id not in self._failed:
            self._asked_at.pop(server_id, None)

    def forget(self) -> None:
        """Forget all exchanges, after the link was lost and works again."""
        self._asked_at.clear()
        self._failed.clear()

    def measure_silence(self, now: float) -> Silence:
        """Return what is unanswered since the last answer."""
        silent = [
            asked_at
            for server_id, asked_at in self._asked_at.items()
            if asked_at > self._heard_at
            and (server_id in self._failed or now - asked_at >= SILENCE_S)
        ]
        return Silence(len(silent), min(silent, default=0.0))

    def is_silent(self, servers: int, now: float) -> bool:
        """Tell whether the link is lost.

        Parameters
        ----------
        servers : int
            Number of servers of the group.
        now : float
            Clock time in seconds.
        """
        if not self._asked_at:
            return False
        silence = self.measure_silence(now)
        needed = max(1, min(MIN_SILENT_SERVERS, servers))
        return silence.servers >= needed and now - silence.since >= SILENCE_S
