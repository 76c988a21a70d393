"""One request and its response on a connection to a backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.http import StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, EofStream

from geraniumbend.adapters._backend_protocol import (
    MAX_INTERIM_RESPONSES,
    describe_defect,
)
from geraniumbend.adapters._generation import get_protocol
from geraniumbend.adapters._status_lines import classify_status
from geraniumbend.errors import GeraniumbendError
from geraniumbend.proxying import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from aiohttp.connector import Connection
    from aiohttp.streams import StreamReader

    from geraniumbend.adapters._generation import Generation
    from geraniumbend.proxying import UpstreamRequest


class Exchange:
    """One request and its answer on one connection to a backend server.

    Parameters
    ----------
    generation : Generation
        Generation that the connection belongs to.
    connection : aiohttp.connector.Connection
        Connection that this exchange uses exclusively.
    reused : bool
        Whether the connection has carried a request before.
    on_close : callable
        Called once, with the exchange and whether the connection is reusable.
    """

    def __init__(
        self,
        generation: Generation,
        connection: Connection,
        reused: bool,
        on_close: Callable[[Exchange, bool], None],
    ) -> None:
        self.generation = generation
        self.connection = connection
        self.reused = reused
        self.protocol = get_protocol(connection)
        self.status = 0
        self.reason = ""
        self.headers: Mapping[str, str] = {}
        self.raw_headers: Sequence[tuple[bytes, bytes]] = ()
        self.request_sent = False
        self.purpose = ""
        self.sent_bytes = 0
        # Time between the last response and this request on the connection, in seconds.
        self.idle_s = 0.0
        self._on_close: Callable[[Exchange, bool], None] | None = on_close
        self._payload: StreamReader | None = EMPTY_PAYLOAD
        self._upload: asyncio.Task[None] | None = None
        self._upload_error: GeraniumbendError | None = None

    def transmit(self, request: UpstreamRequest) -> None:
        """Send the request; a streamed body is sent by a separate task.

        Parameters
        ----------
        request : UpstreamRequest
            Request.

        Raises
        ------
        UpstreamError
            If the connection closed before any byte was written.
        """
        transport = self.connection.transport
        if transport is None or transport.is_closing():
            raise UpstreamError("connection closed before use", "not_run")
        self.protocol.open_request(request.method)
        self.purpose = request.purpose
        self.sent_bytes = len(request.head) + len(request.body)
        if request.source is None:
            transport.write(request.head + request.body)
            self.request_sent = True
            return
        transport.write(request.head)
        self._upload = asyncio.ensure_future(self._send_body(request))

    async def read_head(self, deadline_delay_s: float) -> None:
        """Read the head of the final response; interim responses are skipped.

        Parameters
        ----------
        deadline_delay_s : float
            Maximum wait for each message, in seconds.

        Raises
        ------
        UpstreamError
            If the response is malformed.
        ConnectionError
            If the connection ended, or a status line is that of no response.
        GeraniumbendError
            Error that the source of the request body raised.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            if not await self.protocol.wait_message(deadline_delay_s):
                raise UpstreamError("no response in time", "unknown", timed_out=True)
            if self._upload_error is not None:
                raise self._upload_error
            try:
                message, payload = await self.protocol.read()
            except HttpProcessingError as error:
                raise UpstreamError(
                    f"response is malformed: {describe_defect(error)}", "unknown"
                ) from error
            except (aiohttp.ClientError, OSError, EofStream) as error:
                raise ConnectionError(str(error)) from error
            meaning = classify_status(message.code)
            if meaning == "switch":
                raise UpstreamError("response switches protocols", "unknown")
            if meaning == "final":
                self.status = message.code
                self.reason = message.reason or ""
                self.headers = message.headers
                self.raw_headers = message.raw_headers
                self._payload = payload
                return
        raise UpstreamError("too many interim responses", "unknown")

    def read_ready(self) -> tuple[bytes, bool]:
        """Return the received bytes without waiting, and whether they end the body.

        Raises
        ------
        UpstreamError
            If the body ended early or is malformed.
        """
        payload = self._require_payload()
        try:
            data = payload.read_nowait()
            # Reading resumes a paused parser, which may add the last bytes and the end.
            return data, payload.at_eof()
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            raise UpstreamError(
                f"response is truncated: {describe_defect(error)}", "unknown"
            ) from error

    async def read(self) -> bytes:
        """Return the next bytes of the body; empty at its complete end.

        Returns
        -------
        bytes
            Bytes without the chunked coding; the content coding is unchanged.

        Raises
        ------
        UpstreamError
            If the body ended early or is malformed.
        """
        payload = self._require_payload()
        try:
            return await payload.readany()
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            raise UpstreamError(
                f"response is truncated: {describe_defect(error)}", "unknown"
            ) from error

    def close(self) -> None:
        """Return the connection to the pool; close it unless the body was read."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        if self._upload is not None and not self._upload.done():
            self._upload.cancel()
        # Unread bytes must not live as long as the objects that refer to the exchange.
        payload, self._payload = self._payload, None
        is_read = payload is not None and payload.is_eof()
        complete = self.status >= 200 and self.request_sent and is_read
        reusable = complete and not self.protocol.should_close
        if not reusable and (transport := self.connection.transport) is not None:
            transport.abort()
        on_close(self, reusable)

    def discard(self) -> None:
        """Close the connection, whose further bytes cannot be trusted."""
        if (transport := self.connection.transport) is not None:
            transport.abort()
        self.protocol.force_close()
        self.close()

    def _require_payload(self) -> StreamReader:
        if self._payload is None:
            raise UpstreamError("the response was closed before its end", "unknown")
        return self._payload

    async def _send_body(self, request: UpstreamRequest) -> None:
        source = request.source
        assert source is not None
        writer = StreamWriter(self.protocol, asyncio.get_running_loop())
        if request.chunked:
            writer.enable_chunking()
            writer.send_headers()
        try:
            while data := await source.read_body():
                self.sent_bytes += len(data)
                await writer.write(data)
            await writer.write_eof()
            self.request_sent = True
        except GeraniumbendError as error:
            self._upload_error = error
            self.protocol.set_exception(error)
        except (OSError, aiohttp.ClientError):
            # The backend server closed the connection. The protocol has already queued
            # either the head of an early response or the connection error.
            pass
