from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.errors import ProtocolError
from geraniumbend.membership import GatewayShares, RateTotals
from geraniumbend.membership._records import unpack_records
from geraniumbend.wire import decode, load_structs
from tests.fuzzing import fuzz
from tests.membership.network import Cluster


class RecordsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, count, **options):
        self.cluster = await Cluster(count, **options).start()
        self.addAsyncCleanup(self.cluster.stop)
        return self.cluster

    def found(self, kind):
        return [node.records(kind) for node in self.cluster.nodes.values()]

    async def test_record_reaches_all_and_expires_everywhere(self):
        cluster = await self.start(5)
        seen = []
        cluster.nodes["g4"].subscribe_records("note", lambda *call: seen.append(call))
        cluster.nodes["g1"].publish("note", "k", b"v", 5.0)
        await cluster.timers.advance(1.0)
        self.assertEqual(self.found("note"), [{("g1", "k"): b"v"}] * 5)
        await cluster.timers.advance(6.0)
        self.assertEqual(self.found("note"), [{}] * 5)
        self.assertEqual(seen, [("g1", "k", b"v"), ("g1", "k", None)])

    async def test_withdrawn_record_does_not_come_back_from_a_partition(self):
        cluster = await self.start(4)
        cluster.nodes["g1"].publish("note", "k", b"v", 300.0)
        await cluster.timers.advance(1.0)
        cluster.cut(["g3"], ["g0", "g1", "g2"])
        cluster.nodes["g1"].publish("note", "k", b"", 0.0)
        await cluster.timers.advance(20.0)
        cluster.heal()
        await cluster.timers.advance(20.0)
        self.assertEqual(self.found("note"), [{}] * 4)

    async def test_restarted_publisher_supersedes_what_it_published_before(self):
        cluster = await self.start(3)
        for value in (b"1", b"2", b"3"):
            cluster.nodes["g2"].publish("note", "k", value, 300.0)
        await cluster.timers.advance(1.0)
        cluster.kill("g2")
        await cluster.timers.advance(5.0)
        await cluster.boot("g2", incarnation=2)
        await cluster.timers.advance(1.0)
        self.assertEqual(self.found("note"), [{("g2", "k"): b"3"}] * 3)
        cluster.nodes["g2"].publish("note", "k", b"4", 300.0)
        await cluster.timers.advance(2.0)
        self.assertEqual(self.found("note"), [{("g2", "k"): b"4"}] * 3)

    async def test_revision_of_each_process_is_seen_within_2_seconds(self):
        cluster = await self.start(13)
        for number, node in enumerate(cluster.nodes.values()):
            node.set_revision(100 + number)
        await cluster.timers.advance(2.0)
        for node in cluster.nodes.values():
            revisions = {m.name: m.revision for m in node.members()}
            self.assertEqual(sorted(revisions.values()), list(range(100, 113)))

    async def notify(self, timeout_s=0.3):
        sending = asyncio.ensure_future(
            self.cluster.nodes["g0"].notify_peers("alarm", b"now", timeout_s)
        )
        await self.cluster.timers.advance(timeout_s)
        return await sending

    async def test_notice_reaches_all_live_gateways_once_despite_losses(self):
        cluster = await self.start(9)
        got = []
        for name, node in cluster.nodes.items():
            node.subscribe_records("alarm", lambda *call, n=name: got.append((n, call)))
        cluster.network.loss, cluster.network.duplication = 0.2, 0.3
        self.assertEqual(await self.notify(), cluster.names[1:])
        self.assertEqual(sorted(n for n, _ in got), cluster.names[1:])
        self.assertEqual({call for _, call in got}, {("g0", "", b"now")})

    async def test_notice_names_only_the_gateways_that_acknowledged(self):
        cluster = await self.start(4)
        cluster.freeze("g2")
        self.assertEqual(await self.notify(), ["g1", "g3"])

    async def test_bytes_stay_within_the_budget_under_a_flood_of_changes(self):
        cluster = await self.start(13)
        cluster.network.bytes.clear()
        for second in range(20):
            for node in cluster.nodes.values():
                for key in range(20):
                    node.publish("note", str(key), b"%d" % second * 50, 300.0)
            await cluster.timers.advance(1.0)
        # A burst of one second is allowed in addition to the 20 seconds.
        for sent in cluster.network.bytes.values():
            self.assertLess(sent, 21 * 18_000)


class SharesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, count, minimum):
        cluster = await Cluster(count).start()
        self.addAsyncCleanup(cluster.stop)
        self.cluster = cluster
        self.shares = {
            name: GatewayShares(
                node, RateTotals(node, cluster.timers), minimum, cluster.timers
            )
            for name, node in cluster.nodes.items()
        }
        await self.sample_shares(5.0)

    async def sample_shares(self, seconds, demand=None):
        values = []
        for _ in range(int(seconds * 10)):
            for name, amount in (demand or {}).items():
                self.shares[name].record_demand("g", amount)
            values.append(self.shares["g0"].gateway_share())
            await self.cluster.timers.advance(0.1)
        return values

    async def test_share_follows_the_live_gateways_in_small_steps(self):
        await self.start(4, 1)
        self.assertAlmostEqual(self.shares["g0"].gateway_share(), 1 / 4, places=3)
        self.cluster.kill("g3")
        values = await self.sample_shares(30.0)
        self.assertAlmostEqual(values[-1], 1 / 3, places=2)
        steps = [b - a for a, b in itertools.pairwise(values)]
        self.assertLess(max(steps), 0.01)

    async def test_partitioned_gateway_never_exceeds_the_minimum_of_the_settings(self):
        await self.start(5, 4)
        self.cluster.cut(["g0"], self.cluster.names[1:])
        values = await self.sample_shares(40.0, {"g0": 1.0})
        self.assertEqual(self.cluster.live("g0"), ["g0"])
        self.assertLessEqual(max(values), 1 / 4)
        self.assertLessEqual(self.shares["g0"].demand_share("g"), 1 / 4)

    async def test_demand_shares_follow_the_demand(self):
        await self.start(3, 1)
        await self.sample_shares(10.0, {"g0": 6.0, "g1": 3.0, "g2": 1.0})
        found = [self.shares[name].demand_share("g") for name in ("g0", "g1", "g2")]
        for share, expected in zip(found, (0.6, 0.3, 0.1), strict=True):
            self.assertAlmostEqual(share, expected, delta=0.06)
        self.assertEqual(
            self.shares["g0"].demand_share("unknown"),
            self.shares["g0"].gateway_share(),
        )


class MessageFuzzTest(unittest.IsolatedAsyncioTestCase):
    async def test_any_payload_is_dropped_and_counted_or_harmless(self):
        cluster = await Cluster(2).start(1.0)
        self.addAsyncCleanup(cluster.stop)
        node = cluster.nodes["g0"]
        recorded = []
        port = cluster.network.ports[cluster.address("g0")]
        deliver = port.callback
        port.callback = lambda source, data: (
            recorded.append(data),
            deliver(source, data),
        )
        await cluster.timers.advance(3.0)
        rng = random.Random(1)

        @fuzz(max_examples=300)
        @given(st.binary(max_size=300))
        def any_bytes(data):
            port.callback("10.9.9.9:1", data)

        any_bytes()
        for original in recorded[:20]:
            for _ in range(50):
                data = bytearray(original)
                data[rng.randrange(len(data))] = rng.randrange(256)
                port.callback("10.9.9.9:1", bytes(data[: rng.randrange(len(data) + 1)]))
        self.assertGreater(node.dump()["rejected"]["messages"], 100)
        await cluster.timers.advance(3.0)
        self.assertIn("g1", cluster.live("g0"))

    def test_any_digest_message_is_read_or_a_typed_error(self):
        structs = load_structs("membership")

        @fuzz(max_examples=300)
        @given(st.binary(max_size=200))
        def check(data):
            for kind in (structs.DigestRequest, structs.ExchangeMessage):
                try:
                    message = decode(kind, data)
                    unpack_records(getattr(message, "records", None))
                except ProtocolError:
                    pass

        check()
