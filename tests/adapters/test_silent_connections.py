from __future__ import annotations

import asyncio
import gc
import time
import unittest

from geraniumbend.adapters._silent_connections import _cancel_and_wait
from geraniumbend.adapters.http_upstream import ConnectionPool
from geraniumbend.proxying import UpstreamError
from geraniumbend.timers import LoopTimers
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    make_request,
    read_all,
    use_default_loop,
    use_uvloop,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

setUpModule = use_uvloop
tearDownModule = use_default_loop


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Connections that stay open but carry no more bytes, while new ones work."""

    async def asyncSetUp(self):
        self.silent = set()
        self.delay_s = 0.0
        self.held = []

        async def script(received, reader, writer):
            if received.connection in self.silent:
                await reader.read()
                return False
            self.held.append(self.pool.count())
            await asyncio.sleep(self.delay_s)
            writer.write(OK)

        self.backend = ScriptedBackend(script)
        await self.backend.__aenter__()
        self.pool = ConnectionPool(self.backend.describe(20), LoopTimers(), lambda: 1.0)

    async def asyncTearDown(self):
        await self.pool.close()
        await self.backend.__aexit__()

    async def open_connections(self, count):
        self.delay_s = 0.02
        requests = (self.pool.send(make_request()) for _ in range(count))
        for response in await asyncio.gather(*requests):
            await read_all(response)
        self.delay_s = 0.0
        self.assertEqual(self.backend.connections, count)

    async def test_safe_request_is_resent_within_its_deadline(self):
        await self.open_connections(1)
        self.silent = {1}
        started = time.monotonic()
        response = await self.pool.send(
            make_request(silence_timeout_s=0.05, deadline_s=1.0)
        )
        self.assertEqual(await read_all(response), b"ok")
        self.assertLess(time.monotonic() - started, 0.5)

    async def test_generation_is_retired_and_its_idle_connections_are_closed(self):
        await self.open_connections(4)
        self.silent = {1, 2, 3, 4}
        await read_all(await self.pool.send(make_request(silence_timeout_s=0.05)))
        await asyncio.sleep(0.02)
        self.assertEqual(self.pool.current.number, 2)
        self.assertEqual(self.pool.count(), 1)
        sent = len(self.backend.received)
        await read_all(await self.pool.send(make_request(silence_timeout_s=5)))
        self.assertEqual(len(self.backend.received), sent + 1)

    async def test_request_on_a_retired_generation_is_resent_before_its_own_timeout(
        self,
    ):
        await self.open_connections(2)
        self.silent = {1, 2}
        first = asyncio.ensure_future(
            self.pool.send(make_request(silence_timeout_s=0.1))
        )
        await asyncio.sleep(0)
        started = time.monotonic()
        second = await self.pool.send(make_request(silence_timeout_s=1.0, deadline_s=3))
        self.assertLess(time.monotonic() - started, 0.8)
        await read_all(second)
        await read_all(await first)

    async def test_unsafe_request_is_not_resent_and_ends_as_unknown(self):
        await self.open_connections(1)
        self.silent = {1}
        request = make_request(
            "POST", body=b"pay", silence_timeout_s=0.05, deadline_s=0.3
        )
        with self.assertRaises(UpstreamError) as caught:
            await self.pool.send(request)
        self.assertEqual(caught.exception.run, "unknown")
        self.assertTrue(caught.exception.timed_out)
        posts = [r for r in self.backend.received if r.head.startswith(b"POST")]
        self.assertEqual(len(posts), 1)
        self.assertEqual(self.pool.current.number, 2)

    async def test_unsafe_request_avoids_a_connection_idle_for_long(self):
        await self.open_connections(1)
        self.silent = {1}
        await asyncio.sleep(0.55)
        response = await self.pool.send(make_request("POST", body=b"pay"))
        self.assertEqual(await read_all(response), b"ok")

    async def test_resend_at_the_connection_limit_stays_within_it(self):
        self.pool.server = self.backend.describe(1)
        await self.open_connections(1)
        self.silent = {1}
        self.assertEqual(
            await read_all(await self.pool.send(make_request(silence_timeout_s=0.05))),
            b"ok",
        )
        self.assertEqual(max(self.held), 1)

    async def test_slow_server_is_not_sent_every_request_twice(self):
        # Ten requests of 0.1 s, silence timeout 0.04 s; the server is slow, not silent.
        await self.open_connections(1)
        self.delay_s = 0.1
        sent = len(self.backend.received)
        for _ in range(10):
            request = make_request(silence_timeout_s=0.04, deadline_s=3)
            self.assertEqual(await read_all(await self.pool.send(request)), b"ok")
        self.assertLessEqual(len(self.backend.received) - sent, 13)

    async def test_response_on_the_suspect_connection_is_used_if_no_new_one_opens(self):
        await self.open_connections(1)
        self.backend.stop_listening()
        self.delay_s = 0.15
        response = await self.pool.send(make_request(silence_timeout_s=0.05))
        self.assertEqual(await read_all(response), b"ok")
        self.assertEqual(self.pool.current.number, 1)

    # An attempt that failed beside another one wrote a traceback to standard output.
    async def test_exception_of_a_superseded_attempt_is_taken(self):
        unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: unhandled.append(context))

        async def fail():
            raise UpstreamError("no response in time", "unknown")

        attempt = asyncio.ensure_future(fail())
        await asyncio.sleep(0)
        await _cancel_and_wait(attempt)
        del attempt
        gc.collect()
        self.assertEqual(unhandled, [])

    async def test_cancelled_resend_leaves_no_connection_open(self):
        await self.open_connections(1)
        self.silent = {1, 2}
        sending = asyncio.ensure_future(
            self.pool.send(make_request(silence_timeout_s=0.05))
        )
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.sleep(0.05)
        self.assertEqual(self.pool.count(), 0)
