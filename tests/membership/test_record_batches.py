"""Bytes that a process receives when it joins a large cluster over a thin link."""

from __future__ import annotations

import unittest
import zlib

from geraniumbend.errors import ProtocolError
from geraniumbend.membership import _record_batches
from geraniumbend.membership._anti_entropy import EXCHANGE_METHOD
from geraniumbend.membership._record_batches import pack_batch, unpack_batch
from geraniumbend.membership._records import SERVER
from geraniumbend.wire import decode, encode, load_structs
from tests.membership.network import Cluster, announcement

SERVERS = 480
# A link of 2 Mbit/s carries this many bytes in 0.1 s.
LINK_BYTES_IN_100_MS = 25_000


def announce_many(node, count=SERVERS):
    for number in range(count):
        labels = {"service": f"group-{number % 3}", "version": "v1"}
        one = announcement(f"i-{number * 7919:010x}", labels=labels)
        node.announce(one._replace(lease_s=60.0))


class JoiningTest(unittest.IsolatedAsyncioTestCase):
    async def open(self):
        cluster = await Cluster(3).start()
        self.addAsyncCleanup(cluster.stop)
        announce_many(cluster.nodes["g0"])
        await cluster.timers.advance(20.0)
        return cluster

    def count_bytes(self, cluster, change=lambda body: body):
        """Count the bytes of all responses with records; `change` edits requests."""
        sizes = []
        for handlers in cluster.network.servers.values():
            handler = handlers[EXCHANGE_METHOD]

            async def count(body, handler=handler):
                response = await handler(change(body))
                sizes.append(len(response))
                return response

            handlers[EXCHANGE_METHOD] = count
        return sizes

    async def test_state_of_many_servers_reaches_a_new_process_in_few_bytes(self):
        """Guards against a start that waits for its link."""
        cluster = await self.open()
        sizes = self.count_bytes(cluster)
        node = await cluster.boot("g3")
        await cluster.timers.advance(1.0)
        self.assertEqual(len(node.servers()), SERVERS)
        self.assertLessEqual(sum(sizes), LINK_BYTES_IN_100_MS)

    async def test_process_of_an_earlier_release_gets_plain_records(self):
        cluster = await self.open()
        structs = load_structs("membership")

        def forget(body):
            message = decode(structs.ExchangeMessage, body)
            self.assertFalse(message.packed_records and message.records)
            message.accepts_packed = False
            return encode(message)

        sizes = self.count_bytes(cluster, forget)
        node = await cluster.boot("g3")
        await cluster.timers.advance(1.0)
        self.assertEqual(len(node.servers()), SERVERS)
        self.assertGreater(sum(sizes), LINK_BYTES_IN_100_MS)

    async def test_records_go_both_ways_after_a_partition(self):
        cluster = await self.open()
        cluster.cut(["g0"], ["g1", "g2"])
        cluster.nodes["g0"].announce(announcement("left")._replace(lease_s=60.0))
        cluster.nodes["g1"].announce(announcement("right")._replace(lease_s=60.0))
        await cluster.timers.advance(2.0)
        cluster.heal()
        await cluster.timers.advance(20.0)
        names = sorted(cluster.nodes)
        self.assertEqual(cluster.nodes_that_know("left"), names)
        self.assertEqual(cluster.nodes_that_know("right"), names)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def build(self, count=5):
        cluster = await Cluster(1).start()
        self.addAsyncCleanup(cluster.stop)
        announce_many(cluster.nodes["g0"], count)
        table = cluster.nodes["g0"]._table
        return [entry.record for entry in table.entries(SERVER)]

    async def test_batch_holds_the_same_records(self):
        records = await self.build()
        self.assertEqual(unpack_batch(pack_batch(records)), records)
        self.assertEqual(unpack_batch(pack_batch([])), [])

    async def test_damaged_or_incomplete_batch_is_refused(self):
        data = pack_batch(await self.build())
        for damaged in (data[:-3], data[:10], b"\xff" + data[1:], b"\0"):
            with self.subTest(size=len(damaged)), self.assertRaises(ProtocolError):
                unpack_batch(damaged)

    def test_batch_that_grows_without_end_is_refused(self):
        """Guards against a peer that fills the memory with a few kilobytes."""
        data = zlib.compress(bytes(4 * _record_batches.MAX_BATCH_BYTES), 9)
        with self.assertRaisesRegex(ProtocolError, "exceeds"):
            unpack_batch(data)
