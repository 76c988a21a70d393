"""Server side of an HTTP connection whose bytes the caller account counts."""

from __future__ import annotations

import socket
import struct
from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, Any

from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from geraniumbend.adapters._connection_ends import log_close_at_risk, shut_down
from geraniumbend.adapters._connection_window import ConnectionWindow
from geraniumbend.adapters._field_sizes import (
    count_chunks,
    measure_fields,
    measure_head,
    measure_trailers,
)
from geraniumbend.adapters._lingering_close import MAX_DISCARDED_BYTES, LingeringClose

if TYPE_CHECKING:
    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.caller_limits import Holding

# Bytes that are parsed at once unless they are those of a body with a length. A chunk
# of one byte costs about 1.5 us, so this is 2 ms.
SLICE_BYTES = 8 * 1024
# Bytes that are parsed at once in any case: the largest legal head.
UNSLICED_BYTES = 16 * 1024
# Bytes of a body in chunks that are parsed at once.
UNSLICED_CHUNKS_BYTES = 1024
# Memory of a connection with unfinished work, and of a parsed request.
CONNECTION_BYTES = 8 * 1024
MESSAGE_BYTES = 6 * 1024
# End of a request line, and of a head or of trailers.
HTTP_VERSION = b" HTTP/1."
BLANK_LINE = b"\r\n\r\n"
# Memory of trailers above which a connection ends with the response.
LONG_TRAILERS_BYTES = 4 * 1024
# Parts of a body that wait at most; more are joined, since each takes more memory than
# the bytes of a small chunk.
MAX_BODY_PARTS = 16
# Bytes of a response that wait at the backend's connection while the caller reads
# slowly, or an earlier response: its read buffers and what its receive buffer holds.
UNREAD_RESPONSE_BYTES = 320 * 1024


