"""Connections that the gateway closes behind a response that is still on its way.

A request that arrives after a plain close makes the kernel reset the connection, and
the caller loses what it has not received yet.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from geraniumbend.adapters._lingering_close import LINGER_S
from geraniumbend.adapters.http_listener import HttpListener, Limits
from geraniumbend.settings import ListenSettings
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    send_raw,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, parse, problem
from tests.test_certificates import write_certificate

setUpModule = use_uvloop
tearDownModule = use_default_loop

LIMIT_S = 4.0
STEP_S = 0.2
# More than a narrow receive window holds, less than the send buffer of the gateway.
BODY = b"x" * 150_000
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED = CHUNKED_HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
NARROW_BYTES = 4096
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
GET_AND_CLOSE = b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
GET_1_0_KEPT = b"GET /1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"
GET_1_0 = b"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n"


def connect(port):
    """Return a connection that receives little at once."""
    connected = socket.socket()
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BYTES)
    connected.settimeout(10)
    connected.connect(("127.0.0.1", port))
    return connected


def receive_all(connected):
    parts = []
    while data := connected.recv(65_536):
        parts.append(data)
    return b"".join(parts)


def ask_twice(port, first, second, trust=None):
    """Send a request, and one behind it before anything is read; return all bytes."""
    connected = connect(port)
    if trust is not None:
        connected = trust.wrap_socket(connected, server_hostname="127.0.0.1")
    with connected:
        connected.sendall(first)
        time.sleep(STEP_S)
        connected.sendall(second)
        time.sleep(STEP_S)
        return receive_all(connected)


class ResponseOnItsWayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that a reset cuts off, as in `review/6`."""

    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    async def check(self, first, script=None, limits=None, drains=False):
        async with (
            ScriptedBackend(script or reply(BODY)) as backend,
            DataPath(backend, limits=limits) as path,
        ):
            if drains:
                path.listener.begin_drain()
            raw = await asyncio.to_thread(ask_twice, path.listener.port, first, GET % 2)
            status, headers, body = parse(raw)
            self.assertEqual((status, body), (200, BODY))
            return headers, backend.received

    async def test_response_of_a_draining_gateway_arrives(self):
        headers, received = await self.check(GET % 1, drains=True)
        self.assertEqual((headers["connection"], len(received)), ("close", 1))

    async def test_response_to_a_caller_that_asks_for_the_close_arrives(self):
        await self.check(GET_AND_CLOSE)

    async def test_response_to_http_1_0_arrives(self):
        await self.check(GET_1_0)

    async def test_response_without_a_length_to_http_1_0_arrives(self):
        await self.check(GET_1_0, send_raw(CHUNKED))

    async def test_response_before_the_idle_timeout_arrives(self):
        await self.check(GET % 1, limits=Limits(idle_timeout_s=STEP_S / 4))

    async def test_idle_timeout_that_passes_while_it_is_checked(self):
        """Guards against a plain close by a second reading of the clock."""
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            reader, writer = await path.connect()
            self.addCleanup(writer.close)
            writer.write(GET % 1)
            await reader.readuntil(b"ok")
            (protocol,) = path.listener._server.connections
            due_s = protocol._next_keepalive_close_time
            clock = mock.Mock(wraps=protocol._loop)
            clock.time.side_effect = [due_s - 0.001, due_s + 0.001]
            with mock.patch.object(protocol, "_loop", clock):
                protocol._process_keepalive()
            clock.call_at.assert_called_with(due_s, protocol._process_keepalive)
            self.assertFalse(protocol.transport.is_closing())

    async def test_response_before_the_end_of_an_idle_connection_in_a_stop_arrives(
        self,
    ):
        async with ScriptedBackend(reply(BODY)) as backend, DataPath(backend) as path:
            port = path.listener.port
            asking = asyncio.ensure_future(
                asyncio.to_thread(ask_twice, port, GET % 1, GET % 2)
            )
            while not path.budget.earned:
                await asyncio.sleep(0.001)
            self.assertEqual(await path.listener.stop(LIMIT_S), 0)
            self.assertEqual(parse(await asking)[2], BODY)

    async def check_tls(self, first, script):
        async with ScriptedBackend(script) as backend, DataPath(backend) as path:
            tls = write_certificate(Path(self.folder), "a")
            listener = HttpListener(path.proxy.handle, ListenSettings(tls=tls))
            await listener.start()
            self.addAsyncCleanup(listener.stop, LIMIT_S)
            trust = ssl.create_default_context(cafile=tls.certificate)
            trust.check_hostname = False
            raw = await asyncio.to_thread(
                ask_twice, listener.port, first, GET % 2, trust
            )
            self.assertEqual(parse(raw)[2], BODY)

    async def test_response_over_tls_arrives(self):
        await self.check_tls(GET_AND_CLOSE, reply(BODY))

    async def test_response_without_a_length_over_tls_arrives(self):
        await self.check_tls(GET_1_0, send_raw(CHUNKED))

    async def test_request_behind_the_last_one_is_not_passed_on(self):
        """Guards against requests that run though nobody can get their response."""

        async def script(received, reader, writer):
            await asyncio.sleep(STEP_S)
            writer.write(CHUNKED_HEAD + b"2\r\nok\r\n0\r\n\r\n")

        async with ScriptedBackend(script) as backend, DataPath(backend) as path:
            # Without a length, the end of the connection ends the response.
            raw = await path.exchange(2 * GET_1_0_KEPT)
            self.assertEqual(parse(raw)[2], b"ok")
            self.assertEqual(len(backend.received), 1)


class RefusedUploadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against refusals that callers lose since they write before they read."""

    def upload(self, port, size, pieces, pause_s):
        with connect(port) as connected:
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            connected.sendall(head % (size * pieces))
            for _ in range(pieces):
                connected.sendall(b"x" * size)
                time.sleep(pause_s)
            return receive_all(connected)

    async def test_caller_that_sends_its_whole_body_gets_the_refusal(self):
        limits = Limits(body_limit_bytes=1000)
        async with (
            ScriptedBackend(reply()) as backend,
            DataPath(backend, limits=limits) as path,
        ):
            pieces = int(2 * LINGER_S / 0.1)
            raw = await asyncio.to_thread(
                self.upload, path.listener.port, 16_384, pieces, 0.1
            )
            self.assertEqual(problem(parse(raw))[0], 413)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_does_not_wait_longer_for_many_callers_that_never_close(self):
        """Guards against closes that wait one after the other."""
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            callers = [await path.connect() for _ in range(200)]
            for reader, writer in callers:
                writer.write(GET % 1)
                await reader.readuntil(b"ok")
            started = time.monotonic()
            self.assertEqual(await path.listener.stop(20.0), 0)
            self.assertLess(time.monotonic() - started, LIMIT_S)
            for _reader, writer in callers:
                writer.close()

    async def test_end_by_the_caller_ends_the_wait(self):
        """Guards against a stop that waits for callers that have gone."""
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            reader, writer = await path.connect()
            writer.write(GET_AND_CLOSE)
            await reader.read()
            started = time.monotonic()
            writer.close()
            while path.listener._server.connections:
                await asyncio.sleep(0.001)
            self.assertLess(time.monotonic() - started, LINGER_S / 2)

    async def test_caller_that_reads_nothing_ends_with_the_limit_of_the_stop(self):
        """Guards against a stop that outlasts its grace time."""
        async with ScriptedBackend(reply(BODY)) as backend, DataPath(backend) as path:
            connected = await asyncio.to_thread(connect, path.listener.port)
            self.addCleanup(connected.close)
            connected.sendall(GET_AND_CLOSE)
            await asyncio.sleep(STEP_S)
            started = time.monotonic()
            self.assertEqual(await path.listener.stop(STEP_S), 0)
            self.assertLess(time.monotonic() - started, LIMIT_S)
