from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from geraniumbend.cli import _client
from geraniumbend.errors import ProtocolError


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def test_response_without_end_is_an_error(self):
        """Guards against a command that reads until its memory is full."""

        async def flood(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while True:
                    writer.write(b" " * 65_536)
                    await writer.drain()
            except ConnectionError:
                writer.transport.abort()

        server = await asyncio.start_server(flood, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        with (
            mock.patch.object(_client, "MAX_RESPONSE_BYTES", 1_000_000),
            self.assertRaises(ProtocolError),
        ):
            async with asyncio.timeout(5):
                await _client._request("GET", "/", [f"http://{host}:{port}"], None)
