"""Server side of a connection of a caller."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp.client_exceptions import ClientError
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo

from geraniumbend.adapters._caller_request import HttpCallerRequest
from geraniumbend.adapters._connection_ends import log_close_at_risk
from geraniumbend.adapters._guarded_handler import GuardedHandler
from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.proxying import (
    CallerLostError,
    describe_refusal,
    describe_status,
    list_refusal_lines,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from geraniumbend.adapters._http_listener import CallerServer

# Time in seconds in which a new connection is not closed as idle, since the first
# request of its caller may be on its way.
FIRST_REQUEST_TIMEOUT_S = 0.5
# Maximum number of pipelined requests of one connection that are handled concurrently
# with the request before them.
MAX_PIPELINED = 8
# Maximum number of such requests of all connections of a listener. Otherwise a crowd
# that pipelines fills the queues for servers with requests that wait for each other.
MAX_PIPELINED_TOGETHER = 64
# Retry-After in seconds of a request that is given up because the account is full,
# which closes connections that stand still within a second.
HELD_RETRY_S = 1.0

declare_event(
    201, "request_handler_failed", "error", "Handling a request raised an exception."
)
declare_event(
    202,
    "caller_input_refused",
    "debug",
    "A caller sent bytes that are not a valid HTTP request.",
)


class _PipelinedRequest(NamedTuple):
    request: HttpCallerRequest
    payload: Any
    task: asyncio.Future[None]


class CallerProtocol(GuardedHandler):
    """Server side of one caller's connection; one task per connection.

    Adds to aiohttp's protocol: limits on the time and size of header fields, refusals
    as problem documents, and a close that waits for open requests. Requests are
    handled in the connection's task; only pipelined ones get tasks of their own.

    Parameters
    ----------
    server : CallerServer
        State and limits of the listener.
    **options
        Options of `aiohttp.web_protocol.RequestHandler`.
    """

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, server.guard, server.name, **options)
        self.server = server
        self.busy = False
        self.number = server.count_connection()
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._body: Any = EMPTY_PAYLOAD
        self._pipelined: deque[_PipelinedRequest] = deque()
        self._waiting_responses = 0
        # The request that the connection's task handles, and whether it is given up.
        self._request: HttpCallerRequest | None = None
        self._last_started: HttpCallerRequest | None = None
        self._is_given_up = False
        self._opened_at = self._loop.time()
        self._has_received = False

    @property
    def writable(self) -> bool:
        """Return whether bytes can still be written to the caller."""
        return self.transport is not None and not self.transport.is_closing()

    def parse(self, data: bytes) -> None:
        """Parse bytes; start the header timeout if a head is incomplete."""
        self._has_received = True
        super().parse(data)
        # Protocols are not changed: the connection ends with the response to a request
        # that asks for it.
        self._message_tail = b""
        if self._messages:
            if self.busy:
                self._start_pipelined()
            if not self._messages:
                self._reset_head_limits()
                return
            if isinstance(self._messages[-1][0], _ErrInfo) and not self._body.is_eof():
                # The parser fails without passing the error on to the body's reader.
                self._body.set_exception(RequestPayloadError("body is malformed"))
            self._reset_head_limits()
        elif data and not self.busy and not (self._close or self._force_close):
            self._head_bytes += len(data)
            # The request line has a limit of its own, of the same size.
            if self._head_bytes > 2 * self.server.limits.header_limit_bytes:
                self._refuse_head(431, "header fields exceed the limit")
            elif self._head_timer is None:
                self._head_timer = self._loop.call_later(
                    self.server.limits.header_timeout_s,
                    self._refuse_head,
                    408,
                    "header fields did not arrive in time",
                )

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection's task."""
        self._reset_head_limits()
        super().connection_lost(exc)
        self.server.note_closed(self.number)

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is open, queued or unread."""
        waiting = self._messages or self._pipelined or self._unparsed
        if self.busy or waiting or self._head_bytes or self.transport is None:
            return False
        if self._lingers:
            return False
        age_s = self._loop.time() - self._opened_at
        if not self._has_received and age_s < FIRST_REQUEST_TIMEOUT_S:
            return False
        raw_socket = self.transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLIN)
        if poll.poll(0):
            return False
        self._end_idle()
        return True

    def close_at_limit(self) -> None:
        """Close the connection since the time of a stop has ended."""
        if self.transport is not None:
            log_close_at_risk(self.transport, self._listener, "grace_time")
        self.force_close()

    def has_started_requests(self) -> bool:
        """Return whether requests behind the open one are handled already."""
        return bool(self._pipelined)

    def count_started(self) -> int:
        """Return the number of requests that are being handled."""
        return self.busy + len(self._pipelined)

    def close_for_limit(self) -> None:
        """Refuse the open request if nothing of it was sent, else close."""
        request = self._request
        is_waiting = request is not None and not (
            request.is_sent or request.response_started or self._is_given_up
        )
        if not is_waiting or self._pipelined or not self.writable:
            super().close_for_limit()
            return
        self._is_given_up = True
        self.free_held()
        # `_finish` responds; the connection ends once its caller has had time to read.
        task = self._task_handler
        assert task is not None
        task.cancel()

    def count_waiting_responses(self) -> int:
        """Return the number of responses that wait behind an earlier one."""
        return self._waiting_responses

    def add_waiting_responses(self, count: int) -> None:
        """Note that a response begins to wait for an earlier one, or ends to."""
        self._waiting_responses += count
        self.measure()

    async def start(self) -> None:
        """Serve the requests of the connection; responses keep their order."""
        try:
            while not (self._force_close or self._close):
                if not (self._pipelined or self._messages):
                    await self._wait_for_message()
                    if not self._messages:
                        # It was idle for too long, or the account has closed it.
                        break
                self.busy = True
                try:
                    keep = await self._serve_next()
                finally:
                    self.busy = False
                    self._body = EMPTY_PAYLOAD
                    if not self._pipelined:
                        self._last_started = None
                    self.note_request_end()
                if not keep:
                    break
                if self._paused and not await self._wait_until_read():
                    break
                self._restart_keepalive()
            self._cancel_pipelined()
            limits = self.server.limits
            await self.linger(limits.body_idle_timeout_s, limits.body_limit_bytes)
        except asyncio.CancelledError:
            # Raised again, the task would keep the exception with its frames, which
            # refer to the task through their timeouts, until a cycle collection.
            self.force_close()
        finally:
            self._task_handler = None
            self._cancel_pipelined()
            if self.transport is not None:
                log_close_at_risk(self.transport, self._listener, "answered")
                self.transport.close()

    async def _wait_until_read(self) -> bool:
        """Wait until the caller reads responses; False if it does not.

        Otherwise the responses to pipelined requests pile up.
        """
        try:
            async with asyncio.timeout(self.server.limits.body_idle_timeout_s):
                await self._drain_helper()
        except (TimeoutError, ConnectionError, ClientError):
            self.reset()
            return False
        return True

    async def _wait_for_message(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _consume_message(self) -> None:
        self._messages.popleft()
        if self._parser is not None:
            self._parser.message_consumed()
        if self._buffer_paused:
            # Parses buffered bytes, which may start further pipelined requests.
            self._resume_reading_if_drained()

    def _start_pipelined(self) -> None:
        """Start to handle pipelined requests; their responses are written in order.

        A caller that pipelines requests would otherwise wait for the sum of their
        durations. Requests that must not run twice wait in the proxy until the earlier
        responses are written: if one of those closes the connection, the caller sends
        the requests behind it again. While the gateway drains, none are started, since
        the connection ends with the response to the last one that was.
        """
        last = self._last_started
        if self.server.draining or (last is not None and last.may_be_last()):
            return
        server = self.server
        while (
            self._messages
            and len(self._pipelined) < MAX_PIPELINED
            and server.pipelined < MAX_PIPELINED_TOGETHER
        ):
            message, payload = self._messages[0]
            if isinstance(message, _ErrInfo) or not payload.is_eof():
                return
            request = HttpCallerRequest(self, message, payload)
            try:
                request.check()
            except RefusedError:
                # Refused by `_serve_next`, after the responses before it.
                return
            request.turn = self._loop.create_future()
            task = asyncio.ensure_future(self._handle_ahead(request))
            task.add_done_callback(_retrieve_exception)
            self._pipelined.append(_PipelinedRequest(request, payload, task))
            server.pipelined += 1
            self._last_started = request
            self._consume_message()
            if request.may_be_last():
                return

    def _drop_messages(self) -> None:
        """Drop parsed requests that nobody handles; `start` looks for them again."""
        self._messages.clear()

    async def _handle_ahead(self, request: HttpCallerRequest) -> None:
        """Handle a pipelined request; its task is only cancelled to end it."""
        try:
            await self.server.handler(request)
        except asyncio.CancelledError:
            # Not raised again; see `start`.
            request.keep_alive = False

    def _cancel_pipelined(self) -> None:
        self._last_started = None
        while self._pipelined:
            self._take_pipelined().task.cancel()

    def _take_pipelined(self) -> _PipelinedRequest:
        self.server.pipelined -= 1
        return self._pipelined.popleft()

    async def _serve_next(self) -> bool:
        """Serve one request; return whether the connection may be used again."""
        if self._pipelined:
            pipelined = self._take_pipelined()
            assert pipelined.request.turn is not None
            if not pipelined.request.turn.done():
                pipelined.request.turn.set_result(None)
            try:
                return await self._finish(
                    pipelined.request, pipelined.payload, pipelined.task
                )
            finally:
                pipelined.task.cancel()
        message, payload = self._messages[0]
        self._consume_message()
        if isinstance(message, _ErrInfo):
            self._write_refusal(_explain_parser_error(message))
            return False
        request = HttpCallerRequest(self, message, payload)
        self._body = payload
        try:
            request.check()
        except RefusedError as error:
            request.keep_alive = False
            _refuse(request, error)
            return False
        self._last_started = request
        self._start_pipelined()
        self._request = request
        try:
            return await self._finish(request, payload, self.server.handler(request))
        finally:
            self._request = None

    async def _finish(
        self, request: HttpCallerRequest, payload: Any, task: Awaitable[None]
    ) -> bool:
        try:
            await task
        except RefusedError as error:
            if request.response_started:
                request.abort()
            else:
                _refuse(request, error)
        except (CallerLostError, ConnectionError):
            request.abort()
        except asyncio.CancelledError:
            if not self._is_given_up:
                raise
            current = asyncio.current_task()
            assert current is not None
            current.uncancel()
            request.keep_alive = False
            _refuse(request, _build_held_refusal())
        except Exception as error:
            log_event(201, error=repr(error), target=request.target)
            if request.response_started:
                request.abort()
            else:
                refusal = RefusedError(
                    "the gateway failed with an internal error",
                    run="unknown",
                    status=500,
                    kind="internal",
                )
                _refuse(request, refusal)
        is_kept = request.keep_alive and not self.has_long_trailers
        return is_kept and not self._upgraded and payload.is_eof()

    def _restart_keepalive(self) -> None:
        # Otherwise aiohttp would never close an idle connection.
        self.keep_alive(True)
        self._keepalive_timeout = self.server.limits.idle_timeout_s
        close_time = self._loop.time() + self._keepalive_timeout
        self._next_keepalive_close_time = close_time
        if self._keepalive_handle is None:
            self._keepalive_handle = self._loop.call_at(
                close_time, self._process_keepalive
            )

    def _process_keepalive(self) -> None:
        """End an idle connection, but not one whose next head has begun.

        Before the first response, aiohttp closes it.
        """
        if self._requests == 0:
            super()._process_keepalive()
            return
        self._keepalive_handle = None
        if self._head_timer is not None or self._force_close or not self._keepalive:
            return
        close_time = self._next_keepalive_close_time
        # Read once: the clock may pass the time between two readings.
        if self._loop.time() < close_time:
            self._keepalive_handle = self._loop.call_at(
                close_time, self._process_keepalive
            )
        else:
            self._end_idle()

    def _end_idle(self) -> None:
        """Close a connection without a request; the last response may be on its way."""
        waiter = self._waiter
        if not self._requests:
            self.force_close()
        elif waiter is not None and not waiter.done():
            # Without a message, the task ends the connection.
            waiter.set_result(None)

    def _reset_head_limits(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_head(self, status: int, message: str) -> None:
        self._reset_head_limits()
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            error = _ErrInfo(status, HttpProcessingError(message=message), message)
            self._messages.append((error, EMPTY_PAYLOAD))
            waiter.set_result(None)

    def _write_refusal(self, error: RefusedError) -> None:
        assert self.transport is not None
        log_event(202, peer=str(self.peername), error=str(error))
        document = describe_refusal(error, "")
        lines = list_refusal_lines(error, "", self.server.dialect)
        reason = describe_status(error.status).encode()
        head = b"HTTP/1.1 %d %b\r\nConnection: close\r\nContent-Length: %d\r\n" % (
            error.status,
            reason,
            len(document),
        )
        self.transport.write(head + b"".join(lines) + b"\r\n" + document)


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved.

    `_finish` handles it, unless the connection ends before.
    """
    if not task.cancelled():
        task.exception()


def _refuse(request: HttpCallerRequest, error: RefusedError) -> None:
    """Respond with a refusal, unless the caller has left."""
    with suppress(CallerLostError):
        request.refuse(error)


def _build_held_refusal() -> RefusedError:
    return RefusedError(
        "the gateway holds too much for unfinished requests",
        "retry after the stated delay",
        kind="held_bytes",
        retry_after_s=HELD_RETRY_S,
    )


def _explain_parser_error(error: _ErrInfo) -> RefusedError:
    status = 431 if isinstance(error.exc, LineTooLong) else error.status
    reason = error.message.strip().partition("\n")[0]
    return RefusedError(
        f"request is malformed: {reason[:200]}", status=status, kind="bad_request"
    )
