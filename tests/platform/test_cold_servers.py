"""Instances that announce to be cold, with control hosts and a gateway."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform.test_configuration import build_document
from tests.platform.test_system import ROUTES, PlatformCase, respond_as

PER_S = 8.8
SERVICES = {
    "columns": [
        "name",
        "health-path",
        "max-connections",
        "protocol",
        "tls",
        "warmup",
        "warmup-per-s",
    ],
    "rows": [["one", "/health", 220, "h1", False, "3000ms", PER_S]],
}


class PlatformColdServerTest(PlatformCase):
    async def test_cold_instance_gets_what_it_bears_until_it_is_warm(self):
        """Guards against a fresh instance that gets the requests of all gateways."""
        deployment = self.deployment
        arrivals = []
        respond = respond_as(b"i-1")

        async def record_and_respond(received, reader, writer):
            if received.head.startswith(b"GET /p/"):
                arrivals.append(time.monotonic())
            await respond(received, reader, writer)

        gateway = await deployment.start_gateway(11)
        document = build_document(ROUTES, "r1", services=SERVICES)
        await self.put_configuration(document)
        await deployment.wait_until_configured(gateway)
        # A host that has not applied the configuration yet drops the time; the next
        # heartbeat carries it.
        store = deployment.controls[1]._store
        await deployment.wait_until(lambda: store.current.version == 1)
        async with ScriptedBackend(record_and_respond) as backend:
            status = {"state": "ready", "sequence": 1, "warmup-left": "2500ms"}
            await self.send_heartbeat("i-1", backend.port, 1, status=status)
            await deployment.wait_until(lambda: gateway._limits.is_cold("i-1"))
            cold_until = time.monotonic() + 2.0
            statuses = Counter()
            while time.monotonic() < cold_until:
                answers = await asyncio.gather(
                    *(deployment.send_request("/p/x") for _ in range(5))
                )
                statuses.update(status for status, _, _ in answers)
                await asyncio.sleep(0.05)
            cold = [at for at in arrivals if at < cold_until]
            most = max(sum(start <= at < start + 1.0 for at in cold) for start in cold)
            self.assertLessEqual(most, 1.5 * PER_S + 8)
            self.assertEqual(set(statuses), {200, 503})
            self.assertIn("i-1", gateway.dump()["server_limits"])
            metrics = gateway.render_metrics()
            self.assertIn(b"cold_servers 1", metrics)
            self.assertIn(b'cold_server_requests{kind="refused"}', metrics)
            await deployment.wait_until(lambda: not gateway._limits.has_limits())
            answers = await asyncio.gather(
                *(deployment.send_request("/p/x") for _ in range(20))
            )
            self.assertEqual({status for status, _, _ in answers}, {200})
