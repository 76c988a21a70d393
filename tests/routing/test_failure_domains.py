"""Load patterns over failure domains: work stays local while its domain has room."""

from __future__ import annotations

import unittest
from collections import Counter

from geraniumbend.routing import LoadReport, OnDemandProbes, Router, ServerTable
from geraniumbend.routing._subsets import SUBSET_SIZE
from tests.fakes import FakeShares, StepTimers, build_configuration, build_servers

SLOTS = 6


class FailureDomainCase(unittest.IsolatedAsyncioTestCase):
    """A gateway in domain `a` before servers in the domains `a` to `d`."""

    def build(self, domains, gateways=1, seed=3):
        self.timers = StepTimers()
        self.table = ServerTable(self.timers)
        self.servers = build_servers(len(domains), SLOTS)
        for index, domain in enumerate(domains):
            name = f"s{index}"
            self.servers[name] = self.servers[name]._replace(failure_domain=domain)
        self.install()
        probes = OnDemandProbes(self.timers, lambda: 1.0)
        self.router = Router(
            self.table,
            FakeShares(gateways),
            self.timers,
            "n",
            "a",
            seed=seed,
            on_demand_probes=probes,
            look_candidates=3,
        )
        self.loads = dict.fromkeys(self.servers, 0)
        self.slowdowns = dict.fromkeys(self.servers, 1.0)
        self.probed = Counter()
        probes.start(self.respond)
        self.addCleanup(probes.stop)

    def install(self):
        self.table.update(self.servers, build_configuration())

    async def respond(self, view):
        self.probed[view.server.failure_domain] += 1
        return {
            "in_flight": self.loads[view.server_id],
            "slots": SLOTS,
            "slowdown": self.slowdowns[view.server_id],
        }

    async def choose(self, gap_s=0.1):
        """Choose a server for one request after the reports of the last are old."""
        self.timers.step(gap_s)
        await self.router.probe_candidates("g", "c", (), 1.0)
        return self.router.choose("g", "c", (), 1.0)

    async def count_domains(self, requests=60):
        views = [await self.choose() for _ in range(requests)]
        return Counter(view.server.failure_domain for view in views)


class CallersOfOneDomainTest(FailureDomainCase):
    async def test_all_work_stays_in_a_domain_with_free_slots(self):
        """Guards against bytes between domains that no caller is served better by."""
        self.build("aabbccdd")
        self.assertEqual(await self.count_domains(), {"a": 60})
        self.assertEqual(set(self.probed), {"a"})

    async def test_work_spills_once_the_domain_is_nearly_full(self):
        """Guards against servers that slow down beside idle ones in other domains."""
        self.build("aabbccdd")
        self.loads.update(s0=SLOTS - 1, s1=SLOTS - 1)
        self.assertEqual((await self.count_domains())["a"], 0)

    async def test_work_leaves_a_domain_of_slow_hosts(self):
        self.build("aabbccdd")
        self.slowdowns.update(s0=7.0, s1=7.0)
        self.assertEqual((await self.count_domains())["a"], 0)

    async def test_work_returns_once_the_domain_has_free_slots_again(self):
        self.build("aabbccdd")
        self.loads.update(s0=SLOTS, s1=SLOTS)
        await self.count_domains()
        self.loads.update(s0=1, s1=1)
        self.assertEqual((await self.count_domains())["a"], 60)

    async def test_free_local_slot_is_used_while_the_other_domains_are_full(self):
        self.build("aabbccdd")
        self.loads = dict.fromkeys(self.servers, SLOTS) | {"s1": SLOTS - 1}
        self.assertEqual((await self.choose()).server_id, "s1")


class DomainWithoutServersTest(FailureDomainCase):
    async def test_requests_are_served_by_the_other_domains(self):
        self.build("bbccdd")
        served = await self.count_domains()
        self.assertEqual(sum(served.values()), 60)
        self.assertGreater(min(served[domain] for domain in "bcd"), 0)

    async def test_server_that_announces_another_domain_counts_there(self):
        self.build("ab")
        self.servers["s1"] = self.servers["s1"]._replace(failure_domain="a")
        self.servers["s0"] = self.servers["s0"]._replace(failure_domain="b")
        self.install()
        views = {(await self.choose()).server_id for _ in range(40)}
        self.assertEqual(views, {"s1"})

    async def test_gateway_without_a_domain_uses_all_servers(self):
        self.build("aabb")
        self.router._failure_domain = ""
        self.assertGreater((await self.count_domains())["b"], 0)


class HalfOfTheServersLostTest(FailureDomainCase):
    async def test_rest_of_the_domain_is_not_overrun(self):
        """Guards against the queue that two servers get from the work of four."""
        self.build("aaaabbbb")
        self.assertEqual((await self.count_domains())["a"], 60)
        del self.servers["s0"], self.servers["s1"]
        self.install()
        self.loads.update(s2=SLOTS - 1, s3=SLOTS - 1)
        self.assertEqual(await self.count_domains(), {"b": 60})

    async def test_failing_rest_of_the_domain_gets_no_work(self):
        """Guards against idle servers that attract work because they fail at once."""
        self.build("aabb")
        now = self.timers.now()
        for name in ("s0", "s1"):
            self.table.view(name)._error_rate = 1.0
            self.table.view(name)._error_at = now
        used = [await self.choose(gap_s=0.05) for _ in range(10)]
        domains = Counter(view.server.failure_domain for view in used)
        self.assertGreaterEqual(domains["b"], 8)


class ServerThatJoinsTest(FailureDomainCase):
    async def test_server_that_joins_an_idle_group_gets_work_soon_but_little(self):
        """Guards against added servers that get nothing beside idle older ones."""
        first = Counter()
        for gateway in range(8):
            self.build("aaaaaaaa", seed=gateway)
            self.timers.step(60)
            self.servers["s8"] = self.servers["s0"]._replace(server_id="s8")
            self.loads["s8"], self.slowdowns["s8"] = 0, 1.0
            self.install()
            views = [await self.choose(0.06) for _ in range(30)]
            first.update(view.server_id for view in views)
        self.assertGreater(first["s8"], 0)
        self.assertLess(first["s8"], first["s0"] / 2)

    async def test_subset_of_a_large_group_holds_local_and_remote_servers(self):
        self.build("a" * 40 + "b" * 20 + "c" * 20, gateways=100)
        subset = self.router._list_subset("g")
        domains = Counter(view.server.failure_domain for view in subset)
        self.assertEqual(sum(domains.values()), SUBSET_SIZE)
        self.assertGreaterEqual(domains["a"], SUBSET_SIZE // 2)
        self.assertGreater(domains["b"] + domains["c"], 0)

    async def test_every_server_of_a_domain_is_in_the_subset_of_some_gateway(self):
        self.build("a" * 31 + "b" * 31 + "c" * 31)
        covered = set()
        for index in range(62):
            router = Router(self.table, FakeShares(186), self.timers, f"n{index}", "a")
            covered.update(view.server_id for view in router._list_subset("g"))
        self.assertGreaterEqual(covered, {f"s{index}" for index in range(31)})


class ReportWithoutProbesTest(FailureDomainCase):
    async def test_no_server_is_probed_while_a_local_report_is_fresh(self):
        self.build("aabb")
        self.timers.step(1)
        report = LoadReport(1, SLOTS, slowdown=1.0)
        self.table.view("s0").observe_report(report, self.timers.now())
        await self.router.probe_candidates("g", "c", (), 1.0)
        self.assertEqual(self.router.choose("g", "c", (), 1.0).server_id, "s0")
        self.assertFalse(self.probed)
