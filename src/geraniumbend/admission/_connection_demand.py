"""Offered work of the connections of one caller."""

from __future__ import annotations

import math


class _ConnectionState:
    """Decaying rate of one connection."""

    __slots__ = ("rate", "updated")

    def __init__(self, updated: float) -> None:
        self.rate = 0.0
        self.updated = updated


class ConnectionDemand:
    """Estimates the offered work per second of each connection of a caller.

    A balancer in front of the gateway gives all callers one address, so that one of
    them could otherwise have the others refused for what it asks for.

    Parameters
    ----------
    decay_s : float
        Time constant of the decay of a rate, and time after the last request for which
        a connection counts as active, in seconds.
    """

    __slots__ = ("_connections", "_decay_s")

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        # The one with the latest request is last.
        self._connections: dict[int, _ConnectionState] = {}

    def __len__(self) -> int:
        """Return the number of active connections, as of the last request."""
        return len(self._connections)

    def record(self, connection: int, work_s: float, now: float) -> float:
        """Record work of a connection and return its offered work per second."""
        state = self._connections.pop(connection, None) or _ConnectionState(now)
        state.rate = self._decay(state, now) + work_s / self._decay_s
        state.updated = now
        self._connections[connection] = state
        self._forget_inactive(now)
        return state.rate

    def forget(self, connection: int, now: float) -> float:
        """Forget a connection that has ended and return its offered work per second."""
        state = self._connections.pop(connection, None)
        return 0.0 if state is None else self._decay(state, now)

    def _decay(self, state: _ConnectionState, now: float) -> float:
        elapsed_s = max(0.0, now - state.updated)
        return state.rate * math.exp(-elapsed_s / self._decay_s)

    def _forget_inactive(self, now: float) -> None:
        while True:
            oldest = next(iter(self._connections))
            if self._connections[oldest].updated >= now - self._decay_s:
                return
            del self._connections[oldest]
