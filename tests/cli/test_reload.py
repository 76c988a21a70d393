from __future__ import annotations

import asyncio
import json
import signal
import unittest

from bench._cluster import Cluster, wait_for_any

LOG_TIMEOUT_S = 10


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against SIGHUP stopping a process, and against missed settings changes."""

    async def asyncSetUp(self):
        self.cluster = Cluster(gateways=1, controls=0)
        self.gateway = self.cluster.gateways[0]
        await self.gateway.start()
        self.addAsyncCleanup(self.cluster.stop)
        await wait_for_any([f"http://{self.cluster.announces[0]}/healthz"])
        self.path = self.gateway.folder / f"{self.gateway.name}.toml"

    async def read_event(self, number):
        log = self.gateway.folder / f"{self.gateway.name}.log"
        for _ in range(LOG_TIMEOUT_S * 20):
            for text in log.read_text().splitlines():
                line = json.loads(text)
                if line["event"] == number:
                    return line
            await asyncio.sleep(0.05)
        self.fail(f"no event {number} in the log")

    async def test_sighup_reloads_the_settings_without_stopping_the_process(self):
        self.gateway.signal(signal.SIGHUP)
        line = await self.read_event(904)
        self.assertFalse(line["changed"])
        self.assertEqual(await self.gateway.stop(), 0)

    async def test_file_that_changes_without_a_signal_is_reloaded(self):
        text = self.path.read_text()
        self.path.write_text(text.replace("seeds = [", 'seeds = ["127.0.0.1:1", '))
        line = await self.read_event(904)
        self.assertTrue(line["changed"])

    async def test_invalid_settings_file_does_not_stop_the_process(self):
        self.path.write_text("[node")
        self.gateway.signal(signal.SIGHUP)
        line = await self.read_event(905)
        self.assertIn("no TOML", line["error"])
        self.assertEqual(await self.gateway.stop(), 0)
