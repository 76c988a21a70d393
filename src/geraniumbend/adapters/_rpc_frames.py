"""Signed frames of RPC messages on a TCP connection."""

from __future__ import annotations

import os
import struct
from contextlib import contextmanager
from typing import TYPE_CHECKING

from geraniumbend._keys import TAG_BYTES
from geraniumbend.errors import ProtocolError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from geraniumbend.keys import KeyRing

MAGIC = b"GBR1"
NONCE_BYTES = 16
HELLO_BYTES = len(MAGIC) + NONCE_BYTES
MAX_FRAME_BYTES = 8 * 1024 * 1024
HEADER = struct.Struct("!IBQ")
CLIENT_TO_SERVER = b"C"
SERVER_TO_CLIENT = b"S"


class FrameAllowance:
    """Bytes of frames that peers without a verified signature may send together.

    Parameters
    ----------
    limit_bytes : int
        Most bytes at the same time.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0

    @contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Reserve bytes for the duration of the context.

        Parameters
        ----------
        size : int
            Length of a frame, in bytes.

        Raises
        ------
        ProtocolError
            If the peers together exceed the limit.
        """
        if self._reserved_bytes + size > self._limit_bytes:
            raise ProtocolError(
                f"peers without a verified signature exceed {self._limit_bytes} bytes",
                "look for hosts outside the cluster that reach the peer port",
            )
        self._reserved_bytes += size
        try:
            yield
        finally:
            self._reserved_bytes -= size


class FrameChannel:
    """Signed frames of RPC messages on one TCP connection.

    Both ends contribute a nonce to each signature, which also covers the frame's
    sequence number. A recorded frame can therefore be replayed neither on another
    connection nor a second time on its own.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    keys : KeyRing
        Cluster keys.
    is_client : bool
        Whether this end opened the connection.
    allowance : FrameAllowance or None, default=None
        Bounds the first frame, whose sender is not known yet; None sets no bound.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keys: KeyRing,
        is_client: bool,
        allowance: FrameAllowance | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._keys = keys
        self._send_direction = CLIENT_TO_SERVER if is_client else SERVER_TO_CLIENT
        self._receive_direction = SERVER_TO_CLIENT if is_client else CLIENT_TO_SERVER
        self._is_client = is_client
        self._allowance = allowance
        self._session = b""
        self._sent = 0
        self._received = 0

    async def open(self) -> None:
        """Exchange protocol version and nonces.

        Raises
        ------
        ProtocolError
            If the peer does not use protocol GBR1.
        """
        own = os.urandom(NONCE_BYTES)
        self._writer.write(MAGIC + own)
        hello = await self._reader.readexactly(HELLO_BYTES)
        if hello[: len(MAGIC)] != MAGIC:
            raise ProtocolError(
                "peer does not speak protocol GBR1",
                "check the address and the version of the peer",
            )
        other = hello[len(MAGIC) :]
        self._session = own + other if self._is_client else other + own

    def send(self, payload: bytes) -> None:
        """Write one frame to the send buffer; `drain` waits until there is space again.

        Parameters
        ----------
        payload : bytes
            Content, at most 8 MiB.

        Raises
        ------
        ProtocolError
            If the content is too long.
        ConnectionError
            If the connection is closed.
        """
        if self._writer.is_closing():
            # uvloop raises RuntimeError for a write to a closed transport.
            raise ConnectionResetError("connection is closed")
        if len(payload) > MAX_FRAME_BYTES:
            raise ProtocolError(
                f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}",
                "split the message",
            )
        header = HEADER.pack(len(payload), self._keys.active, self._sent)
        self._sent += 1
        tag = self._keys.sign(self._session, self._send_direction, header, payload)
        self._writer.write(b"".join((header, payload, tag)))

    async def drain(self) -> None:
        """Wait until the send buffer accepts more bytes."""
        await self._writer.drain()

    async def receive(self) -> bytes:
        """Return the content of the next frame.

        Returns
        -------
        bytes
            Content.

        Raises
        ------
        ProtocolError
            If the frame is too long or out of sequence.
        AuthenticationError
            If its tag is wrong.
        asyncio.IncompleteReadError
            If the connection ended.
        """
        header = await self._reader.readexactly(HEADER.size)
        length, key_number, sequence = HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(
                f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}",
                "check that the sender belongs to this cluster",
            )
        body = await self._read_body(length + TAG_BYTES)
        payload, tag = body[:length], body[length:]
        self._keys.verify(
            key_number, tag, self._session, self._receive_direction, header, payload
        )
        if sequence != self._received:
            raise ProtocolError(
                f"frame {sequence} arrived where {self._received} was expected",
                "close the connection and open a new one",
            )
        self._received += 1
        return payload

    async def _read_body(self, size: int) -> bytes:
        if self._received or self._allowance is None:
            return await self._reader.readexactly(size)
        with self._allowance.reserve(size):
            return await self._reader.readexactly(size)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