class GuardedHandler(RequestHandler):
    """Adds to aiohttp's protocol what the caller account asks for.

    Received bytes are parsed in slices, in turn with other connections; the connection
    is not read while the account says so, or while slices wait.

    Parameters
    ----------
    server : aiohttp.web_server.Server
        State of the listener.
    guard : CallerGuard or None
        Account of the process; without one, all bytes are parsed at once.
    listener : str
        Name of the listener for events.
    **options
        Options of `aiohttp.web_protocol.RequestHandler`.
    """

    def __init__(
        self, server: Any, guard: CallerGuard | None, listener: str, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self._guard = guard
        self._listener = listener
        self._source = ""
        self._holding: Holding | None = None
        self._unparsed = b""
        self._has_turn = False
        self._held_back = False
        self._last_body: Any = EMPTY_PAYLOAD
        self._is_chunked = False
        # Length of the last body in bytes; 0 if it is chunked.
        self._body_length = 0
        self._window: ConnectionWindow | None = None
        self._taken = 0
        self._requests = 0
        self._framing_bytes = 0
        # Whether the parser keeps trailers, which it does until the next head begins.
        self.has_long_trailers = False
        # Memory of the heads of the requests that are handled or wait, oldest first.
        self._heads: deque[int] = deque()
        self._heads_total = 0
        # Whether the last response is written and the connection waits for its caller.
        self._lingers = False
        self._discarded = 0
        # Whether the end of the connection is the end of the last response.
        self.ends_by_close = False

    def connection_made(self, transport: Any) -> None:
        """Open the holding of the connection."""
        super().connection_made(transport)
        if self._guard is not None:
            peer = self.peername
            self._source = peer[0] if isinstance(peer, tuple) else ""
            self._holding = self._guard.open(self, self._source, self._listener)
            connected = transport.get_extra_info("socket")
            if connected is not None:
                self._window = ConnectionWindow(self._guard, self._holding, connected)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Close the holding of the connection."""
        self._unparsed = b""
        super().connection_lost(exc)
        self._forget()
        self._free_body()
        self._drop_messages()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or the first slice of them."""
        holding = self._holding
        if self._close or self._force_close:
            self._discarded += len(data)
            return
        if holding is None or not data:
            self.parse(data)
            self._note_body()
            return
        assert self._guard is not None
        self._guard.account.note_received(holding, len(data))
        if self._unparsed:
            self._unparsed += data
        elif self._is_chunked_body():
            # Many callers with small chunks would otherwise be parsed in one round.
            if len(data) > UNSLICED_CHUNKS_BYTES:
                self._unparsed = data
            else:
                self.parse(data)
        elif len(data) > UNSLICED_BYTES and self._last_body.is_eof():
            self._unparsed = data[SLICE_BYTES:]
            self.parse(data[:SLICE_BYTES])
        else:
            self.parse(data)
        self._note_body()
        self._join_parts()
        self.measure()
        if self._unparsed:
            self._pause_transport_reading()
            self._ask_for_turn()

    def parse(self, data: bytes) -> None:
        """Pass bytes to the parser; count those of an unfinished head or of trailers.

        The parser keeps their fields, each of which takes more than its bytes.
        """
        body, count = self._last_body, self._request_count
        is_chunked = self._is_chunked_body()
        size, chunks = body.total_bytes, count_chunks(body) if is_chunked else 0
        RequestHandler.data_received(self, data)
        if self._holding is None or self._close or self._force_close:
            # Nothing is parsed any more.
            self._framing_bytes = 0
            return
        self._note_heads(self._request_count - count)
        if self._request_count != count:
            self._framing_bytes = self._measure_behind_head(data)
            return
        grown = body.total_bytes - size
        if is_chunked:
            chunks = count_chunks(body) - chunks
            framing = measure_trailers(data, len(data) - grown, chunks)
        else:
            # Bytes behind the end of a body may be those of the next head.
            framing = measure_fields(data[grown:])
        self._framing_bytes = framing if grown else self._framing_bytes + framing
        if is_chunked and body.is_eof():
            self._end_trailers()

    def parse_next(self) -> None:
        """Parse the next slice; called in turn with other connections."""
        self._has_turn = False
        if self._close or self._force_close or self.transport is None:
            self._unparsed = b""
        elif not (self._reading_paused or self._buffer_paused or self._held_back):
            data = self._unparsed[:SLICE_BYTES]
            self._unparsed = self._unparsed[SLICE_BYTES:]
            if data:
                self.parse(data)
                self._note_body()
                self._join_parts()
            self.measure()
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()

    def note_taken(self, size: int) -> None:
        """Note bytes of a body that its handler has read and still keeps."""
        self._taken += size
        self._note_moved(size)

    def note_streamed(self, size: int) -> None:
        """Note bytes of a body that are kept until the next ones are read."""
        self._taken = size
        self._note_moved(size)

    def note_passed_on(self, size: int) -> None:
        """Note bytes of a body that are not kept any more."""
        self._note_moved(size)

    def note_request_end(self) -> None:
        """Note that the handler keeps nothing of the request any more."""
        self._taken = 0
        self._requests += 1
        self.measure()

    def measure(self) -> None:
        """Tell the account what the connection holds, and obey it."""
        holding = self._holding
        if holding is None:
            return
        guard = self._guard
        assert guard is not None
        started = self.count_started()
        held = self._taken + len(self._unparsed) + self._framing_bytes
        held += len(self._message_tail)
        held += MESSAGE_BYTES * (len(self._messages) + started)
        if self._heads_total:
            held += self._count_heads(len(self._messages) + started)
        body = self._last_body
        if body is not EMPTY_PAYLOAD and (body._size or not body.is_eof()):
            held += body._size
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        if not self._lingers:
            waiting = self._paused + self.count_waiting_responses()
            held += UNREAD_RESPONSE_BYTES * waiting
        is_unread = not body.is_eof() and not (body._size or self._unparsed)
        holding.waits_for_caller = self._paused or (is_unread and not self._held_back)
        holding.rank = 2 if started or self._messages else min(self._requests, 1)
        guard.update(holding, held + CONNECTION_BYTES if held else 0)
        if self._holding is None or self._held_back or self._lingers:
            return
        if self._window is not None:
            self._fit_window(self._window)
        if guard.holds_back(holding):
            self._held_back = True
            self._pause_transport_reading()

    def count_started(self) -> int:
        """Return the number of requests that are being handled."""
        return int(self._current_request is not None)

    def count_waiting_responses(self) -> int:
        """Return the number of responses that wait behind an earlier one."""
        return 0

    def resume_writing(self) -> None:
        """Note that the caller has read."""
        super().resume_writing()
        self.measure()

    def resume_held_back(self) -> None:
        """Read again after the account was full."""
        self._held_back = False
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def narrow_window(self) -> None:
        """Receive no more at once than a narrow window, unless more waits unread."""
        if self._holding is not None and self._window is not None:
            self._window.narrow()

    def close_for_limit(self) -> None:
        """Close between responses, otherwise reset so that nothing looks whole."""
        self._holding = None
        self._unparsed = b""
        transport = self.transport
        if transport is None:
            return
        is_idle = not (self._messages or self.count_started())
        if not is_idle or transport.get_write_buffer_size():
            self.reset()
        else:
            log_close_at_risk(transport, self._listener, "limit")
            transport.abort()
            self.force_close()
        # Their memory is needed before the loop reports that the connection is lost.
        self._drop_messages()
        self._message_tail = b""
        self._parser = None

    def free_held(self) -> None:
        """Give back what is held for a request that is given up; read no further one.

        The connection stays open until its caller has had time to read the response,
        as one without a request.
        """
        assert self._guard is not None
        self._discard_input()
        # It is read from now on, so its window does not matter.
        self._window = None
        self._holding = self._guard.reopen(self, self._source, self._listener)

    async def linger(self, stall_limit_s: float, discard_limit_bytes: int = 0) -> None:
        """Let the caller receive the last response and close the connection.

        What the caller still sends is discarded. The connection's task closes the
        connection afterwards.

        Parameters
        ----------
        stall_limit_s : float
            Longest time without progress while the caller has not acknowledged the
            whole response, in seconds.
        discard_limit_bytes : int, default=0
            Bytes that are discarded at most, if more than by default.
        """
        transport = self.transport
        if transport is None or self._force_close or transport.is_closing():
            return
        self._lingers = True
        self._discard_input()
        self._message_tail = b""
        # It keeps the trailers of the last request until a further one begins.
        self._parser = None
        self._framing_bytes = 0
        self._resume_transport_reading()
        self.measure()
        limit_bytes = max(discard_limit_bytes, MAX_DISCARDED_BYTES)
        bounds = LingeringClose(stall_limit_s, limit_bytes)
        await shut_down(transport, bounds, self._count_discarded, self.ends_by_close)

    def _count_discarded(self) -> int:
        return self._discarded

    def _discard_input(self) -> None:
        """Free what was received and is not handled; parse nothing any more."""
        self._close = True
        self._held_back = False
        self._unparsed = b""
        self._free_body()
        self._drop_messages()

    def _free_body(self) -> None:
        body, self._last_body = self._last_body, EMPTY_PAYLOAD
        if not body.is_eof():
            # Otherwise the bytes of callers that leave wait for the garbage collector.
            body._buffer.clear()
            body._size = body._buffer_offset = 0
            body._http_chunk_splits = None

    def reset(self) -> None:
        """Reset the connection so that a response looks truncated.

        HTTP/1.0 callers treat a regular close as the end of the body.
        """
        transport = self.transport
        if transport is None:
            return
        log_close_at_risk(transport, self._listener, "reset")
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            option = struct.pack("ii", 1, 0)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        transport.abort()
        self.force_close()

    def _drop_messages(self) -> None:
        """Drop parsed requests that nobody handles; their bodies refer to this object.

        One is kept for a task that was woken for it.
        """
        is_taken = self._waiter is not None and self._waiter.done()
        while len(self._messages) > is_taken:
            self._messages.pop()

    def _resume_transport_reading(self) -> None:
        if self._close or self._force_close:
            self._unparsed = b""
        if self._unparsed:
            self._ask_for_turn()
        elif not self._held_back:
            super()._resume_transport_reading()

    def _ask_for_turn(self) -> None:
        if not self._has_turn and not self._held_back:
            assert self._guard is not None
            self._has_turn = True
            self._guard.add_turn(self)

    def _is_chunked_body(self) -> bool:
        """Return whether a body in chunks is being received."""
        return self._is_chunked and not self._last_body.is_eof()

    def _note_body(self) -> None:
        if self._messages:
            message, self._last_body = self._messages[-1]
            self._is_chunked = getattr(message, "chunked", False)
            self._body_length = 0
            if self._last_body is not EMPTY_PAYLOAD and not self._is_chunked:
                headers: Any = getattr(message, "headers", {})
                length = headers.get("Content-Length", "")
                self._body_length = int(length) if length.isdecimal() else 0

    def _join_parts(self) -> None:
        """Join the parts of a body that wait; nobody asks where its chunks end.

        Not called while the body is read: reading a part may parse further ones, and
        the reader has counted those that it takes.
        """
        body = self._last_body
        if self._is_chunked and len(body._buffer) > MAX_BODY_PARTS:
            joined = b"".join(body._buffer)[body._buffer_offset :]
            body._buffer.clear()
            body._buffer.append(joined)
            body._buffer_offset = 0
            body._http_chunk_splits.clear()

    def _fit_window(self, window: ConnectionWindow) -> None:
        """Let the window be wide while more than a narrow one of a body is to come."""
        body = self._last_body
        if body.is_eof():
            window.narrow()
            return
        assert self._guard is not None
        left = self._body_length - body.total_bytes
        if self._is_chunked or left > self._guard.window_sizes.ordinary_bytes:
            window.widen()

    def _measure_behind_head(self, data: bytes) -> int:
        """Return the memory of trailers, or of the next head, behind a parsed head."""
        if not self._messages:
            return 0
        message, body = self._messages[-1]
        if getattr(message, "chunked", False):
            begin = max(0, data.rfind(HTTP_VERSION))
            tail = data[data.find(BLANK_LINE, begin) + len(BLANK_LINE) :]
            framing = len(tail) - body.total_bytes
            self._framing_bytes = measure_trailers(tail, framing, count_chunks(body))
            if body.is_eof():
                self._end_trailers()
            return self._framing_bytes
        if not body.is_eof():
            return 0
        return measure_fields(data[data.rfind(BLANK_LINE) + len(BLANK_LINE) :])

    def _end_trailers(self) -> None:
        """Note the end of a body in chunks.

        The parser keeps its trailers until the next head, which may never come.
        """
        self.has_long_trailers = self._framing_bytes > LONG_TRAILERS_BYTES
        if not self.has_long_trailers:
            self._framing_bytes = 0

    def _note_heads(self, count: int) -> None:
        """Note the heads of the messages that were parsed last."""
        if not count:
            return
        is_alone = len(self._messages) == count == 1 and not self.count_started()
        if is_alone:
            self._heads.clear()
            self._heads_total = 0
        for message, _ in islice(self._messages, len(self._messages) - count, None):
            size = measure_head(message)
            if is_alone:
                # Most heads are within what each request counts.
                size = max(0, size - MESSAGE_BYTES)
            self._heads.append(size)
            self._heads_total += size

    def _count_heads(self, count: int) -> int:
        """Return the memory of the heads of all open requests."""
        heads = self._heads
        while len(heads) > count:
            self._heads_total -= heads.popleft()
        return self._heads_total

    def _note_moved(self, size: int) -> None:
        if self._holding is not None:
            assert self._guard is not None
            self._guard.account.note_progress(self._holding, size)
            self.measure()

    def _forget(self) -> None:
        holding, self._holding = self._holding, None
        if holding is not None:
            assert self._guard is not None
            self._guard.close(holding)
