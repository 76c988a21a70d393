"""Opens the sockets on which a process listens; waits for ports that are taken."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from geraniumbend._wait_reports import WaitReports
from geraniumbend.errors import (
    AddressMissingError,
    ListenError,
    PortDeniedError,
    PortTakenError,
)
from geraniumbend.exits import EXHAUSTED_ERRORS
from geraniumbend.logs import declare_event, log_event
from geraniumbend.timers import LoopTimers

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.timers import TimerService

# Longest wait for a port in seconds. The kernel keeps the port of a closed connection
# for 60 s.
PORT_WAIT_S = 75.0
# Pause between two attempts, in seconds.
RETRY_PERIOD_S = 0.1
BACKLOG = 128

declare_event(
    140,
    "port_not_open",
    "warning",
    "An address cannot be listened on yet; it is tried again. remedy tells what helps.",
)
declare_event(141, "port_open", "info", "An address that was missed is listened on.")


async def open_listener(
    host: str,
    port: int,
    backlog: int = BACKLOG,
    limit_s: float = PORT_WAIT_S,
    timers: TimerService | None = None,
) -> socket.socket:
    """Return a listening TCP socket; wait while its port is taken.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    backlog : int, default=128
        Connections that the kernel completes before they are accepted.
    limit_s : float, default=75.0
        Longest wait in seconds.
    timers : TimerService or None, default=None
        Clock; that of the event loop if None.

    Raises
    ------
    PortTakenError
        If another process or connection still uses the port after the wait.
    AddressMissingError
        If this host still lacks the address after the wait.
    PortDeniedError
        If the system denies the port to this process.
    ListenError
        If the address cannot be listened on for another reason.
    """
    return await _open(
        lambda: create_listener(host, port, backlog),
        f"tcp {host}:{port}",
        limit_s,
        timers or LoopTimers(),
    )


async def open_datagram_socket(
    host: str,
    port: int,
    limit_s: float = PORT_WAIT_S,
    timers: TimerService | None = None,
) -> socket.socket:
    """Return a bound UDP socket; wait while its port is taken.

    Parameters
    ----------
    host : str
        IP address to bind.
    port : int
        UDP port; 0 selects a free one.
    limit_s : float, default=75.0
        Longest wait in seconds.
    timers : TimerService or None, default=None
        Clock; that of the event loop if None.

    Raises
    ------
    ListenError
        As `open_listener` does.
    """
    return await _open(
        lambda: _create_socket(host, port, socket.SOCK_DGRAM),
        f"udp {host}:{port}",
        limit_s,
        timers or LoopTimers(),
    )


async def _open(
    create: Callable[[], socket.socket],
    address: str,
    limit_s: float,
    timers: TimerService,
) -> socket.socket:
    started_at = timers.now()
    reports = WaitReports(started_at, first_s=0.0)
    has_failed = False
    while True:
        try:
            opened = create()
        except OSError as error:
            failure = _describe_failure(error, address)
            waited_s = timers.now() - started_at
            if not _may_pass(failure) or waited_s >= limit_s:
                raise failure from error
            if reports.is_due(timers.now()):
                _report_failure(failure, address, waited_s, limit_s)
            has_failed = True
            await timers.sleep(RETRY_PERIOD_S)
            continue
        if has_failed:
            waited_s = timers.now() - started_at
            log_event(141, address=address, waited_s=round(waited_s, 3))
        return opened


def create_listener(host: str, port: int, backlog: int) -> socket.socket:
    """Return a listening TCP socket; see `open_listener`.

    Raises
    ------
    OSError
        If the address cannot be listened on now.
    """
    listener = _create_socket(host, port, socket.SOCK_STREAM)
    try:
        # Two sockets that reuse an address may be bound to one port; only one of them
        # may listen.
        listener.listen(backlog)
    except BaseException:
        listener.close()
        raise
    return listener


def _create_socket(host: str, port: int, kind: socket.SocketKind) -> socket.socket:
    flags = socket.AI_PASSIVE
    found = socket.getaddrinfo(host or None, port, type=kind, flags=flags)
    family, _, protocol, _, address = found[0]
    created = socket.socket(family, kind, protocol)
    try:
        if kind == socket.SOCK_STREAM:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            created.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        created.setblocking(False)
        created.bind(address)
    except BaseException:
        created.close()
        raise
    return created


def _describe_failure(error: OSError, address: str) -> ListenError:
    protocol, _, host_and_port = address.partition(" ")
    host, _, port = host_and_port.rpartition(":")
    if error.errno == errno.EADDRINUSE:
        option = "-lanp" if protocol == "tcp" else "-uanp"
        return PortTakenError(
            f"another process or connection uses {address}",
            f"find it with: ss {option} 'sport = :{port}', and end it, or set another "
            "port",
        )
    if error.errno == errno.EADDRNOTAVAIL:
        return AddressMissingError(
            f"this host has no address {host} for {address}",
            "add the address to the host, or correct the setting",
        )
    if error.errno in (errno.EACCES, errno.EPERM):
        return PortDeniedError(
            f"the system denies {address} to this process",
            "use a port above 1023, or allow it by CAP_NET_BIND_SERVICE",
        )
    is_exhausted = error.errno in EXHAUSTED_ERRORS
    return ListenError(
        f"{address} cannot be listened on: {error}",
        "raise the limits that event 906 names"
        if is_exhausted
        else "correct the address",
    )


def _may_pass(failure: ListenError) -> bool:
    """Return whether waiting may help."""
    return isinstance(failure, PortTakenError | AddressMissingError)


def _report_failure(
    failure: ListenError, address: str, waited_s: float, limit_s: float
) -> None:
    left_s = None if limit_s == float("inf") else round(limit_s - waited_s, 3)
    log_event(
        140,
        address=address,
        error=failure.message,
        remedy=failure.remedy,
        waited_s=round(waited_s, 3),
        gives_up_in_s=left_s,
    )
