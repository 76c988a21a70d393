from __future__ import annotations

import asyncio
import ssl
import tempfile
import unittest
from pathlib import Path

import aiohttp

from geraniumbend.adapters.announce_listener import AnnounceListener
from geraniumbend.adapters.http_listener import HttpListener
from geraniumbend.errors import RefusedError
from geraniumbend.membership import AnnouncementApi
from geraniumbend.settings import ListenSettings
from tests.test_certificates import write_certificate


class FakeSource:
    def is_ready(self):
        return True


async def refuse(request):
    raise RefusedError("full")


class ListenersTlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against listeners that accept plain text or ignore their tls settings."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        tls = write_certificate(Path(folder.name), "a")
        self.listen = ListenSettings(tls=tls)
        self.trust = ssl.create_default_context(cafile=tls.certificate)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def check(self, port, status):
        address = f"//127.0.0.1:{port}/readyz"
        async with self.session.get(f"https:{address}", ssl=self.trust) as response:
            self.assertEqual(response.status, status)
        with self.assertRaises((aiohttp.ClientError, asyncio.TimeoutError)):
            await self.session.get(
                f"http:{address}", timeout=aiohttp.ClientTimeout(total=2)
            )

    async def test_caller_listener(self):
        listener = HttpListener(refuse, self.listen)
        await listener.start()
        try:
            await self.check(listener.port, 503)
        finally:
            await listener.stop(0.1)

    async def test_announce_listener(self):
        listener = AnnounceListener(
            self.listen, FakeSource(), AnnouncementApi(None, None)
        )
        await listener.start()
        try:
            await self.check(listener.port, 200)
        finally:
            await listener.stop()
