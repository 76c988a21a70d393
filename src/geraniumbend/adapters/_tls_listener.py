"""Listening for callers; handshakes count as connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Sequence

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.caller_limits import Holding

# Longest handshake in seconds; as long as the default for all header fields.
HANDSHAKE_TIMEOUT_S = 10.0
# Memory of a handshake in bytes.
HANDSHAKE_BYTES = 32 * 1024
# Connections that are accepted before other events are handled.
MAX_ACCEPTED_AT_ONCE = 32
# Errors of the process or the system, for which the listening socket stays ready, and
# the time in seconds until it is tried again, as asyncio does.
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RETRY_S = 1.0


class ListeningServer(Protocol):
    """Server that accepts connections until it is closed."""

    @property
    def sockets(self) -> Sequence[socket.socket]:
        """Return the listening sockets."""
        ...

    def close(self) -> None:
        """Stop to accept."""
        ...


async def listen(
    create_protocol: Callable[[], asyncio.Protocol],
    listener: socket.socket,
    context: ssl.SSLContext | None,
    guard: CallerGuard | None,
    name: str,
    backlog: int,
) -> ListeningServer:
    """Accept connections on a listening socket.

    Parameters
    ----------
    create_protocol : callable
        Returns the protocol of a connection.
    listener : socket.socket
        Listening socket.
    context : ssl.SSLContext or None
        TLS; off if None.
    guard : CallerGuard or None
        Account of what callers hold, also during handshakes.
    name : str
        Name of the listener for events.
    backlog : int
        Connections that the kernel completes before they are accepted.
    """
    if guard is not None:
        guard.add_listener(listener)
        if context is not None:
            return TlsListener(create_protocol, listener, context, guard, name)
    return await asyncio.get_running_loop().create_server(
        create_protocol, sock=listener, ssl=context, backlog=backlog
    )


class TlsListener:
    """Accepts connections with TLS, so that handshakes can be counted and ended.

    Parameters
    ----------
    create_protocol, listener, context, guard, name
        See `listen`.
    """

    def __init__(
        self,
        create_protocol: Callable[[], asyncio.Protocol],
        listener: socket.socket,
        context: ssl.SSLContext,
        guard: CallerGuard,
        name: str,
    ) -> None:
        self._create_protocol = create_protocol
        self._listener = listener
        self._context = context
        self._guard = guard
        self._name = name
        self._handshakes: set[_Handshake] = set()
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None
        self._watch()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the listening socket."""
        return (self._listener,)

    def close(self) -> None:
        """Stop to accept; handshakes that have begun may end."""
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()

    def _watch(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                accepted, address = self._listener.accept()
            except OSError as error:
                if error.errno in EXHAUSTED:
                    self._loop.remove_reader(self._listener.fileno())
                    self._retry = self._loop.call_later(RETRY_S, self._watch)
                return
            accepted.setblocking(False)
            handshake = _Handshake(accepted)
            self._handshakes.add(handshake)
            holding = self._guard.open(handshake, str(address[0]), self._name)
            handshake.task = asyncio.ensure_future(self._connect(handshake, holding))

    async def _connect(self, handshake: _Handshake, holding: Holding) -> None:
        self._guard.update(holding, HANDSHAKE_BYTES)
        try:
            await self._loop.connect_accepted_socket(
                self._create_protocol,
                handshake.accepted,
                ssl=self._context,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        except (OSError, asyncio.CancelledError):
            # Also ssl.SSLError and TimeoutError.
            with contextlib.suppress(OSError):
                handshake.accepted.close()
        finally:
            self._guard.close(holding)
            self._handshakes.discard(handshake)


class _Handshake:
    """Connection whose handshake has not ended."""

    def __init__(self, accepted: socket.socket) -> None:
        self.accepted = accepted
        self.task: asyncio.Task[None] | None = None

    def resume_held_back(self) -> None:
        """Do nothing: handshakes are not stopped."""

    def parse_next(self) -> None:
        """Do nothing: handshakes wait for no turn."""

    def narrow_window(self) -> None:
        """Do nothing: the window of a handshake is narrow."""

    def close_for_limit(self) -> None:
        """End the handshake."""
        if self.task is not None:
            self.task.cancel()
        with contextlib.suppress(OSError):
            self.accepted.shutdown(socket.SHUT_RDWR)
