"""Tenant with a quota, behind gateways that keep it together."""

from __future__ import annotations

import asyncio
import collections
import time
import unittest

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform._deployment import Deployment
from tests.platform.test_configuration import build_document
from tests.platform.test_system import ROUTES, respond_as

GATEWAYS = (11, 12, 13)
RATE_PER_S = 10.0
BURST = 5.0
TRAFFIC_S = 6.0
REQUESTS_PER_S = 60
WINDOW_S = 5.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20
# More than arrives at once after a stall of the event loop, so that nothing is refused
# for lack of capacity.
CAPACITY = 200
COLUMNS = ["name", "api-keys", "rate-per-s", "burst"]


class TenantQuotaSystemTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        self.answers = []

    async def configure(self, version, *rows):
        tenants = {"columns": COLUMNS, "rows": list(rows)}
        document = build_document(ROUTES, version, tenants=tenants)

        async def accepted():
            status, _ = await self.deployment.call_control(
                "POST", "/-/config/put", document
            )
            return status == 200

        await self.deployment.wait_until(accepted)

    async def announce(self, port):
        body = {
            "address": f"127.0.0.1:{port}",
            "info": {
                "service": "one",
                "version": "v",
                "zone": "a",
                "capacity": CAPACITY,
            },
            "status": {"state": "ready", "sequence": 1},
            "born": 7,
        }
        await self.deployment.call_control("POST", "/-/instances/i-1/heartbeat", body)

    async def send(self, key):
        host = GATEWAYS[len(self.answers) % len(GATEWAYS)]
        fields = {
            "Geraniumbend-Request-Id": f"{key}-{time.time()}",
            "Authorization": f"Bearer {key}",
        }
        status, _, headers = await self.deployment.send_request("/p/x", host, **fields)
        self.answers.append((time.monotonic(), key, status, headers))

    async def send_traffic(self):
        """Send six times the limit of one tenant, and little of another."""
        sends = []
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < TRAFFIC_S:
            if len(sends) < elapsed * REQUESTS_PER_S:
                key = "other" if len(sends) % 10 == 0 else "busy"
                sends.append(asyncio.ensure_future(self.send(key)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*sends)

    def list_quotas(self):
        return [
            gateway.tenant_parts.quotas for gateway in self.deployment.gateways.values()
        ]

    # Guards against gateways that together run more of a tenant than its quota allows,
    # against effects on other tenants, and against parts that stay without a quota.
    async def test_gateways_keep_a_quota_together(self):
        deployment = self.deployment
        async with ScriptedBackend(respond_as(b"i-1", capacity=CAPACITY)) as server:
            await asyncio.gather(*map(deployment.start_gateway, GATEWAYS))
            rows = [["a", ["busy"], RATE_PER_S, BURST], ["b", ["other"], 20.0, 20.0]]
            await self.configure("r1", *rows)
            for gateway in deployment.gateways.values():
                await deployment.wait_until_configured(gateway)
            await self.announce(server.port)
            await deployment.wait_until(
                lambda: all(
                    gateway._table.available("one")
                    for gateway in deployment.gateways.values()
                )
            )
            await self.send_traffic()
            state = deployment.gateways[GATEWAYS[0]].dump()["quotas"]
            self.assertEqual(state["fraction"], 1.0)
            metrics = deployment.gateways[GATEWAYS[0]].render_metrics()
            self.assertIn(b'quota_requests{outcome="refused_used",tenant="a"}', metrics)
            await self.configure("r2", ["a", ["busy"], 0, 0])
            await deployment.wait_until(lambda: not any(self.list_quotas()))
        busy = [(at, status) for at, key, status, _ in self.answers if key == "busy"]
        served = [at for at, status in busy if status == 200]
        most = max(sum(s <= t < s + WINDOW_S for t in served) for s in served)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreaterEqual(len(served), 0.7 * RATE_PER_S * TRAFFIC_S)
        self.assertEqual({status for _, status in busy}, {200, 429})
        others = collections.Counter(
            s for _, key, s, _ in self.answers if key != "busy"
        )
        self.assertGreaterEqual(others[200] / others.total(), 0.95, others)
        for _, _, status, headers in self.answers:
            if status == 429:
                self.assertGreater(float(headers["Retry-After"]), 0.0)
