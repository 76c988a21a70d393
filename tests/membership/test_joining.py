from __future__ import annotations

import asyncio
import random
import unittest

from geraniumbend.membership._joining import Joining
from geraniumbend.timers import ManualTimers


class FakeSync:
    """Seeds that answer, refuse or have no power."""

    def __init__(self, **seeds):
        self.seeds = seeds
        self.asked = []

    async def run(self, addresses, replace, budgeted=True):
        (address,) = addresses
        self.asked.append(address)
        behaviour = self.seeds[address]
        if behaviour == "dark":
            await asyncio.get_running_loop().create_future()
        return int(behaviour == "answers")


class JoiningTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()

    def build(self, sync, seed=1):
        joining = Joining(sync, self.timers, random.Random(seed))
        self.addCleanup(joining.stop)
        return joining

    async def start(self, joining, sync, patience_s=0.4):
        return asyncio.ensure_future(joining.start(list(sync.seeds), patience_s))

    async def test_seed_without_power_does_not_hold_up_a_start(self):
        """Guards against a start that waits a second for each lost seed."""
        for seed in range(6):
            with self.subTest(seed=seed):
                sync = FakeSync(a="dark", b="dark", c="answers")
                joining = self.build(sync, seed)
                starting = await self.start(joining, sync, patience_s=1.0)
                await self.timers.advance(0.6)
                self.assertTrue(starting.done())
                self.assertTrue(joining.joined)

    async def test_start_goes_on_while_seeds_are_asked_further(self):
        sync = FakeSync(a="dark")
        joining = self.build(sync)
        starting = await self.start(joining, sync)
        await self.timers.advance(0.5)
        self.assertTrue(starting.done())
        self.assertFalse(joining.joined)

    async def test_seed_that_refuses_is_asked_again_soon(self):
        """Guards against a cluster lost as a whole that finds together late."""
        sync = FakeSync(a="refuses", b="refuses")
        joining = self.build(sync)
        await self.start(joining, sync)
        await self.timers.advance(0.1)
        sync.seeds["b"] = "answers"
        await self.timers.advance(0.4)
        self.assertTrue(joining.joined)
        self.assertGreater(len(sync.asked), 2)

    async def test_process_without_seeds_has_joined(self):
        sync = FakeSync()
        joining = self.build(sync)
        await joining.start([], 1.0)
        self.assertTrue(joining.joined)
