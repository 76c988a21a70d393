"""Tenants of the platform, from the operator's call to the servers."""

from __future__ import annotations

import asyncio
import json
import logging
import time
import unittest

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform._deployment import Deployment
from tests.platform.test_configuration import ROUTES, SERVICES, build_document
from tests.platform.test_system import respond_as

COLUMNS = ["name", "api-keys", "priority", "rate-per-s", "burst"]
KEPT, REMOVED = "kept-key-of-alp", "removed-key-of-alp"
# Time after the acknowledgement in which a removed key may still run, in seconds.
REMOVAL_S = 2.0


def build_tenants(version, *keys):
    rows = [
        ["r1", "h.example", "/p/", "safe", "2000ms", "400ms", 2, None, 2, "one", False],
        ["r2", "h.example", "/o/", "safe", "2000ms", "400ms", 2, None, 2, "one", True],
    ]
    return build_document(version=version) | {
        "routes": {"columns": [*ROUTES, "public"], "rows": rows},
        "services": {
            "columns": SERVICES,
            "rows": [["one", "/health", 220, "h1", False]],
        },
        "tenants": {"columns": COLUMNS, "rows": [["alp", list(keys), None, None, 0]]},
    }


def list_requests(backend):
    """Return the callers' requests that a backend received.

    A probe that was sent for an earlier request may arrive at any time.
    """
    return [r for r in backend.received if not r.head.startswith(b"GET /health ")]


class TenantSystemTest(unittest.IsolatedAsyncioTestCase):
    """Guards against removed keys that run, and against keys that leave the gateway."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)

    async def put(self, document):
        async def is_accepted():
            status, _ = await self.deployment.call_control(
                "POST", "/-/config/put", document
            )
            return status == 200

        await self.deployment.wait_until(is_accepted)

    async def get(self, path, key=None, host=11):
        fields = {"Authorization": f"Bearer {key}"} if key else {}
        status, _, _ = await self.deployment.send_request(path, host, **fields)
        return status

    async def start(self, backend):
        deployment = self.deployment
        gateways = await asyncio.gather(*map(deployment.start_gateway, (11, 12)))
        await self.put(build_tenants("r1", KEPT, REMOVED))
        body = {
            "address": f"127.0.0.1:{backend.port}",
            "info": {"service": "one", "version": "v", "zone": "a", "capacity": 4},
            "status": {"state": "ready", "sequence": 1},
            "born": 7,
        }
        await deployment.call_control("POST", "/-/instances/i-1/heartbeat", body)
        for gateway in gateways:
            await deployment.wait_until_configured(gateway)
        for host in (11, 12):

            async def serves(host=host):
                return await self.get("/p/x", KEPT, host) == 200

            await deployment.wait_until(serves)

    async def test_keys_from_their_first_revision_to_their_removal(self):
        deployment = self.deployment
        with self.assertLogs("geraniumbend", logging.DEBUG) as logs:
            async with ScriptedBackend(respond_as(b"i-1")) as backend:
                await self.start(backend)
                await self.check_answers(backend)
                await self.check_removal(backend)
                await deployment.gateways.pop(11).stop()
                await self.check_restarted()
                heads = b"".join(received.head for received in backend.received)
        self.assertIn(b"Geraniumbend-Tenant: alp\r\n", heads)
        records = " ".join(str(record.__dict__) for record in logs.records)
        dumps = [process.dump() for process in deployment.controls.values()]
        dumps += [process.dump() for process in deployment.gateways.values()]
        metrics = deployment.gateways[12].render_metrics().decode()
        self.assertIn('tenant="alp"', metrics)
        self.assertIn('reason="unknown"', metrics)
        for key in (KEPT, REMOVED, "never-known"):
            for text in (heads.decode(), records, json.dumps(dumps), metrics):
                self.assertNotIn(key, text)

    async def check_answers(self, backend):
        sent = len(list_requests(backend))
        self.assertEqual(await self.get("/p/x"), 401)
        self.assertEqual(await self.get("/p/x", "never-known", 12), 401)
        self.assertEqual(await self.get("/none/x"), 404)
        self.assertEqual(await self.get("/none/x", KEPT), 404)
        self.assertEqual(len(list_requests(backend)), sent)
        self.assertEqual(await self.get("/o/x"), 200)
        self.assertNotIn(b"Geraniumbend-Tenant", list_requests(backend)[-1].head)

    async def check_removal(self, backend):
        """Send requests with the key on open connections while it is removed."""
        document = build_tenants("r2", KEPT)
        await self.put(document)
        acknowledged = time.monotonic()
        statuses = {11: [], 12: []}
        while time.monotonic() < acknowledged + REMOVAL_S:
            for host, seen in statuses.items():
                seen.append(await self.get("/p/x", REMOVED, host))
            await asyncio.sleep(0.05)
        sent = len(list_requests(backend))
        for host, seen in statuses.items():
            self.assertLessEqual(set(seen), {200, 401})
            self.assertEqual(await self.get("/p/x", REMOVED, host), 401)
        self.assertEqual(len(list_requests(backend)), sent)
        self.assertEqual(await self.get("/p/x", KEPT), 200)
        _, source = await self.deployment.call_control("GET", "/-/config/get")
        self.assertEqual(json.loads(source), document)

    async def check_restarted(self):
        """Start a gateway again: it asks for the revision before it listens."""
        gateway = await self.deployment.start_gateway(11)
        await self.deployment.wait_until_configured(gateway)
        self.assertEqual(await self.get("/p/x", REMOVED), 401)
