from __future__ import annotations

import unittest
from unittest import mock

from geraniumbend.configuration import ConfigurationStore, _store
from geraniumbend.model import Rule
from geraniumbend.timers import ManualTimers
from tests.configuration.cluster import FakeCluster
from tests.configuration.test_replacement import build

LIMIT_BYTES = 20_000
RULES = 40


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.object(_store, "HISTORY_BYTES", LIMIT_BYTES)
        patch.start()
        self.addCleanup(patch.stop)
        self.cluster = FakeCluster(ManualTimers())
        self.store = self.cluster.stores["a"]

    async def change_all(self, version, count=RULES):
        rules = [Rule(f"r{n}", "a", wait_limit_s=1.0 + version) for n in range(count)]
        await self.cluster.services["a"].replace(build(version, *rules), b"v", "op")

    def count_bytes(self, store):
        return sum(len(entry.operations) for entry in store.history)

    async def test_history_is_bounded_in_bytes(self):
        """Guards against hosts whose memory grows with the size of each change."""
        for version in range(1, 31):
            await self.change_all(version)
            self.assertLessEqual(self.count_bytes(self.store), LIMIT_BYTES)
        self.assertGreater(len(self.store.history), 1)
        revision = self.store.current.revision
        self.assertEqual(len(self.store.changes_since(revision - 1)), 1)
        # Who lacks older changes gets the whole configuration.
        self.assertIsNone(self.store.changes_since(1))

    async def test_restored_history_is_bounded_too(self):
        with mock.patch.object(_store, "HISTORY_BYTES", 100 * LIMIT_BYTES):
            for version in range(1, 31):
                await self.change_all(version)
            snapshot = self.store.snapshot()
        self.assertGreater(self.count_bytes(self.store), LIMIT_BYTES)
        restored = ConfigurationStore()
        restored.restore(snapshot)
        self.assertEqual(restored.current, self.store.current)
        self.assertLessEqual(self.count_bytes(restored), LIMIT_BYTES)
        self.assertEqual(list(restored.history)[-1], list(self.store.history)[-1])

    async def test_change_beyond_the_limit_leaves_an_empty_history(self):
        await self.change_all(1, count=1_000)
        self.assertEqual(len(self.store.history), 0)
        self.assertIsNone(self.store.changes_since(0))
        self.assertEqual(self.store.changes_since(self.store.current.revision), [])
