"""Observation of connections and responses of backend servers."""

from __future__ import annotations

from typing import Literal, Protocol


class LinkObserver(Protocol):
    """Hears which backend servers accept connections and answer."""

    def begin(self, kind: Literal["connection", "answer"], server_id: str) -> None:
        """Record that a server was asked for something that needs no work."""
        ...

    def succeed(self, kind: Literal["connection", "answer"], server_id: str) -> None:
        """Record that a server has accepted a connection or answered."""
        ...

    def fail(self, kind: Literal["connection", "answer"], server_id: str) -> None:
        """Record that a server refused, or did not answer in time."""
        ...

    def abandon(self, kind: Literal["connection", "answer"], server_id: str) -> None:
        """Forget an exchange that was given up before an answer was due."""
        ...
