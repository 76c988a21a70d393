from __future__ import annotations

import unittest
from collections import Counter

from geraniumbend.errors import RefusedError
from geraniumbend.routing import LoadReport, Outcome, Router, ServerTable
from geraniumbend.routing._subsets import SUBSET_SIZE
from tests.fakes import FakeShares, StepTimers, build_configuration, build_servers

SUCCESS = Outcome(status=200, latency_s=0.1)


class RouterCase(unittest.TestCase):
    def build(self, count=5, policy="default", domain="", gateways=1, **fields):
        self.timers = StepTimers()
        self.table = ServerTable(self.timers)
        self.servers = build_servers(count, **fields)
        self.configuration = build_configuration(policy=policy)
        self.table.update(self.servers, self.configuration)
        shares = FakeShares(gateways)
        self.router = Router(
            self.table, shares, self.timers, "n", failure_domain=domain, seed=3
        )

    def choose(self, request_class="c", excluded=(), **options):
        return self.router.choose("g", request_class, excluded, 10.0, **options)

    def run_requests(self, count, outcome_for, request_class="c", gap_s=0.01):
        """Run requests one after the other and return their number by server."""
        used = Counter()
        for _ in range(count):
            view = self.choose(request_class)
            used[view.server_id] += 1
            self.router.start_request(view, request_class)
            self.timers.step(gap_s)
            self.router.finish_request(view, request_class, outcome_for(view.server_id))
        return used


class LeavingServerTest(RouterCase):
    def test_chosen_server_accepts_requests_until_it_begins_to_leave(self):
        for change in ("drains", "leaves", "restarts", "moves"):
            self.build(count=2)
            view = self.choose()
            self.assertTrue(self.router.accepts_requests(view), change)
            servers = dict(self.servers)
            server = servers.pop(view.server_id)
            if change == "drains":
                servers[view.server_id] = server._replace(draining=True)
            if change == "restarts":
                incarnation = server.incarnation + 1
                servers[view.server_id] = server._replace(incarnation=incarnation)
            if change == "moves":
                self.router.report_address_reused(view)
            else:
                self.table.update(servers, self.configuration)
            self.assertFalse(self.router.accepts_requests(view), change)

    def test_server_besides_the_tried_ones_is_an_alternative(self):
        self.build(count=2)
        names = list(self.servers)
        self.assertTrue(self.router.has_alternative("g", names[:1]))
        self.assertFalse(self.router.has_alternative("g", names))


