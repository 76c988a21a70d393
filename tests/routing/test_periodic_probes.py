"""Periodic probes: the budget is checked by counting all probes of all gateways."""

from __future__ import annotations

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from geraniumbend.model import Configuration, Group
from geraniumbend.routing import ProbeScheduler, ServerTable
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeShares, StepTimers, build_servers
from tests.fuzzing import fuzz

PROBE_S = 0.007
WINDOW_S = 10.0
SLOTS = 6
SHARE = 0.01
# Time within which gossip notifies all gateways of a change, in seconds.
GOSSIP_S = 8.0


class ProbeMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.timers = StepTimers()
        self.table = ServerTable(self.timers)
        groups = {"g": Group("g", "", load_cost_share=SHARE)}
        self.table.update(build_servers(2, SLOTS), Configuration(1, groups))
        self.gateways = []
        self.pending = []
        self.probes = {}
        for _ in range(4):
            self.join()
        self.step(20)

    def join(self):
        shares = FakeShares(max(1, len(self.gateways)))
        self.gateways.append(
            (ProbeScheduler(self.table, shares, self.timers, 1), shares)
        )
        self.pending.append(self.timers.now() + GOSSIP_S)

    def step(self, delay_s):
        for _ in range(int(delay_s / 0.1)):
            self.timers.step(0.1)
            now = self.timers.now()
            if any(due <= now for due in self.pending):
                self.pending = [due for due in self.pending if due > now]
                for _, shares in self.gateways:
                    shares.gateways = len(self.gateways)
            for scheduler, _ in self.gateways:
                for view in scheduler.take_due():
                    self.probes.setdefault(view.server_id, []).append(now)

    @rule()
    def start_gateway(self):
        if len(self.gateways) < 40:
            self.join()

    @rule(index=st.integers(0, 50))
    def kill_gateway(self, index):
        if len(self.gateways) > 1:
            del self.gateways[index % len(self.gateways)]
            # Some gateways detect the failure at once, the others late.
            for _, shares in self.gateways[::2]:
                shares.gateways = len(self.gateways)
            self.pending.append(self.timers.now() + GOSSIP_S)

    @rule(delay_s=st.sampled_from([1.0, 5.0, 9.0]))
    def suspect_live_gateways(self, delay_s):
        for _, shares in self.gateways:
            shares.gateways = max(1, len(self.gateways) // 2)
        self.step(delay_s)
        for _, shares in self.gateways:
            shares.gateways = len(self.gateways)
        self.step(0.2)

    @rule(delay_s=st.sampled_from([0.5, 3.0, 9.0, 30.0]))
    def wait(self, delay_s):
        self.step(delay_s)

    @invariant()
    def probes_of_all_gateways_stay_within_the_budget(self):
        for times in self.probes.values():
            for index, start in enumerate(times):
                window = [at for at in times[index:] if at < start + WINDOW_S - 0.01]
                assert len(window) * PROBE_S <= SLOTS * SHARE * WINDOW_S, len(window)


class ProbeBudgetFuzzTest(ProbeMachine.TestCase):
    settings = fuzz(max_examples=25, stateful_step_count=12)


class ProbeSchedulerTest(unittest.IsolatedAsyncioTestCase):
    def build(self, share=SHARE):
        self.timers = ManualTimers()
        self.table = ServerTable(self.timers)
        groups = {"g": Group("g", "", load_cost_share=share)}
        self.table.update(build_servers(2, SLOTS), Configuration(1, groups))
        return ProbeScheduler(self.table, FakeShares(2), self.timers, 1)

    async def test_probes_use_most_of_the_budget_and_update_the_view(self):
        scheduler = self.build()
        self.sent = 0

        async def send(view):
            self.sent += 1
            await self.timers.sleep(PROBE_S)
            return {"in_flight": 3, "slots": SLOTS}

        scheduler.start(send)
        await self.timers.advance(35)
        self.assertGreater(self.sent * PROBE_S / 20 / 2, 0.25 * SLOTS * SHARE / 2)
        self.assertEqual(self.table.view("s0").reported_in_flight(), 3)
        scheduler.stop()

    async def test_hanging_server_does_not_stop_the_probes_of_others(self):
        scheduler = self.build()
        probed = []

        async def send(view):
            probed.append(view.server_id)
            await self.timers.sleep(1000 if view.server_id == "s0" else 0.01)

        scheduler.start(send)
        await self.timers.advance(40)
        self.assertEqual(probed.count("s0"), 1)
        self.assertGreater(probed.count("s1"), 5)
        scheduler.stop()

    async def test_slow_probes_count_with_the_time_that_they_took(self):
        scheduler = self.build()
        count, _ = scheduler.allowance(self.table.view("s0"))

        async def send(view):
            await self.timers.sleep(0.06)

        scheduler.start(send)
        await self.timers.advance(60)
        self.assertLess(scheduler.allowance(self.table.view("s0"))[0], count / 4)
        scheduler.stop()

    async def test_share_of_zero_turns_probes_off(self):
        scheduler = self.build(share=0.0)
        await self.timers.advance(60)
        self.assertEqual(scheduler.take_due(), [])
