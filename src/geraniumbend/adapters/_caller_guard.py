"""Applies the decisions of the caller account to connections."""

from __future__ import annotations

import asyncio
import resource
import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, Protocol

from geraniumbend.adapters._sockets import set_receive_buffer
from geraniumbend.caller_limits import (
    CallerAccount,
    ReceiveWindows,
    choose_limits,
    choose_windows,
)
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    import socket

    from geraniumbend.caller_limits import AccountLimits, Closing, Holding, WindowSizes
    from geraniumbend.metrics import MetricSet
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

TICK_S = 0.25
# Time for which slices are parsed in each round of the event loop, in seconds. One
# slice of the smallest chunks takes as long.
TURNS_S = 0.002
# Ticks between two log events about closed connections.
EVENT_TICKS = 4

declare_event(
    204,
    "callers_closed",
    "warning",
    "Connections of callers were closed because the process held too much for them; "
    "source and held are those of the largest.",
)


class GuardedConnection(Protocol):
    """Connection that the guard may stop reading, resume and close."""

    def resume_held_back(self) -> None:
        """Read again."""
        ...

    def parse_next(self) -> None:
        """Parse the next received bytes."""
        ...

    def narrow_window(self) -> None:
        """Receive no more at once than a narrow window, unless bytes wait unread."""
        ...

    def close_for_limit(self) -> None:
        """Close the connection without a response that could look whole."""
        ...


