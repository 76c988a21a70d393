"""Messages between failure domains: few, and enough for every node to learn all."""

from __future__ import annotations

import unittest

from geraniumbend.membership import GatewayShares, RateTotals
from geraniumbend.membership._records import DEMAND
from tests.membership.network import Cluster, announcement

DOMAINS = 4


class DomainsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, count, domains=DOMAINS, settle_s=5.0):
        cluster = await Cluster(count, domains=domains).start(settle_s)
        self.addAsyncCleanup(cluster.stop)
        self.cluster = cluster
        return cluster

    def start_shares(self):
        timers = self.cluster.timers
        self.totals = {}
        self.shares = {}
        for name, node in self.cluster.nodes.items():
            totals = self.totals[name] = RateTotals(node, timers)
            totals.start()
            self.shares[name] = GatewayShares(node, totals, 1, timers)

    async def record_demand(self, seconds, demand):
        for _ in range(int(seconds * 5)):
            for name, amount in demand.items():
                self.shares[name].record_demand("g", amount)
            await self.cluster.timers.advance(0.2)

    async def test_demand_crosses_between_domains_as_one_sum_for_each(self):
        """Guards against control traffic that outweighs the requests on thin links."""
        cluster = await self.start(24)
        self.start_shares()
        demand = {name: 1.0 + index % 3 for index, name in enumerate(cluster.names)}
        await self.record_demand(5.0, demand)
        cluster.network.bytes.clear()
        cluster.network.bytes_between_domains = 0
        await self.record_demand(10.0, demand)
        sent = sum(cluster.network.bytes.values())
        between = cluster.network.bytes_between_domains
        self.assertLess(between, 0.25 * sent)
        self.assertLess(between / 10 / len(demand), 1_000)

    async def test_sums_of_all_domains_reach_every_gateway(self):
        cluster = await self.start(16)
        self.start_shares()
        demand = {
            name: 4.0 if cluster.domain(name) == "d0" else 1.0 for name in cluster.names
        }
        await self.record_demand(12.0, demand)
        for name in cluster.names:
            expected = demand[name] / sum(demand.values())
            found = self.shares[name].demand_share("g")
            self.assertAlmostEqual(found, expected, delta=0.25 * expected)

    async def test_another_gateway_reports_when_the_reporter_of_a_domain_dies(self):
        cluster = await self.start(8, domains=2)
        self.start_shares()
        demand = dict.fromkeys(cluster.names, 1.0)
        await self.record_demand(6.0, demand)
        self.totals["g0"].stop()
        cluster.kill("g0")
        del demand["g0"]
        await self.record_demand(25.0, demand)
        others = self.totals["g1"].sum_others(DEMAND)
        # Three gateways of each domain besides g1 itself and the dead one.
        self.assertAlmostEqual(others["g"], 5.0 * 6, delta=6.0)

    async def test_new_server_is_known_in_all_domains_at_once(self):
        cluster = await self.start(24)
        cluster.nodes["g5"].announce(announcement())
        await cluster.timers.advance(1.0)
        self.assertEqual(len(cluster.nodes_that_know("s1")), 24)

    async def test_dead_node_is_found_by_its_own_domain_and_told_to_the_others(self):
        cluster = await self.start(24)
        cluster.kill("g7")
        await cluster.timers.advance(5.0)
        for name in cluster.nodes:
            self.assertNotIn("g7", cluster.live(name))

    async def test_single_node_of_a_domain_is_probed_by_the_other_domains(self):
        """Guards against a dead host that nobody probes because it had no neighbour."""
        cluster = await self.start(4, domains=4)
        cluster.kill("g2")
        await cluster.timers.advance(6.0)
        for name in cluster.nodes:
            self.assertNotIn("g2", cluster.live(name))

    async def test_domain_that_is_cut_off_is_noticed_and_found_again(self):
        cluster = await self.start(12)
        inside = [name for name in cluster.names if cluster.domain(name) == "d1"]
        outside = [name for name in cluster.names if name not in inside]
        cluster.cut(inside, outside)
        await cluster.timers.advance(20.0)
        self.assertEqual(cluster.live("g0"), sorted(outside))
        self.assertEqual(cluster.live("g1"), sorted(inside))
        cluster.heal()
        await cluster.timers.advance(15.0)
        for name in cluster.names:
            self.assertEqual(len(cluster.live(name)), 12)

    async def test_server_spreads_although_messages_are_lost(self):
        cluster = await self.start(16)
        cluster.network.loss = 0.3
        cluster.nodes["g1"].announce(announcement())
        await cluster.timers.advance(8.0)
        self.assertEqual(len(cluster.nodes_that_know("s1")), 16)
