from __future__ import annotations

import asyncio
import json
import signal
import unittest

from bench._cluster import Cluster, wait_for_any

LOG_TIMEOUT_S = 10


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_sigusr1_logs_the_state_and_sigterm_exits_with_code_zero(self):
        cluster = Cluster(gateways=1, controls=0)
        gateway = cluster.gateways[0]
        await gateway.start()
        self.addAsyncCleanup(cluster.stop)
        await wait_for_any([f"http://{cluster.announces[0]}/healthz"])
        gateway.signal(signal.SIGUSR1)
        line = await self.read_event(gateway, 903)
        self.assertIn("membership", line["state"])
        self.assertNotIn("loopback-experiments-only", json.dumps(line))
        self.assertEqual(await gateway.stop(), 0)

    async def read_event(self, process, number):
        path = process.folder / f"{process.name}.log"
        for _ in range(LOG_TIMEOUT_S * 20):
            for text in path.read_text().splitlines():
                line = json.loads(text)
                if line["event"] == number:
                    return line
            await asyncio.sleep(0.05)
        self.fail(f"no event {number} in the log")
