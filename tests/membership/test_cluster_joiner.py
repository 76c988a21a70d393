from __future__ import annotations

import asyncio
import random
import unittest

from geraniumbend.membership._cluster_joiner import ClusterJoiner
from geraniumbend.timers import ManualTimers


class FakeAntiEntropy:
    """Seeds that respond, refuse or are silent."""

    def __init__(self, **seeds):
        self.seeds = seeds
        self.contacted = []

    async def run(self, addresses, drop_unconfirmed, budgeted=True):
        (address,) = addresses
        self.contacted.append(address)
        behaviour = self.seeds[address]
        if behaviour == "silent":
            await asyncio.get_running_loop().create_future()
        return int(behaviour == "responds")


class ClusterJoinerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()

    def build(self, anti_entropy, seed=1):
        joiner = ClusterJoiner(anti_entropy, self.timers, random.Random(seed))
        self.addCleanup(joiner.stop)
        return joiner

    async def start(self, joiner, anti_entropy, max_wait_s=0.4):
        return asyncio.ensure_future(joiner.start(list(anti_entropy.seeds), max_wait_s))

    async def test_silent_seed_does_not_delay_a_start(self):
        """Guards against a start that waits a second for each seed without power."""
        for seed in range(6):
            with self.subTest(seed=seed):
                anti_entropy = FakeAntiEntropy(a="silent", b="silent", c="responds")
                joiner = self.build(anti_entropy, seed)
                starting = await self.start(joiner, anti_entropy, max_wait_s=1.0)
                await self.timers.advance(0.6)
                self.assertTrue(starting.done())
                self.assertTrue(joiner.joined)

    async def test_start_returns_while_seeds_are_still_contacted(self):
        anti_entropy = FakeAntiEntropy(a="silent")
        joiner = self.build(anti_entropy)
        starting = await self.start(joiner, anti_entropy)
        await self.timers.advance(0.5)
        self.assertTrue(starting.done())
        self.assertFalse(joiner.joined)

    async def test_seed_that_refuses_is_contacted_again_soon(self):
        """Guards against slow rejoining after all nodes of a cluster failed at once."""
        anti_entropy = FakeAntiEntropy(a="refuses", b="refuses")
        joiner = self.build(anti_entropy)
        await self.start(joiner, anti_entropy)
        await self.timers.advance(0.1)
        anti_entropy.seeds["b"] = "responds"
        await self.timers.advance(0.4)
        self.assertTrue(joiner.joined)
        self.assertGreater(len(anti_entropy.contacted), 2)

    async def test_process_joins_when_a_seed_returns_after_minutes(self):
        """Guards against a process that stays alone after a long loss of its seeds."""
        anti_entropy = FakeAntiEntropy(a="refuses")
        joiner = self.build(anti_entropy)
        await self.start(joiner, anti_entropy)
        await self.timers.advance(60.0)
        anti_entropy.seeds["a"] = "responds"
        await self.timers.advance(1.0)
        self.assertTrue(joiner.joined)

    async def test_process_without_seeds_has_joined(self):
        anti_entropy = FakeAntiEntropy()
        joiner = self.build(anti_entropy)
        await joiner.start([], 1.0)
        self.assertTrue(joiner.joined)
