"""Ports between the decision modules and their adapters."""

from __future__ import annotations

from typing import Protocol


class RpcCaller(Protocol):
    """Calls methods of other processes by their address."""

    async def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the serialized response; see `adapters.rpc.RpcClient.call`."""
        ...


class StateMachine(Protocol):
    """State that a replicated log drives; every method is deterministic."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        ...


class Log(Protocol):
    """A replicated log as its users see it."""

    async def propose(self, command: bytes) -> bytes:
        """Return the result of a command once a majority holds it on disk."""
        ...

    async def read_barrier(self) -> int:
        """Return an index once this replica has applied all that was committed."""
        ...
