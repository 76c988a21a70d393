"""What one gateway admits for a tenant while its allocators fail."""

from __future__ import annotations

import math
import random
import unittest
from unittest import mock

from geraniumbend.errors import RefusedError
from geraniumbend.model import Tenant
from geraniumbend.quotas import _account
from geraniumbend.quotas._account import REPLACEMENT_S, TenantAccount
from geraniumbend.quotas._local_share import MAX_ALONE_S
from geraniumbend.quotas._messages import QuotaState
from geraniumbend.quotas._stream import MAX_REPEAT_S
from tests.fakes import StepTimers

TENANT = Tenant("t", ("a",), None, 100.0, 100.0)


class FakeAllocators:
    """Two allocators that answer every report at once, unless they are lost."""

    def __init__(self, gateways=4):
        self.gateways = gateways
        self.lost = set()
        self.asked = []
        self.account = None

    def choose_allocator(self, tenant, index):
        return f"n{index}"

    def count_gateways(self):
        return self.gateways

    def send_report(self, node, report):
        self.asked.append(node)
        if node not in self.lost:
            state = QuotaState(
                report.tenant,
                report.allocator,
                report.session,
                report.number,
                report.used,
                report.wanted,
                restricted=False,
            )
            self.account.accept(node, state)


class TenantAccountTest(unittest.IsolatedAsyncioTestCase):
    def build(self, gateways=4, tenant=TENANT):
        self.timers = StepTimers()
        self.port = FakeAllocators(gateways)
        rng = random.Random(1)
        self.account = TenantAccount(tenant, self.port, self.timers, rng)
        self.port.account = self.account

    def silence(self, duration_s, *nodes):
        """Lose allocators for some time."""
        self.port.lost = set(nodes)
        for _ in range(round(duration_s / 0.1)):
            self.timers.step(0.1)
            self.account.maintain()

    async def ask(self, count):
        """Return how many of some requests are admitted, without waiting."""
        admitted = 0
        for _ in range(count):
            self.account._wait = self._step
            try:
                await self.account.admit(max_wait_s=0.0)
                admitted += 1
            except RefusedError:
                pass
        return admitted

    async def _step(self, waiter, wait_s):
        self.timers.step(wait_s)

    async def test_allocator_that_was_silent_for_long_is_asked_again(self):
        """Guards against a link that returns after 30 s and is never used again."""
        self.build()
        await self.ask(4)
        self.port.lost = {"n0", "n1"}
        await self.ask(4)
        self.silence(MAX_REPEAT_S + 5.0, "n0", "n1")
        self.port.lost = set()
        self.port.asked.clear()
        await self.ask(8)
        self.assertEqual(set(self.port.asked), {"n0", "n1"})
        self.assertFalse(self.account.is_restricted())

    async def test_gateway_admits_alone_in_a_second_failure(self):
        """Guards against the time alone that counts from an earlier failure."""
        self.build()
        await self.ask(4)
        admitted = []
        for _ in range(2):
            await self.ask(8)
            self.silence(1.0, "n0", "n1")
            admitted.append(await self.ask(40))
            self.silence(1.0)
            self.timers.step(MAX_ALONE_S)
            await self.ask(8)
        self.assertGreater(min(admitted), 1)

    async def lose_allocators(self):
        """Lose both allocators, and use up what the gateway admits alone."""
        self.build()
        await self.ask(4)
        self.port.lost = {"n0", "n1"}
        await self.ask(8)
        self.silence(0.5, "n0", "n1")
        await self.ask(200)
        self.began_at = self.timers.now()
        self.timers.sleep = self._sleep

    async def _sleep(self, delay_s):
        self.timers.step(delay_s)
        self.account.maintain()
        if self.timers.now() - self.began_at > self.lost_s:
            self.port.lost = set()

    async def test_request_waits_for_the_successor_of_a_lost_allocator(self):
        """Guards against refusals of callers that have time until it is replaced."""
        self.lost_s = 0.8
        await self.lose_allocators()
        ticket = await self.account.admit(max_wait_s=2.0)
        self.assertIsNotNone(ticket)
        self.assertLess(self.timers.now() - self.began_at, 1.2)

    async def test_request_does_not_wait_beyond_the_time_of_its_caller(self):
        """Guards against callers that are held while both allocators are silent."""
        self.lost_s = 100.0
        await self.lose_allocators()
        with mock.patch.object(_account, "ALONE_SHARES", (((math.inf, 0.0),),) * 2):
            with self.assertRaises(RefusedError):
                await self.account.admit(max_wait_s=0.6)
            self.assertLessEqual(self.timers.now() - self.began_at, 0.6 + 1e-9)
            # After some time no successor is expected any more.
            self.silence(REPLACEMENT_S, "n0", "n1")
            self.began_at = self.timers.now()
            with self.assertRaises(RefusedError):
                await self.account.admit(max_wait_s=20.0)
            self.assertLess(self.timers.now() - self.began_at, 1.0)
