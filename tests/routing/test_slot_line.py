"""Order of the requests of one gateway that wait for a slot of a crowded group."""

from __future__ import annotations

import asyncio
import math
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.routing import OnDemandProbes, Router, ServerTable, SlotTurn
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeShares, build_configuration, build_servers

SLOTS = 6
STEP_S = 0.005


class SlotLineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        timers = self.timers = ManualTimers()
        self.table = ServerTable(timers)
        self.table.update(build_servers(2, SLOTS), build_configuration())
        probes = OnDemandProbes(timers, lambda: 1.0)
        self.router = Router(
            self.table,
            FakeShares(),
            timers,
            seed=1,
            on_demand_probes=probes,
            look_candidates=2,
        )
        self.load = SLOTS
        self.probed = 0
        self.served = []
        probes.start(self.respond)
        self.addCleanup(probes.stop)

    async def respond(self, view):
        self.probed += 1
        return {"in_flight": self.load, "slots": SLOTS}

    def start(self, name, rank, served=0.0, wait_s=0.4):
        async def run():
            turn = SlotTurn(rank, served, self.timers.now())
            try:
                await self.router.probe_candidates("g", "c", (), 1.0, wait_s, turn=turn)
                self.router.choose("g", "c", (), 1.0)
            except RefusedError as error:
                return error.kind
            self.served.append(name)
            self.load = SLOTS
            for view in self.table.available("g"):
                view.report_at = -math.inf
            return "served"

        return asyncio.ensure_future(run())

    async def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            await self.timers.advance(STEP_S)

    async def test_slots_go_by_rank_then_to_the_tenant_that_gets_least(self):
        """Guards against slots that go to whoever asks at the right moment."""
        waiting = [
            self.start("late", 2),
            self.start("large", 1, 5.0),
            self.start("small", 1, 1.0),
        ]
        await self.advance(0.05)
        waiting.append(self.start("first", 0, 9.0))
        for _ in range(3):
            await self.advance(0.07)
            self.load = 0
        await self.advance(0.25)
        self.assertEqual(await waiting[0], "saturated")
        self.assertEqual(self.served, ["first", "small", "large"])

    async def test_only_the_first_one_probes(self):
        """Guards against probes that load a crowded group."""
        first = self.start("first", 0, wait_s=0.2)
        await self.advance(0.01)
        others = [self.start("other", 1, wait_s=0.1) for _ in range(10)]
        await self.advance(0.25)
        self.assertLessEqual(self.probed, 20)
        self.assertEqual({task.result() for task in (first, *others)}, {"saturated"})

    async def test_cancelled_request_leaves_its_place(self):
        first = self.start("first", 0)
        await self.advance(0.01)
        second = self.start("second", 1)
        await self.advance(0.01)
        first.cancel()
        self.load = 0
        await self.advance(0.1)
        self.assertEqual(second.result(), "served")


class EarlyRefusalTest(unittest.IsolatedAsyncioTestCase):
    """Requests of 0.2 s on two full servers of six slots, whose callers have 0.6 s."""

    async def asyncSetUp(self):
        timers = self.timers = ManualTimers()
        self.table = ServerTable(timers)
        self.table.update(build_servers(2, SLOTS), build_configuration())
        for _ in range(20):
            self.table.costs.observe("g", "c", 0.2)
        self.load = SLOTS
        probes = OnDemandProbes(timers, lambda: 1.0)
        self.router = Router(
            self.table,
            FakeShares(),
            timers,
            seed=1,
            on_demand_probes=probes,
            look_candidates=2,
        )
        probes.start(self.respond)
        self.addCleanup(probes.stop)
        self.refused = {}

    async def respond(self, view):
        return {"in_flight": self.load, "slots": SLOTS}

    def start(self, name, rank=0):
        async def run():
            turn = SlotTurn(rank, 0.0, self.timers.now())
            try:
                await self.router.probe_candidates("g", "c", (), 0.9, 0.6, turn=turn)
            except RefusedError as error:
                self.refused[name] = (self.timers.now(), error)

        return asyncio.ensure_future(run())

    async def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            await self.timers.advance(STEP_S)

    # Callers were held to the end of the longest wait although the requests before
    # theirs left no slot for them.
    async def test_what_cannot_fit_is_refused_on_arrival(self):
        begin = self.timers.now()
        tasks = [self.start(number) for number in range(60)]
        await self.advance(0.05)
        # 12 slots of 0.2 s take up 36 requests in 0.6 s; a quarter is margin.
        first = min(self.refused)
        self.assertEqual(sorted(self.refused), list(range(first, 60)))
        self.assertLessEqual(first, 36)
        self.assertGreaterEqual(1.25 * first, 35)
        for refused_at, error in self.refused.values():
            self.assertLess(refused_at - begin, 0.05)
            self.assertEqual((error.kind, error.run), ("saturated", "not_run"))
            self.assertGreaterEqual(error.retry_after_s, 0.6 / 1.25)
        for task in tasks:
            task.cancel()

    async def test_request_that_is_overtaken_is_refused_while_its_caller_has_time(self):
        """Guards against callers of later ranks that are held to their deadline."""
        begin = self.timers.now()
        tasks = [self.start(("late", number), 1) for number in range(24)]
        await self.advance(0.05)
        self.assertEqual(self.refused, {})
        tasks += [self.start(("early", number), 0) for number in range(24)]
        await self.advance(0.05)
        self.assertTrue(self.refused)
        self.assertEqual({name for name, _ in self.refused}, {"late"})
        for refused_at, _ in self.refused.values():
            self.assertLess(refused_at - begin, 0.15)
        for task in tasks:
            task.cancel()

    async def test_stalled_servers_are_noticed_before_the_time_is_over(self):
        """Guards against an estimate that is not renewed."""
        begin = self.timers.now()
        tasks = [self.start(number) for number in range(20)]
        await self.advance(0.5)
        self.assertGreater(len(self.refused), 10)
        for refused_at, _ in self.refused.values():
            self.assertLess(refused_at - begin, 0.5)
        for task in tasks:
            task.cancel()

    async def test_waiting_requests_get_free_slots_without_a_pause_between_them(self):
        """Guards against a line that serves one request in 15 ms."""
        tasks = [self.start(number) for number in range(8)]
        await self.advance(0.05)
        self.load = 0
        await self.advance(0.04)
        self.assertTrue(all(task.done() for task in tasks))
        self.assertEqual(self.refused, {})
