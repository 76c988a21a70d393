from __future__ import annotations

import asyncio
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.quarantine import Quarantine
from geraniumbend.quarantine._quarantine import NOTICE_KIND, TRIAL_LIFETIME_S
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeBus, build_servers


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.bus = FakeBus()
        self.bus.announced = build_servers(6)
        self.gateways = [self.join(f"n{index}") for index in range(3)]

    def join(self, name):
        return Quarantine(name, self.bus.join(name), self.timers)

    def assert_refused(self, gateway, fingerprint="p"):
        with self.assertRaises(RefusedError) as caught:
            gateway.check(fingerprint)
        self.assertEqual(caught.exception.run, "not_run")

    async def test_request_is_refused_on_every_gateway_after_the_second_loss(self):
        first, second, third = self.gateways
        await first.report_loss("p", "s0")
        for gateway in self.gateways:
            gateway.check("p")
        await second.report_loss("p", "s1")
        for gateway in (first, second, third):
            self.assert_refused(gateway)
        third.check("other")

    async def test_trial_refused_because_of_a_second_loss_is_released(self):
        """Guards against peers that wait for a trial that never ran."""
        first, second, _ = self.gateways
        await first.report_loss("p", "s0")
        released = []
        second._membership.subscribe_records(
            NOTICE_KIND, lambda node, key, value: released.append(value)
        )
        start = asyncio.ensure_future(first.begin_run("p"))
        await asyncio.sleep(0)
        first._add_loss("p", "s1/0")
        with self.assertRaises(RefusedError):
            await start
        await self.timers.advance(0.1)
        self.assertIn(b"release", released[-1])

    async def test_claims_of_gateways_that_are_gone_are_dropped(self):
        first, second, _ = self.gateways
        await first.report_loss("p", "s0")
        await first.begin_run("p")
        self.assertIn("p", second._claims)
        await self.timers.advance(TRIAL_LIFETIME_S + 1)
        await first.report_loss("q", "s1")
        await self.gateways[2].begin_run("q")
        self.assertNotIn("p", second._claims)

    async def test_one_loss_seen_by_several_gateways_counts_once(self):
        for gateway in self.gateways:
            await gateway.report_loss("p", "s0")
        self.gateways[0].check("p")

    async def test_same_server_lost_again_after_its_restart_counts_twice(self):
        await self.gateways[0].report_loss("p", "s0")
        restarted = self.bus.announced["s0"]._replace(incarnation=2)
        self.bus.announced["s0"] = restarted
        await self.gateways[1].report_loss("p", "s0")
        self.assert_refused(self.gateways[2])

    async def test_gateway_that_starts_later_learns_the_losses(self):
        await self.gateways[0].report_loss("p", "s0")
        await self.gateways[0].report_loss("p", "s1")
        self.assert_refused(self.join("late"))

    async def test_success_clears_a_suspect_everywhere(self):
        await self.gateways[0].report_loss("p", "s0")
        self.gateways[1].report_success("p")
        await self.timers.advance(20)
        await self.gateways[2].report_loss("p", "s1")
        for gateway in self.gateways:
            gateway.check("p")

    async def test_loss_of_a_rack_does_not_quarantine_a_request_that_succeeded(self):
        for gateway in self.gateways:
            gateway.report_success("popular")
        for index, gateway in enumerate(self.gateways):
            await gateway.report_loss("popular", f"s{index}")
        self.gateways[0].check("popular")

    async def test_entry_expires_after_ten_minutes(self):
        await self.gateways[0].report_loss("p", "s0")
        await self.gateways[0].report_loss("p", "s1")
        await self.timers.advance(590)
        self.assert_refused(self.gateways[1])
        await self.timers.advance(11)
        for gateway in self.gateways:
            gateway.check("p")
            self.assertEqual(gateway.entries(), [])

    async def test_operator_lists_and_clears_on_any_gateway(self):
        await self.gateways[0].report_loss("p", "s0")
        await self.gateways[1].report_loss("p", "s1")
        (entry,) = self.gateways[2].entries()
        self.assertTrue(entry.quarantined)
        self.assertEqual(entry.losses, ("s0/0", "s1/0"))
        self.assertTrue(self.gateways[2].clear("p"))
        await self.timers.advance(0)
        for gateway in self.gateways:
            gateway.check("p")
        self.join("late").check("p")

    async def test_each_gateway_logs_that_it_cleared_a_request(self):
        await self.gateways[0].report_loss("p", "s0")
        with self.assertLogs("geraniumbend", "INFO") as logs:
            self.gateways[1].clear("p")
            await self.timers.advance(0)
        cleared = [line for line in logs.output if "request_cleared" in line]
        self.assertEqual(len(cleared), 3)

    async def test_copies_through_several_gateways_run_one_at_a_time(self):
        await self.gateways[0].report_loss("p", "s0")
        results = await asyncio.gather(
            *(gateway.begin_run("p") for gateway in self.gateways * 2),
            return_exceptions=True,
        )
        running = [result for result in results if result is None]
        self.assertLessEqual(len(running), 1)

    async def test_suspect_may_run_again_after_a_trial_without_outcome(self):
        await self.gateways[0].report_loss("p", "s0")
        await self.gateways[0].begin_run("p")
        with self.assertRaises(RefusedError):
            await self.gateways[1].begin_run("p")
        self.gateways[0].end_run("p")
        await self.timers.advance(0)
        await self.gateways[1].begin_run("p")

    async def test_suspects_of_one_gateway_wait_for_each_other(self):
        gateway = self.gateways[0]
        await gateway.report_loss("p", "s0")
        await gateway.report_loss("bystander", "s0")
        await gateway.begin_run("p")
        waiting = asyncio.ensure_future(gateway.begin_run("bystander"))
        await self.timers.advance(0.1)
        self.assertFalse(waiting.done())
        await gateway.report_loss("p", "s1")
        await self.timers.advance(0.1)
        self.assertIsNone(waiting.result())
