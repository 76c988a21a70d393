"""Protocols that the core modules use and the adapters implement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class RpcCaller(Protocol):
    """Client that calls RPC methods of other processes by address."""

    async def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the serialized response; see `adapters.rpc.RpcClient.call`."""
        ...


class DatagramPort(Protocol):
    """Sends and receives authenticated datagrams by peer address."""

    @property
    def address(self) -> str:
        """Return the address of this process as ``ip:port``."""
        ...

    def on_receive(self, callback: Callable[[str, bytes], None]) -> None:
        """Set the callback, which gets sender address and payload."""
        ...

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload without acknowledgement; it may be lost."""
        ...

    async def start(self) -> None:
        """Open the socket."""
        ...

    async def stop(self) -> None:
        """Close the socket."""
        ...


class StateMachine(Protocol):
    """State machine of a replicated log; every method is deterministic."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        ...


class Log(Protocol):
    """Client interface of a replicated log."""

    async def propose(self, command: bytes) -> bytes:
        """Return the result of a command once a majority has stored it on disk."""
        ...

    async def read_barrier(self) -> int:
        """Return an index that this replica has applied.

        It covers every command that was acknowledged before the call.
        """
        ...
