"""Options of TCP sockets."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

# Time after which the kernel closes a connection whose peer acknowledges nothing, in
# seconds. TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their
# count, so the probes are set to end at the same time.
SILENCE_LIMIT_S = 5
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
COUNT = struct.Struct("i")


def limit_silence(connected: socket.socket) -> None:
    """Let the kernel close a TCP connection whose peer has fallen silent.

    Parameters
    ----------
    connected : socket.socket
        TCP socket. If a middlebox acknowledges bytes and probes, the silence shows only
        in the protocol above.
    """
    set_tcp = {
        socket.TCP_USER_TIMEOUT: SILENCE_LIMIT_S * 1000,
        socket.TCP_KEEPIDLE: KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: KEEPALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES,
    }
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in set_tcp.items():
        connected.setsockopt(socket.IPPROTO_TCP, option, value)


def set_receive_buffer(connected: socket.socket, size: int) -> None:
    """Set the receive buffer of a socket, in bytes; the kernel doubles it."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def count_unread(descriptor: int) -> int | None:
    """Return the bytes that have arrived at a socket unread, None if not known."""
    return _read_count(descriptor, termios.FIONREAD)


def count_unacknowledged(descriptor: int) -> int | None:
    """Return the written bytes that the peer has not acknowledged, None if not known.

    The end of the stream counts as one byte.
    """
    return _read_count(descriptor, termios.TIOCOUTQ)


def _read_count(descriptor: int, request: int) -> int | None:
    try:
        count = fcntl.ioctl(descriptor, request, bytes(COUNT.size))
    except OSError:
        return None
    return int(COUNT.unpack(count)[0])
