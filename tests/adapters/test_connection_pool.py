from __future__ import annotations

import asyncio
import socket
import struct
import unittest
import unittest.mock

from geraniumbend.adapters.http_upstream import ConnectionPool
from geraniumbend.proxying import UpstreamError
from geraniumbend.timers import LoopTimers
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    make_request,
    read_all,
    reply,
    send_raw,
    use_default_loop,
    use_uvloop,
)

setUpModule = use_uvloop
tearDownModule = use_default_loop


def build_pool(backend, limit=50, share=lambda: 1.0):
    return ConnectionPool(backend.describe(limit), LoopTimers(), share)


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_is_reused_after_its_response_was_read(self):
        async with ScriptedBackend(reply()) as backend:
            pool = build_pool(backend)
            for _ in range(3):
                self.assertEqual(await read_all(await pool.send(make_request())), b"ok")
            self.assertEqual(backend.connections, 1)
            await pool.close()

    async def test_connection_with_an_unread_response_is_closed(self):
        async with ScriptedBackend(reply(b"x" * 1_000_000)) as backend:
            pool = build_pool(backend)
            (await pool.send(make_request())).close()
            body = await read_all(await pool.send(make_request()))
            self.assertEqual(len(body), 1_000_000)
            self.assertEqual(backend.connections, 2)
            await pool.close()

    async def test_unsolicited_response_is_not_used_for_the_next_request(self):
        async def script(received, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
            if received.connection == 1:
                await asyncio.sleep(0.02)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            await read_all(await pool.send(make_request()))
            await asyncio.sleep(0.05)
            self.assertTrue(pool.current.idle[0].connection.closed)
            self.assertEqual(await read_all(await pool.send(make_request())), b"own")
            await pool.close()

    async def test_stray_bytes_in_the_socket_close_the_connection(self):
        # The event loop has not read the bytes yet when the pool checks the connection.
        async with ScriptedBackend(reply(b"own")) as backend:
            pool = build_pool(backend)
            response = await pool.send(make_request())
            await read_all(response)
            protocol = pool.current.idle[0].connection.protocol
            first, second = socket.socketpair()
            second.send(b"HTTP/1.1 200 OK\r\n")
            transport = protocol.transport
            protocol.transport = unittest.mock.Mock(
                is_closing=lambda: False, get_extra_info=lambda name: first
            )
            self.assertFalse(protocol.is_usable())
            protocol.transport = transport
            first.close()
            second.close()
            await pool.close()

    async def test_response_without_body_leaves_the_connection_usable(self):
        heads = {
            "HEAD": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            "PUT": b"HTTP/1.1 204 No Content\r\n\r\n",
            "GET": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        }

        async def script(received, reader, writer):
            writer.write(heads[received.head.split(b" ")[0].decode()])

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            for method in heads:
                response = await pool.send(make_request(method))
                self.assertEqual(await read_all(response), b"")
            self.assertEqual(backend.connections, 1)
            await pool.close()

    async def test_interim_responses_are_skipped(self):
        raw = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
        async with ScriptedBackend(
            send_raw(raw + b"Content-Length: 2\r\n\r\nok")
        ) as backend:
            pool = build_pool(backend)
            response = await pool.send(make_request())
            self.assertEqual((response.status, await read_all(response)), (200, b"ok"))
            await pool.close()


class TruncationTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, raw, reset=False):
        async def script(received, reader, writer):
            writer.write(raw)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.02)
                raw_socket = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            response = await pool.send(make_request())
            with self.assertRaises(UpstreamError) as caught:
                await read_all(response)
            self.assertEqual(caught.exception.run, "unknown")
            await pool.close()

    async def test_short_body_with_content_length_is_an_error(self):
        await self.check(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")

    async def test_chunked_body_without_last_chunk_is_an_error(self):
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        await self.check(raw)

    async def test_reset_of_a_body_without_length_is_an_error(self):
        # aiohttp treats the reset as the regular end of such a body.
        await self.check(b"HTTP/1.1 200 OK\r\n\r\npart", reset=True)

    async def test_malformed_response_is_an_error(self):
        async with ScriptedBackend(send_raw(b"HTTP/1.1 abc\r\n\r\n")) as backend:
            pool = build_pool(backend)
            with self.assertRaises(UpstreamError) as caught:
                await pool.send(make_request())
            self.assertEqual(caught.exception.run, "unknown")
            await pool.close()


class LossTest(unittest.IsolatedAsyncioTestCase):
    async def test_unsafe_request_is_sent_once_when_its_connection_drops(self):
        async def script(received, reader, writer):
            if len(backend.received) == 2:
                return False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            await read_all(await pool.send(make_request("PUT", safe=False)))
            with self.assertRaises(UpstreamError) as caught:
                await pool.send(make_request("PUT", safe=False))
            self.assertEqual(caught.exception.run, "unknown")
            self.assertFalse(caught.exception.server_lost)
            self.assertEqual(len(backend.received), 2)
            await pool.close()

    async def test_safe_request_is_resent_after_a_dropped_idle_connection(self):
        async def script(received, reader, writer):
            if len(backend.received) == 2:
                return False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            for _ in range(2):
                await read_all(await pool.send(make_request()))
            self.assertEqual(len(backend.received), 3)
            await pool.close()

    async def test_server_that_stops_during_a_request_is_reported_lost(self):
        async def script(received, reader, writer):
            backend.stop_listening()
            return False

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            with self.assertRaises(UpstreamError) as caught:
                await pool.send(make_request())
            self.assertTrue(caught.exception.server_lost)
            self.assertEqual(caught.exception.run, "unknown")
            await pool.close()

    async def test_refused_connection_is_reported_as_not_run_and_not_lost(self):
        async with ScriptedBackend(reply()) as backend:
            backend.stop_listening()
            pool = build_pool(backend)
            with self.assertRaises(UpstreamError) as caught:
                await pool.send(make_request())
            self.assertEqual(caught.exception.run, "not_run")
            self.assertFalse(caught.exception.server_lost)
            await pool.close()

    async def test_cancelled_request_closes_its_connection(self):
        async def script(received, reader, writer):
            await reader.read()
            return False

        async with ScriptedBackend(script) as backend:
            pool = build_pool(backend)
            sending = asyncio.ensure_future(pool.send(make_request()))
            await asyncio.sleep(0.02)
            sending.cancel()
            await asyncio.wait_for(backend.closed.wait(), 1)
            self.assertEqual(pool.count(), 0)
            await pool.close()


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def slow_script(self, received, reader, writer):
        await asyncio.sleep(0.02)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def test_limit_is_kept_and_follows_a_shrinking_share(self):
        share = 1.0
        async with ScriptedBackend(self.slow_script) as backend:
            pool = build_pool(backend, 8, lambda: share)

            async def fetch():
                return await read_all(
                    await pool.send(make_request(silence_timeout_s=1))
                )

            await asyncio.gather(*(fetch() for _ in range(40)))
            self.assertEqual(backend.most_open, 8)
            share = 0.25
            pool.sweep()
            await asyncio.sleep(0.02)
            backend.most_open = backend.open
            self.assertEqual(backend.open, 2)
            await asyncio.gather(*(fetch() for _ in range(10)))
            self.assertEqual(backend.most_open, 2)
            await pool.close()

    async def test_wait_for_a_connection_fails_at_the_deadline_as_not_run(self):
        async with ScriptedBackend(reply()) as backend:
            pool = build_pool(backend, 1)
            held = await pool.send(make_request())
            with self.assertRaises(UpstreamError) as caught:
                await pool.send(make_request(deadline_s=0.05))
            self.assertEqual(caught.exception.run, "not_run")
            held.close()
            await read_all(await pool.send(make_request()))
            await pool.close()

    async def test_cancelled_waiter_wakes_the_next_one(self):
        # The first waiter is cancelled after it was woken; without passing the wake-up
        # on, the second would never get the free connection.
        async with ScriptedBackend(reply()) as backend:
            pool = build_pool(backend, 1)
            held = await pool.send(make_request())
            first = asyncio.ensure_future(pool.send(make_request()))
            second = asyncio.ensure_future(pool.send(make_request()))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            held.close()
            first.cancel()
            await read_all(await asyncio.wait_for(second, 1))
            await pool.close()
