"""Callers outside the limits: what each sends, and a crowd that stays connected."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# Time in which the callers of a crowd send what the process takes, in seconds.
SENDING_S = 4.0
# Small, so that what the process does not read waits in the callers.
SEND_BUFFER_BYTES = 32 * 1024
BODY_BYTES = 1024 * 1024
FIELDS = b"Host: h.example\r\nGeraniumbend-Deadline-Ms: 12000\r\n"


def write_head(method, path, *fields):
    lines = b"".join(field + b"\r\n" for field in fields)
    return b"%b %b HTTP/1.1\r\n%b%b\r\n" % (method, path, FIELDS, lines)


def send_whole_body(path):
    """Return a legal body in one piece that stops one byte before its end."""
    head = write_head(b"POST", path, b"Content-Length: %d" % BODY_BYTES)
    return [head, b"x" * (BODY_BYTES - 1)]


def send_small_pieces(path):
    """Return the same body in pieces of 1 kB."""
    head = write_head(b"POST", path, b"Content-Length: %d" % BODY_BYTES)
    return [head, *([b"x" * 1024] * 1023)]


def send_small_chunks(path):
    """Return a body in chunks of one byte, without its last chunk."""
    head = write_head(b"POST", path, b"Transfer-Encoding: chunked")
    return [head, b"1\r\nx\r\n" * 200_000]


def send_long_body(path):
    """Return the start of a body of 4 GB, far over the limit."""
    head = write_head(b"POST", path, b"Content-Length: 4000000000")
    return [head, *([b"x" * 65_536] * 32)]


def send_long_chunked_body(path):
    """Return a chunked body that goes on for longer than it is read."""
    head = write_head(b"POST", path, b"Transfer-Encoding: chunked")
    return [head, *([b"10000\r\n" + b"x" * 65_536 + b"\r\n"] * 32)]


def send_many_fields(path):
    """Return a head of 2,400 short fields that does not end."""
    return [b"GET %b HTTP/1.1\r\n%b" % (path, FIELDS), b"a: b\r\n" * 2_400]


def send_whole_heads(path):
    """Return ten requests with 2,400 short fields each, within the limit."""
    return [write_head(b"GET", path, *([b"a: b"] * 2_400))] * 10


def send_many_trailers(path):
    """Return bodies of one byte with 2,400 trailers each, within the limit."""
    head = write_head(b"POST", path, b"Transfer-Encoding: chunked")
    return [head + b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 2_400 + b"\r\n"] * 10


def send_pipelined(path):
    """Return 20,000 pipelined requests, whose responses are not read."""
    return [write_head(b"GET", path) * 1_000] * 20


def send_slowly(path):
    """Return a head of which one byte comes at a time."""
    head = b"GET %b HTTP/1.1\r\n%b" % (path, FIELDS)
    return [head[index : index + 1] for index in range(len(head))]


def send_nothing(path):
    """Return no bytes: the connection only stays open."""
    return []


def send_handshake(path):
    """Return the first bytes of a TLS handshake."""
    return [b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"r" * 32]


def send_peer_frame(path):
    """Return a peer's greeting and a frame of 8 MB that stops before its end."""
    hello = b"GBR1" + b"n" * 16
    return [hello, struct.pack("!IBQ", 8_000_000, 1, 0), *([b"x" * 65_536] * 16)]


def send_long_legal_body(path):
    """Return the start of a body of 6 MB, within the limit."""
    head = write_head(b"POST", path, b"Content-Length: 6000000")
    return [head, *([b"x" * 65_536] * 40)]


def send_many_small_chunks(path):
    """Return the start of a body in chunks of one byte, 1.2 MB on the wire."""
    head = write_head(b"POST", path, b"Transfer-Encoding: chunked")
    return [head, *([b"1\r\nx\r\n" * 10_000] * 20)]


def send_chunk_extension(path):
    """Return a chunked body whose first chunk has an extension without end."""
    head = write_head(b"POST", path, b"Transfer-Encoding: chunked")
    return [head, b"1;", *([b"a" * 65_536] * 20)]


def send_upgrade(path):
    """Return a request to change to WebSocket, and bytes of the new protocol."""
    head = write_head(
        b"GET", path, b"Connection: Upgrade", b"Upgrade: websocket", b"X: y"
    )
    return [head, *([b"\x82\x7e\xff\xff" + b"x" * 65_535] * 20)]


def send_http2(path):
    """Return the preface of HTTP/2 and frames."""
    preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    return [preface, *([b"\x00\x40\x00\x00\x00\x00\x00\x00\x01" + b"x" * 16_384] * 80)]


def send_pipelined_downloads(path):
    """Return 50 pipelined requests for a long response."""
    return [write_head(b"GET", path) * 50]


class Crowd:
    """Connections that send what a caller sends, read nothing and stay open."""

    def __init__(self):
        self._sockets = []

    async def send(self, address, pieces, pause_s=0.0, ends=False):
        """Connect, and send the pieces as far as the process takes them.

        With `ends`, the sending side is closed then.
        """
        loop = asyncio.get_running_loop()
        connected = socket.socket()
        self._sockets.append(connected)
        connected.setblocking(False)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SENDING_S):
                await loop.sock_connect(connected, address)
                for piece in pieces:
                    await loop.sock_sendall(connected, piece)
                    if pause_s:
                        await asyncio.sleep(pause_s)
                if ends:
                    connected.shutdown(socket.SHUT_WR)

    async def read(self, size, pause_s, duration_s):
        """Read up to `size` bytes of each connection, again after each pause."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            for connected in self._sockets:
                with contextlib.suppress(OSError):
                    connected.recv(size)
            await asyncio.sleep(pause_s)

    async def gather(self, targets, count, build, pause_s=0.0, ends=False):
        """Let `count` callers at each target send at the same time."""
        await asyncio.gather(
            *(
                self.send(address, build(path), pause_s, ends)
                for _ in range(count)
                for address, path in targets
            )
        )

    def leave(self):
        for connected in self._sockets:
            connected.close()
        self._sockets.clear()