class CallerGuard:
    """Account of all listeners of a process, and the connections it decides about.

    Parameters
    ----------
    held_bytes : int
        Bytes that may be held for unfinished work.
    descriptor_limit : int, default=0
        Descriptors that the settings permit; 0 leaves the limit of the process.
    """

    def __init__(self, held_bytes: int, descriptor_limit: int = 0) -> None:
        self._held_bytes = held_bytes
        self._descriptor_limit = descriptor_limit
        self.account = CallerAccount(self._choose_limits())
        self._windows = ReceiveWindows(self._choose_windows())
        self._listeners: list[socket.socket] = []
        self._connections: dict[Holding, GuardedConnection] = {}
        self._held_back: dict[Holding, None] = {}
        self._turns: deque[GuardedConnection] = deque()
        self._closed: Counter[str] = Counter()
        self._unreported: list[Closing] = []
        self._ticks = 0
        self._ticking: Subscription | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> CallerGuard:
        """Build the guard from the settings of the process."""
        return cls(settings.node.held_limit_bytes, settings.node.descriptor_limit)

    @property
    def window_sizes(self) -> WindowSizes:
        """Return the sizes of the receive buffers of connections."""
        return self._windows.sizes

    @property
    def held_limit_bytes(self) -> int:
        """Return the bytes that may be held for unfinished work."""
        return self._held_bytes

    def start(self, timers: TimerService) -> None:
        """Check periodically."""
        self._ticking = timers.every(TICK_S, self.tick)

    def stop(self) -> None:
        """End the periodic checks."""
        if self._ticking is not None:
            self._ticking.cancel()

    def add_listener(self, listener: socket.socket) -> None:
        """Give the connections that a socket accepts from now on a narrow window.

        They inherit its receive buffer. What the window excludes waits at the caller.
        """
        self._listeners.append(listener)
        set_receive_buffer(listener, self.window_sizes.narrow_bytes)

    def widen(self, holding: Holding) -> bool:
        """Return whether a connection with a long body may have a wide window."""
        return not self.account.is_full and self._windows.widen(holding)

    def open_window(self, holding: Holding) -> int:
        """Return the receive buffer of a new connection, in bytes."""
        sizes = self.window_sizes
        is_ordinary = self._windows.open(holding)
        return sizes.ordinary_bytes if is_ordinary else sizes.narrow_bytes

    def narrow(self, holding: Holding) -> None:
        """Note that the window of a connection is not wide any more."""
        self._windows.narrow(holding)

    def open(
        self, connection: GuardedConnection, source: str, listener: str
    ) -> Holding:
        """Return the holding of a new connection; may close another one."""
        holding = self.account.open(source, listener)
        self._connections[holding] = connection
        self._apply()
        return holding

    def reopen(
        self, connection: GuardedConnection, source: str, listener: str
    ) -> Holding:
        """Return a new holding of a connection that gave up its request."""
        holding = self.account.open(source, listener)
        self._connections[holding] = connection
        return holding

    def close(self, holding: Holding) -> None:
        """Forget a connection."""
        self._connections.pop(holding, None)
        self._held_back.pop(holding, None)
        self._windows.close(holding)
        self.account.close(holding)
        self._release()

    def update(self, holding: Holding, held: int) -> None:
        """Set what a connection holds; may close connections."""
        self.account.update(holding, held)
        if self.account.total > self._held_bytes:
            self._apply()
        elif self._held_back:
            self._release()

    def holds_back(self, holding: Holding) -> bool:
        """Return whether to stop reading; `resume_held_back` is called later."""
        if self.account.may_read(holding):
            return False
        self._held_back[holding] = None
        return True

    def add_turn(self, connection: GuardedConnection) -> None:
        """Let a connection parse its next bytes after those that wait already.

        Connections parse for `TURNS_S` in each round of the event loop, so that many
        bodies in small chunks do not delay other callers.
        """
        self._turns.append(connection)
        if len(self._turns) == 1:
            asyncio.get_running_loop().call_soon(self._run_turns)

    def tick(self) -> None:
        """Note that a period has passed, and close and report what is due."""
        self._ticks += 1
        self._renew_limits()
        self.account.tick()
        for holding in self._windows.choose_narrowings():
            self._connections[holding].narrow_window()
        self._apply()
        self._release()
        if self._unreported and self._ticks % EVENT_TICKS == 0:
            self._report()

    def read_closed(self) -> dict[tuple[str, ...], float]:
        """Return the number of closed connections by reason, for metrics."""
        return {(reason,): float(count) for reason, count in self._closed.items()}

    def declare_metrics(self, metrics: MetricSet) -> None:
        """Declare the counter of closed connections and the gauge of held bytes."""
        metrics.declare_gauge(
            "callers_closed_total",
            "Connections of callers closed because of limits, by reason.",
            self.read_closed,
            ("reason",),
        )
        metrics.declare_gauge(
            "callers_held_bytes",
            "Bytes held for unfinished work of callers.",
            lambda: {(): float(self.account.total)},
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the account, for operators."""
        return {
            "held_bytes": self.account.total,
            "limits": self.account.limits._asdict(),
            "connections": len(self.account),
            "full": self.account.is_full,
            "not_read": len(self._held_back),
            "windows": {**self.window_sizes._asdict(), "wide": len(self._windows)},
            "closed": dict(self._closed),
        }

    def _run_turns(self) -> None:
        end_s = time.monotonic() + TURNS_S
        try:
            # Connections that ask for a further turn get it in a later round.
            for _ in range(len(self._turns)):
                self._run_turn()
                if time.monotonic() >= end_s:
                    break
        finally:
            if self._turns:
                asyncio.get_running_loop().call_soon(self._run_turns)

    def _run_turn(self) -> None:
        try:
            self._turns[0].parse_next()
        finally:
            self._turns.popleft()

    def _apply(self) -> None:
        for closing in self.account.choose_closings():
            self._closed[closing.reason] += 1
            self._unreported.append(closing)
            self._held_back.pop(closing.holding, None)
            self._windows.close(closing.holding)
            connection = self._connections.pop(closing.holding, None)
            if connection is not None:
                connection.close_for_limit()
        self._release()

    def _release(self) -> None:
        for holding in list(self._held_back):
            if self.account.may_read(holding):
                self._held_back.pop(holding, None)
                connection = self._connections.get(holding)
                if connection is not None:
                    connection.resume_held_back()
            elif self.account.is_full:
                # One is read at a time.
                return

    def _report(self) -> None:
        largest = max(self._unreported, key=lambda closing: closing.holding.held)
        log_event(
            204,
            closed=dict(Counter(closing.reason for closing in self._unreported)),
            source=largest.holding.source,
            listener=largest.holding.listener,
            held=largest.holding.held,
            account=self.dump(),
        )
        self._unreported.clear()

    def _renew_limits(self) -> None:
        limits = self._choose_limits()
        if limits == self.account.limits:
            return
        self.account.limits = limits
        self._windows.sizes = self._choose_windows()
        for listener in self._listeners:
            if listener.fileno() >= 0:
                set_receive_buffer(listener, self.window_sizes.narrow_bytes)

    def _choose_windows(self) -> WindowSizes:
        return choose_windows(self._held_bytes, self.account.limits.connections)

    def _choose_limits(self) -> AccountLimits:
        # Read each time: the limit of a running process may be changed.
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        process_limit = None if soft == resource.RLIM_INFINITY else soft
        return choose_limits(self._held_bytes, self._descriptor_limit, process_limit)
