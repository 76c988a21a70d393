"""Connections to the peer port that never prove that they belong to the cluster."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from geraniumbend.adapters import _rpc_server
from geraniumbend.adapters._rpc_frames import (
    HEADER,
    HELLO_BYTES,
    MAGIC,
    MAX_FRAME_BYTES,
    NONCE_BYTES,
)
from geraniumbend.adapters._rpc_server import UNVERIFIED_LIMIT_BYTES
from geraniumbend.adapters.rpc import RpcClient, RpcServer
from geraniumbend.keys import KeyRing

KEYS = [(1, b"0123456789abcdef")]
CONNECTIONS = 50


class UnverifiedPeersTest(unittest.IsolatedAsyncioTestCase):
    async def start_server(self):
        server = RpcServer("127.0.0.1", 0, KeyRing(KEYS))
        server.handle("echo")(self.echo)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def echo(self, body):
        return body

    async def connect(self, server, header=b""):
        """Open a connection, exchange nonces, and send the header of a frame."""
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        self.addCleanup(writer.close)
        writer.write(MAGIC + bytes(NONCE_BYTES) + header)
        await reader.readexactly(HELLO_BYTES)
        return reader

    async def call(self, server):
        client = RpcClient(f"127.0.0.1:{server.port}", KeyRing(KEYS))
        self.addAsyncCleanup(client.close)
        return await client.call("echo", b"x", 1)

    async def test_long_frames_of_many_unknown_peers_are_refused(self):
        """Guards against memory that anyone who reaches the port can fill."""
        server = await self.start_server()
        header = HEADER.pack(MAX_FRAME_BYTES - 100, 1, 0)
        readers = [await self.connect(server, header) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.05)
        closed = sum(reader.at_eof() for reader in readers)
        kept = UNVERIFIED_LIMIT_BYTES // MAX_FRAME_BYTES
        self.assertEqual(closed, CONNECTIONS - kept)
        self.assertEqual(await self.call(server), b"x")

    async def test_peer_that_never_completes_a_frame_is_closed(self):
        with mock.patch.object(_rpc_server, "FIRST_FRAME_TIMEOUT_S", 0.1):
            server = await self.start_server()
            silent = await self.connect(server)
            partial = await self.connect(server, HEADER.pack(1000, 1, 0))
            for reader in (silent, partial):
                self.assertEqual(await asyncio.wait_for(reader.read(), 1), b"")
        self.assertEqual(await self.call(server), b"x")

    async def test_verified_peer_may_be_idle_and_send_long_frames(self):
        with mock.patch.object(_rpc_server, "FIRST_FRAME_TIMEOUT_S", 0.1):
            server = await self.start_server()
            client = RpcClient(f"127.0.0.1:{server.port}", KeyRing(KEYS))
            self.addAsyncCleanup(client.close)
            await client.call("echo", b"x", 1)
            await asyncio.sleep(0.2)
            body = bytes(4 * 1024 * 1024)
            self.assertEqual(await client.call("echo", body, 5), body)
