from __future__ import annotations

import asyncio
import json
import signal
import unittest

from bench._cluster import Cluster, wait_for_any

LOG_TIMEOUT_S = 10


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_control_host_shows_the_stages_of_its_start(self):
        cluster = Cluster(gateways=0, controls=1)
        control = cluster.controls[0]
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        stages = [
            "settings_read",
            "logs_loaded",
            "first_commits",
            "operators_listening",
        ]
        await self.wait_for_stages(control, stages)
        control.signal(signal.SIGUSR1)
        line = await self.read_event(control, 903)
        self.assertLessEqual(set(stages), set(line["state"]["start"]["reached_s"]))
        self.assertEqual(line["state"]["start"]["waits_for"], {})

    async def wait_for_stages(self, process, stages):
        path = process.folder / f"{process.name}.log"
        for _ in range(LOG_TIMEOUT_S * 20):
            lines = [json.loads(text) for text in path.read_text().splitlines()]
            reached = {line.get("stage") for line in lines if line["event"] == 930}
            if reached >= {*stages, "cluster_id_recorded"}:
                return
            await asyncio.sleep(0.05)
        self.fail(f"reached only {reached}")

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

    # A gateway that never became ready left no line that tells what it waited for.
    async def test_gateway_without_control_hosts_logs_what_it_waits_for(self):
        cluster = Cluster(gateways=1, controls=1)
        gateway = cluster.gateways[0]
        await gateway.start()
        self.addAsyncCleanup(cluster.stop)
        starts = await self.read_event(gateway, 906)
        self.assertEqual(starts["pid"], gateway.running.pid)
        self.assertIn("descriptors", starts["limits"])
        wait = await self.read_event(gateway, 931)
        self.assertEqual(wait["stage"], "control_host_found")
        self.assertIn("ready", wait["not_reached"])
        self.assertEqual(await gateway.stop(), 0)
        stopped = await self.read_event(gateway, 901)
        self.assertEqual(stopped["signal"], "SIGTERM")

    async def read_event(self, process, number):
        path = process.folder / f"{process.name}.log"
        for _ in range(LOG_TIMEOUT_S * 20):
            for text in path.read_text().splitlines():
                line = json.loads(text)
                if line["event"] == number:
                    return line
            await asyncio.sleep(0.05)
        self.fail(f"no event {number} in the log")
