from __future__ import annotations

import unittest

from geraniumbend.errors import ConflictError
from tests.membership.network import Cluster, announcement


class ServersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, count=5, **options):
        self.cluster = await Cluster(count, **options).start()
        self.addAsyncCleanup(self.cluster.stop)
        return self.cluster

    async def renew(self, seconds, gateway, *announcements):
        """Announce every 3 s at one gateway while advancing the clock."""
        for _ in range(int(seconds // 3)):
            for one in announcements:
                self.cluster.nodes[gateway].announce(one)
            await self.cluster.timers.advance(3.0)

    def assert_known(self, server_id, known=True):
        names = sorted(self.cluster.nodes) if known else []
        self.assertEqual(self.cluster.nodes_that_know(server_id), names)

    async def test_announcement_at_one_gateway_reaches_all_within_a_second(self):
        cluster = await self.start(13)
        cluster.nodes["g3"].announce(announcement())
        await cluster.timers.advance(1.0)
        self.assert_known("s1")

    async def test_renewals_at_one_gateway_keep_the_server_everywhere(self):
        await self.start()
        await self.renew(60, "g1", announcement())
        self.assert_known("s1")

    async def test_renewals_cost_no_gossip(self):
        cluster = await self.start()
        await self.renew(30, "g1", announcement())
        before = (
            cluster.nodes["g1"]._published_records._minor,
            len(cluster.nodes["g1"]._table),
        )
        record = cluster.nodes["g0"]._table.get("server", "", "s1").record
        await self.renew(30, "g1", announcement())
        after = (
            cluster.nodes["g1"]._published_records._minor,
            len(cluster.nodes["g1"]._table),
        )
        self.assertEqual(after, before)
        now = cluster.nodes["g0"]._table.get("server", "", "s1").record
        self.assertEqual(now.order, record.order)

    async def test_renewals_that_rotate_through_gateways_cost_no_new_version(self):
        cluster = await self.start()
        await self.renew(3, "g0", announcement())
        record = cluster.nodes["g0"]._table.get("server", "", "s1").record
        for turn in range(15):
            await self.renew(3, f"g{1 + turn % 4}", announcement())
        self.assert_known("s1")
        for node in cluster.nodes.values():
            now = node._table.get("server", "", "s1").record
            self.assertEqual(now.order, record.order)

    async def test_server_stays_when_renewals_cannot_reach_its_lease_holder(self):
        cluster = await self.start()
        kept = [announcement(f"k{i}", labels={"app": "a"}) for i in range(3)]
        renewed = announcement(labels={"app": "a"})
        await self.renew(3, "g0", renewed, *kept)
        cluster.cut(["g2"], ["g0"], both=False)
        await self.watch(40, "g2", [renewed, *kept], "s1", True, cluster.names)
        self.assertFalse(cluster.nodes["g3"].servers()["s1"].stale)

    async def test_silent_server_of_a_group_expires_everywhere_after_its_lease(self):
        cluster = await self.start()
        others = [announcement(f"s{i}", labels={"app": "a"}) for i in (2, 3)]
        cluster.nodes["g1"].announce(announcement(labels={"app": "a"}))
        await self.renew(9, "g2", *others)
        self.assert_known("s1")
        await self.renew(3, "g2", *others)
        self.assert_known("s1", False)
        self.assert_known("s2")

    async def test_drain_and_deregistration_reach_all_within_2_seconds(self):
        cluster = await self.start(13)
        await self.renew(3, "g3", announcement())
        cluster.nodes["g4"].announce(announcement(draining=True))
        await cluster.timers.advance(2.0)
        for node in cluster.nodes.values():
            self.assertTrue(node.servers()["s1"].draining)
        cluster.nodes["g9"].deregister("s1")
        await cluster.timers.advance(2.0)
        self.assert_known("s1", False)

    async def test_deregistered_incarnation_never_comes_back(self):
        cluster = await self.start()
        await self.renew(3, "g3", announcement())
        cluster.nodes["g4"].deregister("s1")
        # The announcement overtakes the deregistration at another gateway.
        cluster.nodes["g3"].announce(announcement(draining=True))
        await cluster.timers.advance(2.0)
        self.assert_known("s1", False)
        with self.assertRaises(ConflictError):
            cluster.nodes["g3"].announce(announcement())
        cluster.nodes["g3"].announce(announcement(incarnation=2))
        await cluster.timers.advance(1.0)
        self.assert_known("s1")

    async def test_restart_under_the_same_address_replaces_the_earlier_one(self):
        cluster = await self.start()
        await self.renew(6, "g3", announcement(labels={"v": "1"}))
        cluster.nodes["g0"].announce(announcement(incarnation=2, labels={"v": "2"}))
        await cluster.timers.advance(1.0)
        for node in cluster.nodes.values():
            self.assertEqual(node.servers()["s1"].labels, {"v": "2"})
        with self.assertRaises(ConflictError):
            cluster.nodes["g3"].announce(announcement())

    async def test_server_renews_at_another_gateway_when_its_lease_holder_dies(self):
        cluster = await self.start()
        await self.renew(6, "g3", announcement())
        cluster.kill("g3")
        await cluster.timers.advance(3.0)
        await self.renew(30, "g1", announcement())
        self.assert_known("s1")

    async def watch(self, seconds, gateway, kept, server_id, known, nodes):
        """Renew at one gateway; check every 0.5 s which nodes know a server."""
        for step in range(int(seconds * 2)):
            if step % 6 == 0:
                for one in kept:
                    self.cluster.nodes[gateway].announce(one)
            await self.cluster.timers.advance(0.5)
            found = [n for n in self.cluster.nodes_that_know(server_id) if n in nodes]
            self.assertEqual(found, sorted(nodes) if known else [])

    async def test_expiry_at_a_former_lease_holder_does_not_remove_a_renewed_server(
        self,
    ):
        cluster = await self.start(4)
        rest = ["g1", "g2", "g3"]
        kept = [announcement(f"k{i}", labels={"app": "a"}) for i in range(3)]
        renewed = announcement(labels={"app": "a"})
        cluster.cut(["g0"], rest)
        # Neither lease holder knows the other's version, so both write the first one.
        cluster.nodes["g0"].announce(renewed)
        await cluster.timers.advance(1.0)
        await self.renew(12, "g1", renewed, *kept)
        cluster.heal()
        await self.watch(30, "g1", [renewed, *kept], "s1", True, rest)

    async def test_late_copy_of_an_expired_server_is_recognised_as_old(self):
        cluster = await self.start(5)
        kept = [announcement(f"k{i}", labels={"app": "a"}) for i in range(3)]
        await self.renew(6, "g1", announcement(labels={"app": "a"}), *kept)
        await self.renew(3, "g1", *kept)
        await cluster.timers.advance(2.0)
        cluster.cut(["g4"], cluster.names[:4])
        await self.renew(6, "g1", *kept)
        self.assertIn("g4", cluster.nodes_that_know("s1"))
        cluster.heal()
        await self.watch(20, "g1", kept, "s1", False, cluster.names[:4])

    async def test_frozen_gateway_does_not_bring_back_a_server(self):
        cluster = await self.start()
        keep = [announcement(f"k{i}", labels={"app": "a"}) for i in range(3)]
        gone = announcement(labels={"app": "a"})
        await self.renew(6, "g1", gone, *keep)
        cluster.freeze("g4")
        await cluster.timers.advance(1.0)
        cluster.nodes["g1"].deregister("s1")
        await self.renew(660, "g2", *keep)
        # The socket buffer overflowed, so no datagram of the meantime arrives.
        cluster.network.ports[cluster.address("g4")].buffer.clear()
        cluster.thaw("g4")
        await self.watch(30, "g2", keep, "s1", False, cluster.names[:4])
        self.assert_known("s1", False)
        self.assert_known("k1")

    async def test_merged_partitions_agree_and_bring_back_no_expired_server(self):
        cluster = await self.start(6)
        keep = [announcement(f"k{i}", labels={"app": "a"}) for i in range(3)]
        gone = announcement(labels={"app": "a"})
        await self.renew(6, "g5", gone, *keep)
        cluster.cut(cluster.names[:3], cluster.names[3:])
        for _ in range(20):
            for one in keep:
                cluster.nodes["g0"].announce(one)
                cluster.nodes["g5"].announce(one)
            await cluster.timers.advance(3.0)
        cluster.heal()
        for _ in range(10):
            for one in keep:
                cluster.nodes["g0"].announce(one)
            await cluster.timers.advance(3.0)
            self.assert_known("s1", False)
        self.assert_known("k0")
        self.assert_known("k2")

    async def test_mass_loss_keeps_the_group_as_stale(self):
        cluster = await self.start()
        all_six = [announcement(f"s{i}", labels={"app": "a"}) for i in range(6)]
        await self.renew(6, "g1", *all_six)
        await cluster.timers.advance(60.0)
        for node in cluster.nodes.values():
            self.assertEqual(len(node.servers()), 6)
            self.assertTrue(all(s.stale for s in node.servers().values()))
        await self.renew(6, "g1", *all_six)
        for node in cluster.nodes.values():
            self.assertFalse(any(s.stale for s in node.servers().values()))

    async def test_stale_server_is_removed_when_it_is_reported_as_failed(self):
        cluster = await self.start(2)
        await self.renew(3, "g1", announcement())
        await cluster.timers.advance(15.0)
        cluster.nodes["g0"].report_failed("s1")
        self.assertEqual(cluster.nodes_that_know("s1"), ["g1"])

    async def test_stale_servers_are_removed_one_lease_after_most_of_the_group_returned(
        self,
    ):
        cluster = await self.start(2)
        all_six = [announcement(f"s{i}", labels={"app": "a"}) for i in range(6)]
        await self.renew(3, "g1", *all_six)
        await cluster.timers.advance(30.0)
        await self.renew(15, "g1", *all_six[:5])
        self.assertEqual(cluster.nodes_that_know("s5"), [])
        self.assertEqual(cluster.nodes_that_know("s4"), ["g0", "g1"])

    async def test_flapping_server_is_held_out_for_a_growing_time(self):
        cluster = await self.start(2)
        steady = announcement("steady", labels={"app": "a"})
        for incarnation in range(1, 9):
            flapping = announcement(incarnation=incarnation, labels={"app": "a"})
            await self.renew(3, "g1", steady, flapping)
        self.assertEqual(cluster.nodes_that_know("s1"), [])
        await self.renew(12, "g1", steady, flapping)
        self.assertEqual(cluster.nodes_that_know("s1"), ["g0", "g1"])
        for incarnation in range(9, 16):
            flapping = announcement(incarnation=incarnation, labels={"app": "a"})
            await self.renew(3, "g1", steady, flapping)
        # The second hold began 15 s ago; one of 10 s would have ended.
        self.assertEqual(cluster.nodes_that_know("s1"), [])

    async def test_flapping_only_server_of_a_group_is_not_held_out(self):
        cluster = await self.start(2)
        for incarnation in range(1, 9):
            await self.renew(3, "g1", announcement(incarnation=incarnation))
        self.assertEqual(cluster.nodes_that_know("s1"), ["g0", "g1"])

    async def test_server_that_reports_no_load_is_not_considered_idle(self):
        """Guards against loads of 0 that attract requests to busy servers."""
        cluster = await self.start(3)
        cluster.nodes["g1"].announce(announcement("s1", in_flight=None))
        await cluster.timers.advance(2.0)
        for node in cluster.nodes.values():
            self.assertIn("s1", node.servers())
            self.assertEqual(node.loads(), {})

    async def test_loads_are_spread_on_significant_change(self):
        cluster = await self.start()
        cluster.nodes["g1"].announce(announcement(in_flight=1, slots=10))
        await cluster.timers.advance(1.0)
        cluster.nodes["g1"].announce(announcement(in_flight=7, slots=10))
        await cluster.timers.advance(1.0)
        for node in cluster.nodes.values():
            self.assertEqual(node.loads()["s1"].in_flight, 7)
