"""Client side of a connection to a backend server."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from geraniumbend.adapters._status_lines import (
    StatusLineError,
    check_status_line,
    classify_status,
    describe_status_error,
)

if TYPE_CHECKING:
    import asyncio

    from aiohttp.streams import StreamReader

READ_BUFFER_BYTES = 64 * 1024
MAX_RESPONSE_FIELD_BYTES = 32 * 1024
MAX_RESPONSE_FIELDS = 256
# Bytes that may arrive without a new message or a new byte of a body. The parser does
# not limit the line before a chunk, which a faulty server may send without end.
MAX_FRAMING_BYTES = 64 * 1024
MAX_INTERIM_RESPONSES = 16
# Characters of the parser's description of a defect, which quotes received bytes.
MAX_DEFECT_LENGTH = 200


class BackendProtocol(ResponseHandler):
    """Client side of one connection to a backend server.

    Adds seven checks to aiohttp's protocol:

    - Bytes that arrive while no request is open, or after its response is complete,
      close the connection; aiohttp would parse and keep them as the next response.
    - At most `MAX_INTERIM_RESPONSES` are kept, since a reader may be late.
    - A body that is delimited by the end of the connection counts as truncated if the
      connection was reset.
    - Framing that carries no body ends the response after `MAX_FRAMING_BYTES`.
    - A status line that is that of no response fails like a dropped connection.
    - A response with another transfer coding than chunked fails.
    - A wait for a response's head can time out while the request stays open.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Running loop.

    Attributes
    ----------
    busy : bool
        Whether a request is open.
    received : int
        Bytes received since the last request was opened.
    uses : int
        Number of requests opened on this connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.busy = False
        self.received = 0
        self.uses = 0
        self._messages = 0
        self._interim_responses = 0
        self._response_body: StreamReader | None = None
        self._framing_bytes = 0
        self._watcher: asyncio.Future[None] | None = None
        self._interruptible = False
        self._poll: select.poll | None = None

    def open_request(self, method: str) -> None:
        """Prepare the parser for the response to a request."""
        self.busy = True
        self.received = 0
        self.uses += 1
        self._interim_responses = 0
        self._response_body = None
        self._framing_bytes = 0
        self.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_RESPONSE_FIELD_BYTES,
            max_field_size=MAX_RESPONSE_FIELD_BYTES,
            max_headers=MAX_RESPONSE_FIELDS,
        )

    def is_usable(self) -> bool:
        """Return whether an idle connection can carry another request.

        A connection whose socket holds unread bytes or an end of stream is unusable,
        since these belong to no request.
        """
        if self.should_close or not self.is_connected():
            return False
        if self._poll is None:
            assert self.transport is not None
            socket = self.transport.get_extra_info("socket")
            self._poll = select.poll()
            self._poll.register(socket.fileno(), select.POLLIN)
        return not self._poll.poll(0)

    async def wait_message(self, delay_s: float, interruptible: bool = False) -> bool:
        """Wait until a message is queued or the connection has failed.

        Parameters
        ----------
        delay_s : float
            Maximum wait in seconds.
        interruptible : bool, default=False
            Whether `interrupt_wait` may end the wait early.

        Returns
        -------
        bool
            False if neither happened in time; the request stays open.
        """
        if self._buffer or self._exception is not None or self._eof:
            return True
        if delay_s <= 0:
            return False
        watcher: asyncio.Future[None] = self._loop.create_future()
        self._watcher = watcher
        self._interruptible = interruptible
        timer = self._loop.call_later(delay_s, _resolve, watcher)
        try:
            await watcher
        finally:
            timer.cancel()
            self._watcher = None
        return bool(self._buffer or self._exception is not None or self._eof)

    def interrupt_wait(self) -> None:
        """End an interruptible `wait_message` early."""
        if self._interruptible:
            _resolve(self._watcher)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; without an open request, close the connection."""
        if data:
            if not self.busy or self._is_response_complete():
                self._abort()
                return
            self.received += len(data)
        progress = self._measure_progress()
        super().data_received(data)
        self._limit_framing(len(data), self._measure_progress() != progress)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a message and end the wait for it; refuse one that nothing awaits."""
        message, body = data
        if self._response_body is not None:
            self._abort()
            return
        meaning = classify_status(message.code)
        if meaning == "none":
            self._fail(StatusLineError(f"{message.code:03d} is no status"))
            return
        try:
            check_status_line(message.version, message.reason or "")
        except StatusLineError as error:
            self._fail(error)
            return
        if meaning == "final":
            codings = message.headers.getall("Transfer-Encoding", ())
            if codings and (len(codings) > 1 or codings[0].lower() != "chunked"):
                # Nothing undoes them, and the field ends at this gateway.
                self._fail(HttpProcessingError(message="unknown transfer coding"))
                return
            self._response_body = body
        else:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail(HttpProcessingError(message="too many interim responses"))
                return
        self._messages += 1
        super().feed_data(data, size)
        _resolve(self._watcher)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Record the error that ends the stream of messages and end the wait."""
        if cause and (error := describe_status_error(cause[0])) is not None:
            exc = error
        super().set_exception(exc, *cause)
        _resolve(self._watcher)

    def _measure_progress(self) -> tuple[int, int, bool]:
        payload = self._payload
        if payload is None:
            return self._messages, 0, False
        return self._messages, payload.total_bytes, payload.is_eof()

    def _limit_framing(self, size: int, has_progressed: bool) -> None:
        self._framing_bytes = 0 if has_progressed else self._framing_bytes + size
        if self._framing_bytes <= MAX_FRAMING_BYTES or self._exception is not None:
            return
        error = HttpProcessingError(message="framing without end")
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self._fail(error)

    def _is_response_complete(self) -> bool:
        return self._response_body is not None and self._response_body.is_eof()

    def _fail(self, error: HttpProcessingError | StatusLineError) -> None:
        """Close the connection; its reader gets the error after what is queued."""
        if self._exception is None:
            self.set_exception(error)
        self._abort()

    def _abort(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished body if the connection was reset."""
        if exc is not None and self._payload is not None:
            payload = self._payload
            if not payload.is_eof() and payload.exception() is None:
                payload.set_exception(ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)
        # Without this, the unread bytes of a response wait for the garbage collector.
        self._response_body = None


def describe_defect(error: Exception) -> str:
    """Return the first line of an error's message, shortened."""
    lines = str(getattr(error, "message", error)).splitlines() or [""]
    return lines[0][:MAX_DEFECT_LENGTH]


def _resolve(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)
