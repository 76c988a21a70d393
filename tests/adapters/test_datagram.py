from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.adapters._datagram_frames import DATA, WINDOW, DatagramFrames
from geraniumbend.adapters.datagram import MAX_PAYLOAD_BYTES, Datagrams
from geraniumbend.adapters.rpc import RpcClient, RpcServer
from geraniumbend.errors import GeraniumbendError, ProtocolError, SettingsError
from geraniumbend.keys import KeyRing
from tests.fuzzing import fuzz

OLD, NEW = (1, b"0123456789abcdef"), (2, b"fedcba9876543210")


class FramesTest(unittest.TestCase):
    def setUp(self):
        self.sender = DatagramFrames("a", KeyRing([OLD]), boot=100)
        self.receiver = DatagramFrames("b", KeyRing([OLD]), boot=200)

    def seal(self, payload=b"x", receiver_boot=200):
        return self.sender.seal(DATA, receiver_boot, payload)

    def assert_refused(self, datagram, receiver=None):
        with self.assertRaises(GeraniumbendError):
            (receiver or self.receiver).open(datagram)

    def test_datagram_is_accepted_once_in_any_order(self):
        first, second = self.seal(b"1"), self.seal(b"2")
        self.assertEqual(self.receiver.open(second).payload, b"2")
        self.assertEqual(self.receiver.open(first).payload, b"1")
        self.assert_refused(first)
        self.assert_refused(second)

    def test_datagram_older_than_the_window_is_refused(self):
        old = self.seal()
        for _ in range(WINDOW):
            newest = self.seal()
        self.receiver.open(newest)
        self.assert_refused(old)

    def test_datagram_of_an_earlier_boot_of_the_sender_is_refused(self):
        old = self.seal()
        restarted = DatagramFrames("a", KeyRing([OLD]), boot=101)
        self.receiver.open(restarted.seal(DATA, 200, b"new"))
        self.assert_refused(old)

    def test_datagram_recorded_before_the_receiver_restarted_is_not_used(self):
        recorded = self.seal(b"old state")
        restarted = DatagramFrames("b", KeyRing([OLD]), boot=201)
        self.assertEqual(restarted.open(recorded).payload, b"")

    def test_every_flipped_bit_is_refused(self):
        datagram = self.seal()
        for position in range(8 * len(datagram)):
            damaged = bytearray(datagram)
            damaged[position // 8] ^= 1 << position % 8
            self.assert_refused(bytes(damaged))

    def test_random_bytes_are_refused(self):
        @fuzz(max_examples=300)
        @given(st.binary(max_size=200) | st.binary(max_size=90).map(b"GBU1".__add__))
        def check(data):
            self.assert_refused(data)

        check()

    def test_replay_window_agrees_with_a_set_of_seen_numbers(self):
        @fuzz(max_examples=100)
        @given(st.lists(st.integers(0, 2 * WINDOW), min_size=1, max_size=80))
        def check(order):
            sender = DatagramFrames("a", KeyRing([OLD]), boot=100)
            receiver = DatagramFrames("b", KeyRing([OLD]), boot=200)
            sealed = [sender.seal(DATA, 200, b"") for _ in range(2 * WINDOW + 1)]
            seen, highest = set(), 0
            for number in order:
                expected = number not in seen and number > highest - WINDOW
                try:
                    receiver.open(sealed[number])
                    accepted = True
                except GeraniumbendError:
                    accepted = False
                self.assertEqual(accepted, expected)
                seen.add(number)
                highest = max(highest, number)

        check()


class SocketCase(unittest.IsolatedAsyncioTestCase):
    async def open(self, name, *keys, boot=None, port=0):
        socket = Datagrams(name, "127.0.0.1", port, KeyRing(keys or [OLD]), boot)
        socket.received = []
        socket.on_receive(lambda address, payload: socket.received.append(payload))
        await socket.start()
        self.addAsyncCleanup(socket.stop)
        return socket

    async def wait_until(self, condition):
        for _ in range(200):
            if condition():
                return True
            await asyncio.sleep(0.01)
        return False

    async def exchange(self, one, other, payload):
        one.send(other.address, payload)
        return await self.wait_until(lambda: payload in other.received)


class DatagramsTest(SocketCase):
    async def test_payloads_arrive_in_both_directions(self):
        one, other = await self.open("a"), await self.open("b")
        self.assertTrue(await self.exchange(one, other, b"first"))
        self.assertTrue(await self.exchange(other, one, b"back"))

    async def test_restarted_receiver_gets_datagrams_again(self):
        one, other = await self.open("a"), await self.open("b")
        self.assertTrue(await self.exchange(one, other, b"first"))
        await other.stop()
        restarted = await self.open("b", port=other.port)
        one.send(restarted.address, b"lost with the earlier boot time")
        await asyncio.sleep(0.1)
        self.assertTrue(await self.exchange(one, restarted, b"second"))

    async def test_sender_whose_clock_was_set_back_is_accepted_after_correction(self):
        one, other = await self.open("a", boot=1000), await self.open("b")
        self.assertTrue(await self.exchange(one, other, b"first"))
        await one.stop()
        restarted = await self.open("a", boot=500, port=one.port)
        restarted.send(other.address, b"refused")
        await asyncio.sleep(0.2)
        self.assertTrue(await self.exchange(restarted, other, b"second"))

    async def test_unknown_key_and_invalid_sizes_are_counted_as_rejected(self):
        one = await self.open("a")
        unauthorized = await self.open("x", (1, b"another-secret-16"))
        unauthorized.send(one.address, b"payload")
        unauthorized._transport.sendto(b"\xff" * 9000, ("127.0.0.1", one.port))
        unauthorized._transport.sendto(b"", ("127.0.0.1", one.port))
        self.assertTrue(await self.wait_until(lambda: one.counts.rejected >= 2))
        self.assertEqual(one.received, [])
        with self.assertRaises(ProtocolError):
            one.send(unauthorized.address, b"x" * (MAX_PAYLOAD_BYTES + 1))

    async def test_malformed_peer_address_does_not_break_the_socket(self):
        one, other = await self.open("a"), await self.open("b")
        for address in ("", "nowhere", "10.0.0.1:", "10.0.0.1:99999", "name:80"):
            one.send(address, b"x")
        self.assertTrue(await self.exchange(one, other, b"works"))


class RotationTest(SocketCase):
    async def test_keys_rotate_step_by_step_under_live_traffic(self):
        rings = {name: KeyRing([OLD]) for name in "ab"}
        sockets = {}
        for name, ring in rings.items():
            sockets[name] = await self.open(name)
            sockets[name]._frames._keys = ring
        server = RpcServer("127.0.0.1", 0, rings["b"])

        @server.handle("echo")
        async def echo(body):
            return body

        await server.start()
        self.addAsyncCleanup(server.stop)
        client = RpcClient(f"127.0.0.1:{server.port}", rings["a"])
        self.addAsyncCleanup(client.close)
        number = 0

        async def check():
            nonlocal number
            number += 1
            payload = b"%d" % number
            self.assertTrue(await self.exchange(sockets["a"], sockets["b"], payload))
            self.assertTrue(await self.exchange(sockets["b"], sockets["a"], payload))
            self.assertEqual(await client.call("echo", payload, 2), payload)

        await check()
        for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
            for ring in rings.values():
                ring.replace(keys)
                await check()
        self.assertEqual(sockets["b"].counts.rejected, 0)
        self.assertEqual(server.counts.rejected, 0)
        unauthorized = await self.open("c", OLD)
        unauthorized.send(sockets["a"].address, b"old key")
        self.assertTrue(await self.wait_until(lambda: sockets["a"].counts.rejected))

    def test_number_in_use_cannot_get_another_secret(self):
        ring = KeyRing([OLD])
        with self.assertRaises(SettingsError):
            ring.replace([(OLD[0], NEW[1])])
        self.assertEqual(ring.active, OLD[0])
