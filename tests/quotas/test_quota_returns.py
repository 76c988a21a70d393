"""Callers of a tenant far above its quota that return once after a refusal."""

from __future__ import annotations

import asyncio
import random
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.quotas import _refusals
from tests.quotas._fleet import Fleet
from tests.quotas.test_quota_properties import GATEWAYS, TENANTS, build_loads

# Time that callers have, and time that a response needs, in seconds.
CALLER_S = 2.4
RESPONSE_S = 0.3
# Callers wait for a third of the time that they have left at most.
HONOURED_SHARE = 1 / 3
PLAYED_S = 6.0


class ReturningFleet(Fleet):
    """Callers return once, after the stated delay; counts who is served in time."""

    in_time = late = 0
    held_s = 0.0

    async def _ask(self, node, name):
        asked_at = self.clock.now()
        for _ in range(2):
            begin = self.clock.now()
            left_s = asked_at + CALLER_S - begin
            try:
                await node.quotas.admit(TENANTS[name], max(0.0, left_s - RESPONSE_S))
            except RefusedError as error:
                self.held_s = max(self.held_s, self.clock.now() - begin)
                left_s = asked_at + CALLER_S - self.clock.now()
                delay_s = min(error.retry_after_s, HONOURED_SHARE * left_s)
                await self.clock.sleep(delay_s)
                node = self.rng.choice(list(self.nodes.values()))
                continue
            if name == "large":
                is_in_time = self.clock.now() - asked_at <= CALLER_S - RESPONSE_S
                self.in_time += is_in_time
                self.late += not is_in_time
            return


class QuotaReturnTest(unittest.IsolatedAsyncioTestCase):
    async def test_quota_is_used_by_callers_that_are_served_in_time(self):
        """Guards against a quota that is spent on callers whose time is over."""
        asyncio.get_running_loop().set_debug(False)
        fleet = ReturningFleet(6, GATEWAYS, TENANTS.values())
        fleet.loads = build_loads({})
        await fleet.run(3.0)
        fleet.in_time = fleet.late = 0
        fleet.loads = build_loads({"large": 7.0})
        await fleet.run(PLAYED_S)
        await fleet.stop()
        self.assertEqual(fleet.late, 0)
        allowed = TENANTS["large"].rate_per_s * PLAYED_S
        self.assertGreater(fleet.in_time, 0.9 * allowed)
        # A used quota is known at once, or soon after a message about it was lost.
        self.assertLess(fleet.held_s, CALLER_S / 4)

    def test_callers_return_when_the_quota_has_room_and_not_together(self):
        """Guards against returns to the same refusal, and against returns at once."""
        rng = random.Random(1)
        tenant = TENANTS["small"]
        refusals = [
            _refusals.build_refusal(tenant, "used", 4.0, rng) for _ in range(50)
        ]
        delays = [refusal.retry_after_s for refusal in refusals]
        self.assertGreaterEqual(min(delays), 4.0)
        self.assertGreater(max(delays) - min(delays), 1.0)
