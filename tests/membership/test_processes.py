from __future__ import annotations

import unittest

from tests.membership.network import Cluster


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, count, **options):
        self.cluster = await Cluster(count, **options).start()
        self.addAsyncCleanup(self.cluster.stop)
        return self.cluster

    def assert_live(self, names):
        for name in self.cluster.nodes:
            self.assertEqual(self.cluster.live(name), sorted(names), name)

    async def test_all_nodes_find_each_other_through_seeds(self):
        cluster = await self.start(13)
        self.assert_live(cluster.names)

    async def test_killed_node_is_dead_everywhere_within_4_seconds(self):
        cluster = await self.start(13)
        cluster.kill("g5")
        await cluster.timers.advance(4.0)
        self.assert_live([n for n in cluster.names if n != "g5"])

    async def test_lost_and_reordered_datagrams_leave_all_nodes_live(self):
        cluster = await self.start(13)
        cluster.network.loss = 0.1
        cluster.network.duplication = cluster.network.reordering = 0.2
        await cluster.timers.advance(30.0)
        self.assert_live(cluster.names)

    async def test_one_way_cut_between_two_nodes_leaves_all_nodes_live(self):
        cluster = await self.start(7)
        cluster.cut(["g1"], ["g2"], both=False)
        await cluster.timers.advance(20.0)
        self.assert_live(cluster.names)

    async def test_leaving_node_is_gone_within_half_a_second(self):
        cluster = await self.start(13)
        await cluster.nodes.pop("g7").stop()
        await cluster.timers.advance(0.5)
        self.assert_live([n for n in cluster.names if n != "g7"])

    async def test_restarted_node_replaces_its_dead_record(self):
        cluster = await self.start(5)
        cluster.kill("g4")
        await cluster.timers.advance(5.0)
        await cluster.boot("g4", incarnation=2)
        await cluster.timers.advance(2.0)
        self.assert_live(cluster.names)

    async def test_restart_with_a_clock_that_went_back_is_still_accepted(self):
        cluster = await self.start(5)
        cluster.kill("g4")
        await cluster.timers.advance(5.0)
        await cluster.boot("g4", incarnation=0)
        await cluster.timers.advance(2.0)
        self.assert_live(cluster.names)

    async def test_thawed_node_comes_back_under_a_higher_incarnation(self):
        cluster = await self.start(5)
        node = cluster.nodes["g3"]
        before = {m.name: m.incarnation for m in node.members()}["g3"]
        cluster.freeze("g3")
        await cluster.timers.advance(60.0)
        self.assertNotIn("g3", cluster.live("g0"))
        cluster.thaw("g3")
        await cluster.timers.advance(3.0)
        self.assert_live(cluster.names)
        after = {m.name: m.incarnation for m in cluster.nodes["g0"].members()}
        self.assertGreater(after["g3"], before)

    async def test_two_partitions_merge_after_the_cut_is_healed(self):
        cluster = await self.start(6)
        cluster.cut(cluster.names[:3], cluster.names[3:])
        await cluster.timers.advance(20.0)
        self.assertEqual(cluster.live("g0"), cluster.names[:3])
        self.assertEqual(cluster.live("g5"), cluster.names[3:])
        cluster.heal()
        await cluster.timers.advance(15.0)
        self.assert_live(cluster.names)

    async def test_killed_node_is_detected_while_another_is_cut_off(self):
        cluster = await self.start(9)
        cluster.cut(["g8"], cluster.names[:8])
        cluster.kill("g4")
        await cluster.timers.advance(6.0)
        rest = [n for n in cluster.names if n not in ("g4", "g8")]
        for name in rest:
            self.assertEqual(cluster.live(name), rest)
