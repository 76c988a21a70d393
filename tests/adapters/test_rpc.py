from __future__ import annotations

import asyncio
import os
import random
import unittest
import unittest.mock

import uvloop

from geraniumbend.adapters._rpc_frames import FrameChannel
from geraniumbend.adapters.rpc import RpcClient, RpcServer
from geraniumbend.errors import NotLeaderError, UnavailableError
from geraniumbend.keys import KeyRing
from geraniumbend.wire import load_structs

SECRET = b"0123456789abcdef"


class RpcTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = RpcServer("127.0.0.1", 0, KeyRing([(1, SECRET)]))

        @self.server.handle("echo")
        async def echo(body):
            return body

        @self.server.handle("follow")
        async def follow(body):
            raise NotLeaderError("not here", "ask the leader", "127.0.0.1:9")

        @self.server.handle("hang")
        async def hang(body):
            await asyncio.sleep(60)
            return b""

        await self.server.start()
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = RpcClient(self.address, KeyRing([(1, SECRET)]))

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop()

    async def test_concurrent_calls_get_their_own_responses(self):
        bodies = [os.urandom(100) for _ in range(50)]
        calls = [self.client.call("echo", body, 2) for body in bodies]
        self.assertEqual(await asyncio.gather(*calls), bodies)

    async def test_typed_error_crosses_the_wire_with_its_detail(self):
        with self.assertRaises(NotLeaderError) as caught:
            await self.client.call("follow", b"", 2)
        self.assertEqual(caught.exception.leader, "127.0.0.1:9")

    async def test_cancellation_at_the_time_of_the_response_ends_the_call(self):
        # If the cancellation were lost, the process would never stop.
        response = asyncio.get_running_loop().create_future()

        async def exchange(*unused):
            return await response

        self.client._send_request = exchange
        calling = asyncio.ensure_future(self.client.call("echo", b"", 2))
        await asyncio.sleep(0.01)
        response.set_result(load_structs().RpcMessage(call_id=1))
        calling.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await calling

    async def test_connection_is_tried_anew_when_its_first_packet_was_lost(self):
        """Guards against a start that waits a second for TCP to repeat a packet."""
        open_connection = asyncio.open_connection
        attempts = []

        async def lose_first(*arguments, **options):
            attempts.append(asyncio.get_running_loop().time())
            if len(attempts) == 1:
                await asyncio.sleep(60)
            return await open_connection(*arguments, **options)

        with unittest.mock.patch.object(asyncio, "open_connection", lose_first):
            self.assertEqual(await self.client.call("echo", b"x", 0.9), b"x")
        self.assertEqual(len(attempts), 2)

    async def test_peer_with_a_long_round_trip_can_be_connected(self):
        """Guards against attempts that are all shorter than the way to a far region."""
        open_connection = asyncio.open_connection

        async def delay(*arguments, **options):
            await asyncio.sleep(0.25)
            return await open_connection(*arguments, **options)

        with unittest.mock.patch.object(asyncio, "open_connection", delay):
            self.assertEqual(await self.client.call("echo", b"x", 2.0), b"x")

    async def test_slow_call_times_out_without_affecting_others(self):
        with self.assertRaises(UnavailableError):
            await self.client.call("hang", b"", 0.05)
        self.assertEqual(await self.client.call("echo", b"x", 2), b"x")

    async def test_calls_after_a_timeout_avoid_a_silent_connection(self):
        relay, silence = await self._start_relay()
        address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
        client = RpcClient(address, KeyRing([(1, SECRET)]))
        self.assertEqual(await client.call("echo", b"a", 2), b"a")
        silence.set()
        with self.assertRaises(UnavailableError):
            await client.call("echo", b"b", 0.3)
        self.assertEqual(await client.call("echo", b"c", 2), b"c")
        await client.close()
        relay.close()

    async def _start_relay(self):
        """Start a relay; setting the event silences the connections opened before."""
        silence = asyncio.Event()

        async def relay(reader, writer):
            silent = not silence.is_set()
            server = await asyncio.open_connection("127.0.0.1", self.server.port)

            async def copy(source, sink):
                while data := await source.read(4096):
                    if not (silent and silence.is_set()):
                        sink.write(data)
                sink.close()

            await asyncio.gather(copy(reader, server[1]), copy(server[0], writer))

        return await asyncio.start_server(relay, "127.0.0.1", 0), silence

    async def test_frame_signed_with_another_key_is_rejected_and_counted(self):
        unauthorized = RpcClient(self.address, KeyRing([(1, b"another-secret-16")]))
        with self.assertRaises(UnavailableError):
            await unauthorized.call("echo", b"x", 1)
        self.assertEqual(self.server.counts.rejected, 1)
        self.assertEqual(self.server.counts.calls, 0)
        await unauthorized.close()

    async def test_recorded_frame_is_rejected_on_another_connection(self):
        recorded = await self._record_one_call()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(recorded)
        await reader.read(20)
        self.assertEqual(await asyncio.wait_for(reader.read(), 2), b"")
        writer.close()
        self.assertEqual(self.server.counts.rejected, 1)

    async def test_sending_on_a_closed_connection_is_a_connection_error(self):
        # uvloop raises RuntimeError, which callers would get as status 500.
        keys = KeyRing([(1, SECRET)])

        async def send_after_close():
            server = await asyncio.start_server(lambda *streams: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            streams = await asyncio.open_connection("127.0.0.1", port)
            channel = FrameChannel(*streams, keys, is_client=True)
            channel.close()
            await asyncio.sleep(0.05)
            with self.assertRaises(ConnectionError):
                channel.send(b"x")
            server.close()

        await asyncio.to_thread(uvloop.run, send_after_close())

    async def test_frame_above_the_maximum_length_is_rejected(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GBR1" + bytes(16) + b"\xff" * 13)
        await reader.read(20)
        self.assertEqual(await asyncio.wait_for(reader.read(), 2), b"")
        writer.close()
        self.assertEqual(self.server.counts.rejected, 1)

    async def test_random_bytes_close_only_their_own_connection(self):
        rng = random.Random(1)
        hello = b"GBR1" + bytes(16)
        for number in range(60):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.server.port
            )
            head = hello if number % 2 else b""
            writer.write(head + rng.randbytes(rng.randrange(200)))
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 2)
            writer.close()
        self.assertEqual(await self.client.call("echo", b"x", 2), b"x")
        self.assertEqual(self.server.counts.calls, 1)
        self.assertGreater(self.server.counts.rejected, 20)

    async def _record_one_call(self):
        recorded = bytearray()

        async def relay(reader, writer):
            backend = await asyncio.open_connection("127.0.0.1", self.server.port)

            async def copy(source, sink, keep):
                while data := await source.read(4096):
                    if keep:
                        recorded.extend(data)
                    sink.write(data)

            backward = asyncio.ensure_future(copy(backend[0], writer, False))
            await copy(reader, backend[1], True)
            backend[1].close()
            await backward

        proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
        port = proxy.sockets[0].getsockname()[1]
        client = RpcClient(f"127.0.0.1:{port}", KeyRing([(1, SECRET)]))
        await client.call("echo", b"once", 2)
        await client.close()
        proxy.close()
        return bytes(recorded)
