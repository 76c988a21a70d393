"""Entries of backend servers that another writer left, beside proper ones."""

from __future__ import annotations

import unittest

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._record_batches import pack_batch, unpack_batch
from geraniumbend.membership._records import MAX_VALUE_BYTES
from tests.membership.network import Cluster, announcement

MALFORMED_VALUES = (
    {"incarnation": 1 << 63},
    {"incarnation": 1 << 64},
    {"incarnation": 0},
    {"slots": 1 << 31},
    {"slots": 0},
    {"connection_limit": 1 << 31},
    {"port": 70_000},
    {"host": ""},
    {"failure_domain": "a" * 100_000},
    {"labels": {"app": "a" * 100_000}},
)


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, count):
        cluster = Cluster(count)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        return cluster

    # A number that a record can't hold made each gossip message with it fail.
    async def test_entry_with_a_value_out_of_range_is_refused_and_the_others_hold(self):
        cluster = await self.open(2)
        cluster.nodes["g0"].announce(announcement("good"))
        for changes in MALFORMED_VALUES:
            odd = announcement("odd")
            odd = odd._replace(server=odd.server._replace(**changes))
            with self.assertRaises(ProtocolError, msg=str(changes)[:60]):
                cluster.nodes["g0"].announce(odd)
        for incarnation in (1 << 63, 1 << 64, -1):
            with self.assertRaises(ProtocolError):
                cluster.nodes["g0"].deregister("odd", incarnation)
        cluster.nodes["g0"].announce(announcement("later"))
        await cluster.timers.advance(3.0)
        self.assertEqual(sorted(cluster.nodes["g1"].servers()), ["good", "later"])

    # One malformed record made its receivers drop the whole message, and with it the
    # records of all other servers.
    async def test_malformed_record_of_a_peer_does_not_hide_the_others(self):
        cluster = await self.open(1)
        cluster.nodes["g0"].announce(announcement("good"))
        (good,) = cluster.nodes["g0"].server_records()
        bad = good._replace(key="bad", value=b"x" * (MAX_VALUE_BYTES + 1))
        self.assertEqual(unpack_batch(pack_batch([bad, good])), [good])
