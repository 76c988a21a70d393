"""On-demand probes, for hosts whose speed changes several times a second."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress

from geraniumbend.errors import RefusedError
from geraniumbend.routing import (
    LoadReport,
    OnDemandProbes,
    Outcome,
    Router,
    ServerTable,
)
from geraniumbend.routing._on_demand_probes import BURST_WINDOW_S, PROBE_BURST
from geraniumbend.timers import LoopTimers, ManualTimers
from tests.fakes import FakeShares, build_configuration, build_servers


class OnDemandProbesTest(unittest.IsolatedAsyncioTestCase):
    def build(self, count=6, limit_per_s=0.0, gateways=1):
        self.timers = LoopTimers()
        self.table = ServerTable(self.timers)
        self.table.update(build_servers(count, 4), build_configuration())
        self.shares = FakeShares(gateways)
        self.on_demand_probes = OnDemandProbes(
            self.timers, self.shares.gateway_share, limit_per_s
        )
        self.router = Router(
            self.table,
            self.shares,
            self.timers,
            seed=1,
            on_demand_probes=self.on_demand_probes,
            look_candidates=3,
        )
        self.loads = {f"s{index}": (0, 1.0) for index in range(count)}
        self.unresponsive = set()
        self.probed = []
        self.on_demand_probes.start(self.respond)
        self.addCleanup(self.on_demand_probes.stop)

    async def respond(self, view):
        self.probed.append(view.server_id)
        if view.server_id in self.unresponsive:
            await asyncio.sleep(60)
        in_flight, slowdown = self.loads[view.server_id]
        return {"in_flight": in_flight, "slots": 4, "slowdown": slowdown}

    async def choose(self):
        await self.router.probe_candidates("g", "c", (), 1.0)
        return self.router.choose("g", "c", (), 1.0).server_id

    async def test_lightly_loaded_host_is_found_among_slow_ones(self):
        self.build()
        self.loads.update({f"s{index}": (0, 5.0) for index in range(1, 6)})
        chosen = [await self.choose() for _ in range(40)]
        # Three of six are probed, which include the lightly loaded one half of the
        # time. Reports of earlier probes add to that.
        self.assertGreater(chosen.count("s0"), 20)

    async def test_probe_finds_out_whether_a_lightly_loaded_host_has_a_free_slot(self):
        self.build(3)
        self.assertTrue(await self.router.probe_candidates("g", "c", (), 1.0))
        self.build(3)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.2), s2=(0, 5.0))
        self.assertFalse(await self.router.probe_candidates("g", "c", (), 1.0))

    async def test_request_waits_for_the_first_server_with_a_free_slot(self):
        """Guards against an overload in which full servers get still more requests."""
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.0))
        started = self.timers.now()
        waiting = asyncio.ensure_future(
            self.router.probe_candidates("g", "c", (), 1.0, 0.5)
        )
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.loads["s1"] = (1, 1.0)
        self.assertTrue(await waiting)
        self.assertLess(self.timers.now() - started, 0.4)
        self.assertEqual(self.router.choose("g", "c", (), 1.0).server_id, "s1")

    async def test_wait_for_a_free_slot_ends_after_the_longest_wait(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.0))
        started = self.timers.now()
        with self.assertRaises(RefusedError) as caught:
            await self.router.probe_candidates("g", "c", (), 1.0, 0.1)
        self.assertEqual(caught.exception.kind, "saturated")
        self.assertLess(self.timers.now() - started, 0.2)

    async def wait_with_loads(self, **loads):
        """Return how long a request waits that takes 0.2 s, and whether it goes."""
        self.build(2)
        for _ in range(20):
            self.table.costs.observe("g", "c", 0.2)
        self.loads.update(loads)
        started = self.timers.now()
        with suppress(RefusedError):
            await self.router.probe_candidates("g", "c", (), 2.0, 0.8)
        return self.timers.now() - started

    async def test_wait_for_a_light_server_is_no_longer_than_what_it_saves(self):
        """Guards against callers that wait beside slots which would serve them."""
        # Work takes as usual at the last free slot, or three times as long.
        busy_s = await self.wait_with_loads(s0=(4, 1.0), s1=(3, 1.0))
        self.assertLess(busy_s, 0.2)
        slow_s = await self.wait_with_loads(s0=(4, 1.0), s1=(1, 3.0))
        self.assertGreater(slow_s, 0.3)
        self.assertLess(slow_s, 0.6)

    async def test_request_does_not_wait_where_there_is_no_server(self):
        """Guards against callers that are held to the end and then refused."""
        self.build(2)
        started = self.timers.now()
        tried = ("s0", "s1")
        self.assertFalse(await self.router.probe_candidates("g", "c", tried, 2.0, 1.0))
        self.assertLess(self.timers.now() - started, 0.1)
        with self.assertRaises(RefusedError) as caught:
            self.router.choose("g", "c", tried, 1.0)
        self.assertEqual(caught.exception.kind, "no_backend_server")

    async def test_servers_that_stop_to_answer_probes_are_not_taken_for_full(self):
        """Guards against refusals by reports that are old at the end of a wait."""
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.0))
        waiting = asyncio.ensure_future(
            self.router.probe_candidates("g", "c", (), 2.0, 0.5)
        )
        await asyncio.sleep(0.1)
        self.unresponsive = {"s0", "s1"}
        self.assertFalse(await waiting)

    async def test_request_does_not_wait_for_servers_that_are_not_known_to_be_full(
        self,
    ):
        """Guards against callers that are held because probes fail."""
        self.build(2)
        self.unresponsive = {"s0", "s1"}
        started = self.timers.now()
        self.assertFalse(await self.router.probe_candidates("g", "c", (), 2.0, 1.0))
        self.assertLess(self.timers.now() - started, 0.3)

    async def test_request_is_refused_while_all_servers_are_full(self):
        """Guards against an overload that delays all responses.

        Refusing some requests keeps the others in time.
        """
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(6, 1.0))
        with self.assertRaises(RefusedError) as caught:
            await self.choose()
        self.assertEqual(caught.exception.kind, "saturated")
        self.assertEqual(caught.exception.run, "not_run")
        self.assertGreater(caught.exception.retry_after_s, 0.0)

    async def test_server_that_is_idle_because_it_fails_gets_no_requests(self):
        """Guards against orders lost on a server that is chosen for its low load.

        A server that fails all requests at once always reports few in flight.
        """
        self.build(3)
        view = self.table.view("s0")
        for _ in range(3):
            self.router.start_request(view, "c")
            self.router.finish_request(view, "c", Outcome(500, 0.001))
        self.loads.update(s0=(0, 1.0), s1=(2, 1.0), s2=(2, 1.0))
        chosen = [await self.choose_without_trial() for _ in range(20)]
        self.assertNotIn("s0", chosen)

    async def test_failing_server_is_used_while_the_others_are_full(self):
        """Guards against refusals beside servers that shed a part of their requests."""
        self.build(3)
        view = self.table.view("s0")
        for _ in range(3):
            self.router.start_request(view, "c")
            self.router.finish_request(view, "c", Outcome(503, 0.001, not_run=True))
        self.loads.update(s0=(0, 1.0), s1=(4, 1.0), s2=(4, 1.0))
        await self.router.probe_candidates("g", "c", (), 1.0, 0.1)
        self.assertEqual(self.router.choose("g", "c", (), 1.0).server_id, "s0")

    async def choose_without_trial(self):
        await self.router.probe_candidates("g", "c", (), 0.3)
        return self.router.choose("g", "c", (), 0.3, trial=False).server_id

    async def test_free_slot_on_a_slow_host_is_used_if_there_is_no_other(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(3, 5.0))
        self.assertEqual(await self.choose(), "s1")

    async def test_nothing_is_refused_without_fresh_reports_of_full_servers(self):
        """Guards against refusals when servers do not respond to probes in time."""
        self.build(3)
        self.unresponsive = {"s1", "s2"}
        self.loads["s0"] = (4, 1.0)
        self.assertIn(await self.choose(), self.loads)

    async def test_unused_probe_allowance_is_saved_for_a_peak(self):
        self.build(2, limit_per_s=10.0)
        timers = ManualTimers()
        on_demand_probes = OnDemandProbes(timers, self.shares.gateway_share, 10.0)
        self.assertTrue(on_demand_probes._may_probe("s0"))
        await timers.advance(60.0)
        probed = sum(on_demand_probes._may_probe("s0") for _ in range(1000))
        self.assertEqual(probed, int(BURST_WINDOW_S * 10.0))

    async def test_full_server_is_not_chosen_however_fast_its_host_is(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(1, 1.2))
        self.assertEqual({await self.choose() for _ in range(20)}, {"s1"})

    async def test_own_requests_since_the_report_count(self):
        self.build(2)
        view = self.table.view("s0")
        view.observe_report(LoadReport(2, 4, slowdown=1.0), self.timers.now())
        self.assertTrue(self.on_demand_probes.is_lightly_loaded(view))
        view.start("c", self.timers.now())
        view.start("c", self.timers.now())
        self.assertFalse(self.on_demand_probes.is_lightly_loaded(view))

    async def test_wait_for_unresponsive_servers_is_bounded(self):
        self.build(3)
        self.unresponsive = {"s0", "s1", "s2"}
        started = self.timers.now()
        await self.choose()
        self.assertLess(self.timers.now() - started, 0.5)
        # No second probe is sent to a server while one is in flight.
        await self.choose()
        self.assertEqual(len(self.probed), 3)

    async def test_lightly_loaded_server_with_a_fresh_report_is_not_probed_again(self):
        self.build(2)
        await self.choose()
        probed = len(self.probed)
        await self.choose()
        self.assertEqual(len(self.probed), probed)

    async def test_probes_of_one_gateway_stay_within_its_share_of_the_limit(self):
        self.build(1, limit_per_s=10.0, gateways=5)
        self.table.update(build_servers(2, 4), build_configuration())
        self.loads["s1"] = (4, 5.0)
        self.loads["s0"] = (4, 5.0)
        started = self.timers.now()
        while self.timers.now() - started < 1.0:
            with suppress(RefusedError):
                await self.choose()
            await asyncio.sleep(0.01)
        # The limit allows this gateway two probes a second for each server, besides the
        # burst.
        most = PROBE_BURST + 2 + 1
        self.assertLessEqual(max(map(self.probed.count, ("s0", "s1"))), most)


class ReusedAddressTest(unittest.TestCase):
    def test_server_whose_address_is_reused_gets_no_more_requests(self):
        timers = LoopTimers()
        table = ServerTable(timers)
        table.update(build_servers(2), build_configuration())
        router = Router(table, FakeShares(), timers, seed=1)
        router.report_address_reused(table.view("s0"))
        chosen = {router.choose("g", "c", (), 1.0).server_id for _ in range(20)}
        self.assertEqual(chosen, {"s1"})
