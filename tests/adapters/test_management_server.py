from __future__ import annotations

import asyncio
import unittest

from aiohttp.web_response import Response

from geraniumbend.adapters.management_server import BodyReader, ManagementServer
from geraniumbend.errors import RefusedError
from geraniumbend.settings import ListenSettings

LIMIT_BYTES = 200_000
SHARED_BYTES = 500_000


class BodyReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = BodyReader(LIMIT_BYTES, SHARED_BYTES, timeout_s=1.0)
        self.server = ManagementServer(ListenSettings("127.0.0.1", 0), self.handle)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.most_held = 0

    async def handle(self, request):
        try:
            body = await self.bodies.read(request)
        except RefusedError as error:
            return Response(status=error.status)
        finally:
            self.most_held = max(self.most_held, self.bodies._held_bytes)
        return Response(body=str(len(body)).encode())

    async def send(self, declared, sent):
        """Send a part of a body and return the status, None if there is no answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {declared}\r\n\r\n"
        writer.write(head.encode() + b"x" * sent)
        try:
            async with asyncio.timeout(3.0):
                line = await reader.readline()
        finally:
            writer.transport.abort()
        return int(line.split()[1]) if line else None

    async def test_whole_body_is_read(self):
        self.assertEqual(await self.send(LIMIT_BYTES, LIMIT_BYTES), 200)

    async def test_body_beyond_its_limit_is_refused(self):
        self.assertEqual(await self.send(10 * LIMIT_BYTES, LIMIT_BYTES + 70_000), 413)

    async def test_unfinished_bodies_share_a_limit(self):
        """Guards against a host that keeps all bodies which nobody finishes."""
        unfinished = [self.send(LIMIT_BYTES, LIMIT_BYTES - 1) for _ in range(12)]
        statuses = await asyncio.gather(*unfinished)
        self.assertEqual(set(statuses), {408, 503})
        # One piece of a body may be read beyond the limit.
        self.assertLess(self.most_held, SHARED_BYTES + 300_000)
        self.assertEqual(self.bodies._held_bytes, 0)
        self.assertEqual(await self.send(LIMIT_BYTES, LIMIT_BYTES), 200)

    async def test_caller_that_sends_its_whole_body_gets_the_refusal(self):
        """Guards against a reset in place of the refusal of a long, slow upload."""
        size = 20 * LIMIT_BYTES
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
        writer.write(head + b"x" * 2 * LIMIT_BYTES)
        for _ in range(18):
            await asyncio.sleep(0.15)
            writer.write(b"x" * LIMIT_BYTES)
            await writer.drain()
        async with asyncio.timeout(3.0):
            received = await reader.read()
        self.assertTrue(received.startswith(b"HTTP/1.1 413"), received)
        self.assertIn(b"Connection: close", received)
