"""Ports between the decision modules and their adapters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class RpcCaller(Protocol):
    """Calls methods of other processes by their address."""

    async def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the serialized response; see `adapters.rpc.RpcClient.call`."""
        ...


class DatagramPort(Protocol):
    """Sends and receives authenticated datagrams by peer address."""

    @property
    def address(self) -> str:
        """Return the own address as ``ip:port``."""
        ...

    def on_receive(self, callback: Callable[[str, bytes], None]) -> None:
        """Set the callback for sender address and payload."""
        ...

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload without confirmation; it may get lost."""
        ...

    async def start(self) -> None:
        """Open the socket."""
        ...

    async def stop(self) -> None:
        """Close the socket."""
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
