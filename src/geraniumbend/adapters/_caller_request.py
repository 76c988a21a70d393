"""Request of a caller on an HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.http import HttpVersion10, HttpVersion11
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestPayloadError

from geraniumbend.errors import RefusedError
from geraniumbend.proxying import (
    FORWARD_REFUSED,
    RETRIED_ELSEWHERE,
    CallerLostError,
    describe_refusal,
    describe_status,
    list_refusal_lines,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from geraniumbend.adapters._caller_protocol import CallerProtocol

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS_STATUSES = (204, 304)


class HttpCallerRequest:
    """A caller's request and the methods that write its response.

    Parameters
    ----------
    protocol : CallerProtocol
        Connection of the caller.
    message : aiohttp.http.RawRequestMessage
        Parsed request line and header fields.
    payload : aiohttp.StreamReader
        Body.
    """

    __slots__ = (
        "_body_bytes",
        "_chunked",
        "_continue_due",
        "_head",
        "_message",
        "_payload",
        "_protocol",
        "_remaining",
        "body_length",
        "connection",
        "has_body",
        "headers",
        "is_forwarded",
        "is_sent",
        "is_streamed",
        "keep_alive",
        "method",
        "path",
        "raw_headers",
        "remote",
        "request_id",
        "response_started",
        "scheme",
        "target",
        "turn",
    )

    def __init__(self, protocol: CallerProtocol, message: Any, payload: Any) -> None:
        self._protocol = protocol
        self._message = message
        self._payload = payload
        self._head = b""
        self._chunked = False
        self._body_bytes = 0
        self._remaining: int | None = None
        self.method: str = message.method
        self.target: str = message.path
        self.path: str = self.target.partition("?")[0]
        self.headers: Mapping[str, str] = message.headers
        self.raw_headers: Sequence[tuple[bytes, bytes]] = message.raw_headers
        self.request_id = ""
        self.response_started = False
        # Whether another gateway forwards the request.
        self.is_forwarded = False
        # Whether the body is passed on as it is read, and whether the request may have
        # left this gateway.
        self.is_streamed = False
        self.is_sent = False
        self.connection = protocol.number
        # Only for pipelined requests: done when the earlier responses are written.
        self.turn: asyncio.Future[None] | None = None
        peer = protocol.peername
        self.remote: str = peer[0] if isinstance(peer, tuple) else ""
        self.scheme = "http" if protocol.ssl_context is None else "https"
        length = message.headers.get("Content-Length")
        self.body_length: int | None = None
        if not message.chunked:
            self.body_length = int(length) if length and length.isdecimal() else 0
        self.has_body = message.chunked or bool(self.body_length)
        expects = self.has_body and "Expect" in message.headers
        # Callers of HTTP/1.0 know no interim responses.
        self._continue_due = expects and message.version == HttpVersion11
        self.keep_alive: bool = not (message.should_close or message.upgrade)

    def check(self) -> None:
        """Refuse requests that the parser accepts but a gateway must not forward.

        Raises
        ------
        RefusedError
            Status 400, 413, 417, 431, 501 or 505; the request was not run.
        """
        message = self._message
        size = 0
        for name, value in self.raw_headers:
            size += len(name) + len(value) + 4
        if size > self._protocol.server.limits.header_limit_bytes:
            raise _refuse(431, "header fields exceed the limit")
        body_limit = self._protocol.server.limits.body_limit_bytes
        if body_limit and (self.body_length or 0) > body_limit:
            raise _refuse(413, "the body exceeds the limit")
        if message.version not in (HttpVersion10, HttpVersion11):
            raise _refuse(505, "HTTP version is not supported")
        if message.version == HttpVersion10 and "Transfer-Encoding" in self.headers:
            raise _refuse(400, "HTTP/1.0 has no Transfer-Encoding")
        if message.chunked and "Content-Length" in self.headers:
            raise _refuse(400, "Content-Length together with Transfer-Encoding")
        coding = self.headers.get("Transfer-Encoding", "chunked")
        if coding.lower() != "chunked":
            # Undone by nobody: the field ends at this gateway.
            raise _refuse(501, "the only supported transfer coding is chunked")
        hosts = message.headers.getall("Host", ())
        if len(hosts) > 1 or (not hosts and message.version == HttpVersion11):
            raise _refuse(400, "exactly one Host field is required")
        expect = self.headers.get("Expect")
        if expect is not None and expect.lower() != "100-continue":
            raise _refuse(417, "the only supported expectation is 100-continue")
        self._check_target()

    def may_be_last(self) -> bool:
        """Return whether the response may end the connection, whoever handles it.

        A response without a length ends a connection of HTTP/1.0.
        """
        return not self.keep_alive or bool(self._message.version == HttpVersion10)

    async def read_body(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Returns
        -------
        bytes
            Bytes without the chunked coding, otherwise as sent.

        Raises
        ------
        RefusedError
            If the body is malformed (400), makes no progress (408) or exceeds the
            limit (413).
        CallerLostError
            If the caller closed the connection.
        """
        data = await self._read_part()
        size = len(data)
        self._body_bytes += size
        if self.is_streamed:
            self._protocol.note_streamed(size)
        else:
            self._protocol.note_taken(size)
        body_limit = self._protocol.server.limits.body_limit_bytes
        if body_limit and self._body_bytes > body_limit:
            raise _refuse(413, "the body exceeds the limit")
        return data

    async def _read_part(self) -> bytes:
        payload = self._payload
        try:
            if data := payload.read_nowait():
                return bytes(data)
            if payload.is_eof():
                return b""
            if not self._protocol.connected:
                raise CallerLostError("caller's connection was closed")
            if self._continue_due:
                self._continue_due = False
                self._write(CONTINUE)
            async with asyncio.timeout(
                self._protocol.server.limits.body_idle_timeout_s
            ):
                return bytes(await payload.readany())
        except TimeoutError as error:
            raise _refuse(408, "the body made no progress") from error
        except (RequestPayloadError, HttpProcessingError) as error:
            raise _refuse(400, f"the body is malformed: {error}") from error
        except (ConnectionError, aiohttp.ClientError) as error:
            raise CallerLostError("caller closed the connection") from error

    async def wait_turn(self) -> None:
        """Wait until the earlier responses of the connection are written."""
        if self.turn is not None:
            await self.turn

    def is_behind(self) -> bool:
        """Return whether earlier responses of the connection are not written yet."""
        return self.turn is not None and not self.turn.done()

    async def _wait_turn_of_response(self) -> None:
        if not self.is_behind():
            return
        assert self.turn is not None
        self._protocol.add_waiting_responses(1)
        try:
            await self.turn
        finally:
            self._protocol.add_waiting_responses(-1)

    async def start_response(
        self, status: int, reason: str, lines: Iterable[bytes], length: int | None
    ) -> None:
        """Prepare the head of the response; it is sent with the first body bytes.

        Parameters
        ----------
        status : int
            Status code.
        reason : str
            Reason phrase.
        lines : iterable of bytes
            Header lines with CRLF, without Content-Length, Transfer-Encoding and
            Connection.
        length : int or None
            Length of the body in bytes, None if unknown.
        """
        await self._wait_turn_of_response()
        bodiless = self.method == "HEAD" or status in BODILESS_STATUSES
        framing = b""
        if length is not None:
            if status != 204:
                framing = b"Content-Length: %d\r\n" % length
        elif not bodiless:
            if self._message.version == HttpVersion11:
                self._chunked = True
                framing = b"Transfer-Encoding: chunked\r\n"
            else:
                self.keep_alive = False
                self._protocol.ends_by_close = True
        self._remaining = 0 if bodiless else length
        self._end_connection_if_due()
        if not self.keep_alive:
            framing += b"Connection: close\r\n"
        elif self._message.version == HttpVersion10:
            framing += b"Connection: keep-alive\r\n"
        phrase = reason.encode("latin-1", "replace")
        start = b"HTTP/1.1 %d %b\r\n" % (status, phrase)
        self._head = b"".join((start, *lines, framing, b"\r\n"))
        self.response_started = True

    async def write(self, data: bytes) -> None:
        """Write bytes of the body, after the head if it was not sent yet.

        Raises
        ------
        CallerLostError
            If the caller closed the connection or reads too slowly.
        """
        self._write(self._frame(data))
        # Not kept while a slow caller reads what was written before.
        del data
        protocol = self._protocol
        if protocol.writing_paused:
            try:
                async with asyncio.timeout(protocol.server.limits.body_idle_timeout_s):
                    await protocol._drain_helper()
            except TimeoutError as error:
                raise CallerLostError("caller reads too slowly") from error
            except (ConnectionError, aiohttp.ClientError) as error:
                raise CallerLostError("caller closed the connection") from error

    def finish_response(self, data: bytes = b"") -> None:
        """Write the last bytes of the body and end the response.

        Raises
        ------
        CallerLostError
            If the caller closed the connection.
        """
        end = b"0\r\n\r\n" if self._chunked else b""
        last = self._frame(data) + end
        if last:
            self._write(last)
        if self._remaining:
            raise CallerLostError("response body is shorter than its Content-Length")

    def refuse(self, error: RefusedError) -> None:
        """Respond with a problem document."""
        document = describe_refusal(error, self.request_id)
        lines = list_refusal_lines(
            error, self.request_id, self._protocol.server.dialect
        )
        if self.is_forwarded and error.kind in RETRIED_ELSEWHERE:
            lines.append(f"{FORWARD_REFUSED}: {error.kind}\r\n".encode())
        if not self._payload.is_eof():
            self.keep_alive = False
        self._end_connection_if_due()
        framing = b"Content-Length: %d\r\n" % len(document)
        if not self.keep_alive:
            framing += b"Connection: close\r\n"
        start = b"HTTP/1.1 %d %b\r\n" % (
            error.status,
            describe_status(error.status).encode(),
        )
        if self.method == "HEAD":
            document = b""
        self.response_started = True
        self._write(b"".join((start, *lines, framing, b"\r\n", document)))

    def _end_connection_if_due(self) -> None:
        """Let this response end the connection, above all if the gateway drains.

        Requests behind this one that are already with a backend server get their
        responses first; a caller sends those again that have not been started.
        """
        protocol = self._protocol
        if protocol.has_long_trailers:
            # The parser keeps them until the next head, which may never come.
            self.keep_alive = False
        if protocol.server.draining and not protocol.has_started_requests():
            self.keep_alive = False

    def abort(self) -> None:
        """Reset the caller's connection so that the response looks truncated."""
        self.keep_alive = False
        self._protocol.reset()

    def _frame(self, data: bytes) -> bytes:
        head, self._head = self._head, b""
        if not data:
            return head
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                raise CallerLostError("response body is longer than its Content-Length")
        if self._chunked:
            return b"%b%x\r\n%b\r\n" % (head, len(data), data)
        return head + data if head else data

    def _write(self, data: bytes) -> None:
        transport = self._protocol.transport
        if transport is None or transport.is_closing():
            raise CallerLostError("caller closed the connection")
        if data:
            transport.write(data)
            self._protocol.note_passed_on(
                0 if self._protocol.writing_paused else len(data)
            )

    def _check_target(self) -> None:
        target = self.target
        if target.startswith("/"):
            return
        if target == "*" and self.method == "OPTIONS":
            return
        scheme, separator, rest = target.partition("://")
        if self.method == "CONNECT" or not separator:
            raise _refuse(400, "request target has no path")
        if scheme.lower() not in ("http", "https"):
            raise _refuse(400, "scheme of the request target is not http or https")
        authority, slash, path = rest.partition("/")
        if authority.lower() != self.headers.get("Host", "").lower():
            raise _refuse(400, "request target and Host differ")
        self.target = slash + path if slash else "/"
        self.path = self.target.partition("?")[0]


def _refuse(status: int, message: str) -> RefusedError:
    return RefusedError(message, status=status, kind="bad_request")
