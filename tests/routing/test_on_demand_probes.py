"""Choice by on-demand probes: hosts whose speed changes several times a second."""

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
from geraniumbend.routing._on_demand_probes import BURST_LOOKS, SAVING_S
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
        self.silent = set()
        self.asked = []
        self.on_demand_probes.start(self.answer)
        self.addCleanup(self.on_demand_probes.stop)

    async def answer(self, view):
        self.asked.append(view.server_id)
        if view.server_id in self.silent:
            await asyncio.sleep(60)
        in_flight, slowdown = self.loads[view.server_id]
        return {"in_flight": in_flight, "slots": 4, "slowdown": slowdown}

    async def choose(self):
        await self.router.probe_candidates("g", "c", (), 1.0)
        return self.router.choose("g", "c", (), 1.0).server_id

    async def test_quiet_host_is_found_among_noisy_ones(self):
        self.build()
        self.loads.update({f"s{index}": (0, 5.0) for index in range(1, 6)})
        chosen = [await self.choose() for _ in range(40)]
        # Three of six are asked; the quiet one is among them half of the time, and
        # what was learned from earlier probes is used besides.
        self.assertGreater(chosen.count("s0"), 20)

    async def test_look_tells_whether_a_quiet_host_has_room(self):
        self.build(3)
        self.assertTrue(await self.router.probe_candidates("g", "c", (), 1.0))
        self.build(3)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.2), s2=(0, 5.0))
        self.assertFalse(await self.router.probe_candidates("g", "c", (), 1.0))

    async def test_request_waits_for_the_first_server_with_room(self):
        """Guards against a crest at which full servers are filled further."""
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

    async def test_wait_for_room_ends_with_the_patience(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(4, 1.0))
        started = self.timers.now()
        self.assertFalse(await self.router.probe_candidates("g", "c", (), 1.0, 0.1))
        self.assertLess(self.timers.now() - started, 0.2)

    async def test_request_is_refused_while_all_servers_are_full(self):
        """Guards against a crest that makes every answer late instead of some."""
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(6, 1.0))
        with self.assertRaises(RefusedError) as caught:
            await self.choose()
        self.assertEqual(caught.exception.kind, "saturated")
        self.assertEqual(caught.exception.run, "not_run")
        self.assertGreater(caught.exception.retry_after_s, 0.0)

    async def test_server_that_fails_fast_gets_nothing_for_being_idle(self):
        """Guards against orders lost on a server that is idle because it fails."""
        self.build(3)
        view = self.table.view("s0")
        for _ in range(3):
            self.router.start_request(view, "c")
            self.router.finish_request(view, "c", Outcome(500, 0.001))
        self.loads.update(s0=(0, 1.0), s1=(2, 1.0), s2=(2, 1.0))
        chosen = [await self.choose_unsafe() for _ in range(20)]
        self.assertNotIn("s0", chosen)

    async def choose_unsafe(self):
        await self.router.probe_candidates("g", "c", (), 0.3)
        return self.router.choose("g", "c", (), 0.3, trial=False).server_id

    async def test_free_slot_on_a_noisy_host_is_used_when_no_other_is(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(3, 5.0))
        self.assertEqual(await self.choose(), "s1")

    async def test_nothing_is_refused_without_fresh_reports_of_full_servers(self):
        """Guards against refusals when servers do not tell their load in time."""
        self.build(3)
        self.silent = {"s1", "s2"}
        self.loads["s0"] = (4, 1.0)
        self.assertIn(await self.choose(), self.loads)

    async def test_looks_that_were_not_used_are_saved_for_a_crest(self):
        self.build(2, limit_per_s=10.0)
        timers = ManualTimers()
        on_demand_probes = OnDemandProbes(timers, self.shares.gateway_share, 10.0)
        self.assertTrue(on_demand_probes._may_ask("s0"))
        await timers.advance(60.0)
        asked = sum(on_demand_probes._may_ask("s0") for _ in range(1000))
        self.assertEqual(asked, int(SAVING_S * 10.0))

    async def test_full_server_is_not_good_however_fast_its_host_is(self):
        self.build(2)
        self.loads.update(s0=(4, 1.0), s1=(1, 1.2))
        self.assertEqual({await self.choose() for _ in range(20)}, {"s1"})

    async def test_own_requests_since_the_report_count(self):
        self.build(2)
        view = self.table.view("s0")
        view.observe_report(LoadReport(2, 4, slowdown=1.0), self.timers.now())
        self.assertTrue(self.on_demand_probes.is_good(view))
        view.start("c", self.timers.now())
        view.start("c", self.timers.now())
        self.assertFalse(self.on_demand_probes.is_good(view))

    async def test_silent_servers_cost_a_bounded_wait(self):
        self.build(3)
        self.silent = {"s0", "s1", "s2"}
        started = self.timers.now()
        await self.choose()
        self.assertLess(self.timers.now() - started, 0.5)
        # Open probes are not repeated.
        await self.choose()
        self.assertEqual(len(self.asked), 3)

    async def test_fresh_good_report_is_not_asked_for_again(self):
        self.build(2)
        await self.choose()
        asked = len(self.asked)
        await self.choose()
        self.assertEqual(len(self.asked), asked)

    async def test_looks_of_all_gateways_stay_within_the_limit(self):
        self.build(1, limit_per_s=10.0, gateways=5)
        self.table.update(build_servers(2, 4), build_configuration())
        self.loads["s1"] = (4, 5.0)
        self.loads["s0"] = (4, 5.0)
        started = self.timers.now()
        while self.timers.now() - started < 1.0:
            with suppress(RefusedError):
                await self.choose()
            await asyncio.sleep(0.01)
        # Two a second for this gateway and server, besides what it may save up.
        most = BURST_LOOKS + 2 + 1
        self.assertLessEqual(max(map(self.asked.count, ("s0", "s1"))), most)


class GoneServerTest(unittest.TestCase):
    def test_server_whose_address_has_changed_hands_gets_no_more_requests(self):
        timers = LoopTimers()
        table = ServerTable(timers)
        table.update(build_servers(2), build_configuration())
        router = Router(table, FakeShares(), timers, seed=1)
        router.report_gone(table.view("s0"))
        chosen = {router.choose("g", "c", (), 1.0).server_id for _ in range(20)}
        self.assertEqual(chosen, {"s1"})