class RouterTest(RouterCase):
    def test_fast_failing_server_attracts_no_traffic(self):
        self.build()
        failure = Outcome(status=500, latency_s=0.001)
        used = self.run_requests(
            1000, lambda name: failure if name == "s2" else SUCCESS
        )
        self.assertLessEqual(used["s2"], 8)

    def test_trial_requests_detect_that_a_server_has_recovered(self):
        self.build()
        self.run_requests(100, lambda _: SUCCESS)
        failed = self.table.view("s2")
        for _ in range(40):
            self.router.start_request(failed, "c")
            self.router.finish_request(failed, "c", Outcome(failed=True))
        used = self.run_requests(1500, lambda _: SUCCESS)
        self.assertGreater(used["s2"], 100)

    def test_failing_servers_are_used_if_all_of_the_group_fail(self):
        self.build(count=3)
        failure = Outcome(failed=True)
        used = self.run_requests(200, lambda _: failure)
        self.assertEqual(set(used), {"s0", "s1", "s2"})

    def test_slowdown_is_detected_before_a_slow_response_ends(self):
        self.build()
        self.run_requests(300, lambda _: SUCCESS)
        self.router.start_request(self.table.view("s1"), "c")
        self.timers.step(0.8)
        for name in ("s0", "s2", "s3", "s4"):
            self.router.start_request(self.table.view(name), "c")
        used = self.run_requests(40, lambda _: SUCCESS, gap_s=0.001)
        self.assertEqual(used["s1"], 0)

    def test_cancelled_requests_do_not_make_a_slow_server_look_fast(self):
        self.build()
        slow = Outcome(status=200, latency_s=1.0)
        self.run_requests(300, lambda name: slow if name == "s1" else SUCCESS)
        cancelled = Outcome(latency_s=0.05)
        for _ in range(30):
            self.router.start_request(self.table.view("s1"), "c")
            self.router.finish_request(self.table.view("s1"), "c", cancelled)
        used = self.run_requests(100, lambda _: SUCCESS, gap_s=0.001)
        self.assertLessEqual(used["s1"], 5)

    def test_false_report_of_no_load_does_not_hide_own_requests(self):
        self.build(count=2)
        for _ in range(6):
            self.router.start_request(self.table.view("s0"), "c")
        self.router.observe_report(self.table.view("s0"), LoadReport(in_flight=0))
        self.assertEqual(self.choose().server_id, "s1")

    def test_old_report_of_high_load_loses_its_effect(self):
        self.build(count=2)
        self.router.observe_report(self.table.view("s0"), LoadReport(in_flight=900))
        self.assertEqual({self.choose().server_id for _ in range(20)}, {"s1"})
        self.timers.step(10)
        used = self.run_requests(100, lambda _: SUCCESS)
        self.assertGreater(used["s0"], 20)

    def test_draining_servers_get_no_requests_even_as_last_members(self):
        self.build(count=2, draining=True)
        with self.assertRaises(RefusedError) as caught:
            self.choose()
        self.assertEqual(caught.exception.run, "not_run")

    def test_tried_servers_are_not_chosen_again(self):
        self.build(count=2)
        self.assertEqual(self.choose(excluded={"s0"}).server_id, "s1")
        with self.assertRaises(RefusedError):
            self.choose(excluded={"s0", "s1"})

    def test_new_server_gets_few_requests_at_first(self):
        self.build()
        self.timers.step(60)
        self.servers["new"] = self.servers["s0"]._replace(server_id="new")
        self.table.update(self.servers, self.configuration)
        used = self.run_requests(100, lambda _: SUCCESS)
        self.assertLess(used["new"], 10)
        self.timers.step(10)
        used = self.run_requests(600, lambda _: SUCCESS)
        self.assertGreater(used["new"], 50)

    def test_own_failure_domain_is_preferred_only_while_its_servers_are_free(self):
        self.build(count=6, domain="a")
        for name in ("s0", "s1"):
            self.servers[name] = self.servers[name]._replace(failure_domain="a")
        self.table.update(self.servers, self.configuration)
        used = self.run_requests(300, lambda _: SUCCESS)
        self.assertGreater(used["s0"] + used["s1"], 200)
        for name in ("s0", "s1"):
            for _ in range(3):
                self.router.start_request(self.table.view(name), "c")
        used = self.run_requests(100, lambda _: SUCCESS)
        self.assertEqual(used["s0"] + used["s1"], 0)

    def test_large_group_is_cut_to_a_deterministic_subset(self):
        self.build(count=400, policy="random", gateways=100)
        first = {self.choose().server_id for _ in range(3000)}
        self.assertEqual(len(first), SUBSET_SIZE)
        self.assertEqual({self.choose().server_id for _ in range(3000)}, first)

    def test_subsets_of_few_gateways_cover_a_large_group(self):
        self.build(count=400)
        covered = set()
        for index in range(13):
            shares = FakeShares(13)
            router = Router(self.table, shares, self.timers, f"n{index}")
            covered.update(view.server_id for view in router._list_subset("g"))
        self.assertEqual(len(covered), 400)


class LongPoolTest(RouterCase):
    def run_mixed_load(self, gap_s=0.01):
        for _ in range(100):
            self.run_requests(1, lambda _: SUCCESS, gap_s=gap_s)
            if _ % 10 == 0:
                long = Outcome(status=200, latency_s=2.0)
                self.run_requests(1, lambda _, long=long: long, "long", gap_s)

    def test_long_requests_use_only_the_long_pool_and_short_ones_avoid_it(self):
        self.build(count=6)
        self.run_mixed_load()
        long_pool = {view.server_id for view in self.table.pools.pools("g").long}
        self.assertEqual(len(long_pool), 3)
        short = self.run_requests(200, lambda _: SUCCESS)
        self.assertFalse(long_pool & set(short))
        long = {self.choose("long").server_id for _ in range(50)}
        self.assertLessEqual(long, long_pool)

    def test_gateways_agree_on_the_long_pool_without_messages(self):
        self.build(count=9)
        self.run_mixed_load()
        first = {view.server_id for view in self.table.pools.pools("g").long}
        self.build(count=9)
        self.run_mixed_load(gap_s=0.02)
        second = {view.server_id for view in self.table.pools.pools("g").long}
        self.assertEqual(first, second)

    def test_long_pool_shrinks_when_long_requests_cease(self):
        self.build(count=6)
        self.run_mixed_load()
        for _ in range(60):
            self.run_requests(20, lambda _: SUCCESS, gap_s=0.1)
        self.assertLessEqual(len(self.table.pools.pools("g").long), 1)
