"""Server side of a connection to the operators' API, counted by the account."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from sanic.http import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from geraniumbend.adapters._connection_ends import shut_down
from geraniumbend.adapters._guarded_handler import CONNECTION_BYTES
from geraniumbend.adapters._lingering_close import LingeringClose

if TYPE_CHECKING:
    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.caller_limits import Holding

LISTENER = "operators"
# Longest time for which an operator receives nothing of a last response, in seconds.
STALL_LIMIT_S = 10.0


class OperatorsProtocol(HttpProtocol):
    """Adds to Sanic's protocol that the account counts the bytes of requests.

    The account is ``app.ctx.guard``; with None, nothing is counted.
    """

    __slots__ = (
        "_discarded",
        "_guard",
        "_holding",
        "_lingering",
        "_may_read",
        "_received",
        "_responded",
    )

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._guard: CallerGuard | None = self.app.ctx.guard
        self._holding: Holding | None = None
        self._received = 0
        self._responded = False
        self._lingering: asyncio.Task[None] | None = None
        self._discarded = 0
        self._may_read = asyncio.Event()
        self._may_read.set()

    def connection_made(self, transport: Any) -> None:
        """Open the holding of the connection."""
        super().connection_made(transport)
        if self._guard is not None:
            peer = transport.get_extra_info("peername") or ("",)
            self._holding = self._guard.open(self, str(peer[0]), LISTENER)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the holding of the connection."""
        super().connection_lost(exc)
        if self._lingering is not None:
            self._lingering.cancel()
        holding, self._holding = self._holding, None
        if holding is not None and self._guard is not None:
            self._guard.close(holding)
        self._may_read.set()

    def data_received(self, data: bytes) -> None:
        """Count received bytes; stop reading while the account asks for it."""
        if self._lingering is not None:
            self._discarded += len(data)
            return
        super().data_received(data)
        holding, guard = self._holding, self._guard
        if holding is None or guard is None:
            return
        self._received += len(data)
        guard.account.note_progress(holding, len(data))
        # Bytes may arrive before the connection's task has created it.
        stage = None if self.http is None else self.http.stage
        holding.rank = 0 if stage in (None, Stage.IDLE, Stage.REQUEST) else 2
        guard.update(holding, self._received + CONNECTION_BYTES)
        if self.transport is not None and guard.holds_back(holding):
            self._may_read.clear()
            self.transport.pause_reading()

    async def receive_more(self) -> None:
        """Wait for more bytes, first for the account to permit reading."""
        await self._may_read.wait()
        await super().receive_more()

    async def send(self, data: bytes) -> None:
        """Send a response; the request is not held any more, but bytes behind it."""
        await super().send(data)
        self._responded = True
        if self._holding is not None and self._guard is not None:
            self._received = left = len(self.recv_buffer)
            self._holding.rank = 1
            self._guard.update(self._holding, left + CONNECTION_BYTES if left else 0)

    def close(self, timeout: float | None = None) -> None:
        """Close the connection; behind a response, wait until it was received."""
        # Without `http`, the task of the connection has ended.
        is_last = self._responded and self.http is None and self._lingering is None
        if is_last and self.transport is not None and not self.transport.is_closing():
            self._lingering = self.loop.create_task(self._linger(self.transport))
        else:
            super().close(timeout)

    async def _linger(self, transport: asyncio.Transport) -> None:
        self._free_received()
        transport.resume_reading()
        bounds = LingeringClose(STALL_LIMIT_S)
        await shut_down(transport, bounds, lambda: self._discarded)
        super().close()

    def _free_received(self) -> None:
        self.recv_buffer.clear()
        self._received = 0
        if self._holding is not None and self._guard is not None:
            self._holding.rank = 1
            self._guard.update(self._holding, 0)

    def resume_held_back(self) -> None:
        """Read again after the account was full."""
        self._may_read.set()

    def parse_next(self) -> None:
        """Do nothing: Sanic parses in the task of the connection."""

    def narrow_window(self) -> None:
        """Do nothing: all windows of this API are narrow."""

    def close_for_limit(self) -> None:
        """Close the connection; its response, if any, lacks its end."""
        self._holding = None
        self._may_read.set()
        self._received = 0
        if self.transport is not None:
            self.transport.abort()
