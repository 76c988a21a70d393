"""Server that names a limit, behind gateways that share it."""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform._deployment import Deployment
from tests.platform.test_configuration import build_document
from tests.platform.test_system import ROUTES, respond_as

GATEWAYS = (11, 12, 13)
LIMIT_PER_S = 4.8
# Times and factors of the platform's rule LIMIT.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUESTS_PER_S = 60
TRAFFIC_S = STABLE_WINDOW_S + WINDOW_S + 2.0


def count_most(arrivals, first, window_s=WINDOW_S):
    """Return the largest number of arrivals in a window that starts at `first`."""
    times = sorted(time_s for time_s in arrivals if time_s >= first)
    return max(
        (sum(start <= t <= start + window_s for t in times) for start in times),
        default=0,
    )


class ServerLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        self.arrivals = []
        self.statuses = []

    async def announce(self, name, port, sequence):
        body = {
            "address": f"127.0.0.1:{port}",
            "info": {"service": "one", "version": "v", "zone": "a", "capacity": 8},
            "status": {"state": "ready", "sequence": sequence},
            "born": 7,
        }
        await self.deployment.call_control(
            "POST", f"/-/instances/{name}/heartbeat", body
        )

    async def start_gateways(self):
        deployment = self.deployment
        await asyncio.gather(*map(deployment.start_gateway, GATEWAYS))
        document = build_document(ROUTES)

        async def accepted():
            status, _ = await deployment.call_control("POST", "/-/config/put", document)
            return status == 200

        await deployment.wait_until(accepted)
        for gateway in deployment.gateways.values():
            await deployment.wait_until_configured(gateway)

    async def send_traffic(self, duration_s):
        """Send requests at a steady rate, most of them to the first gateway."""

        async def send(host):
            fields = {"Geraniumbend-Request-Id": f"{len(self.statuses)}-{time.time()}"}
            status, _, _ = await self.deployment.send_request("/p/x", host, **fields)
            self.statuses.append(status)

        sends = []
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < duration_s:
            if len(sends) < elapsed * REQUESTS_PER_S:
                host = GATEWAYS[(0, 0, 0, 1, 1, 2)[len(sends) % 6]]
                sends.append(asyncio.ensure_future(send(host)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*sends)

    # Guards against gateways that together send a server more than the limit that it
    # names, by requests, retries or load probes (incident LIMIT).
    async def test_gateways_keep_a_named_limit_together(self):
        respond = respond_as(b"i-1", extra=b"Server-Limit: %.1f\r\n" % LIMIT_PER_S)

        async def record_and_respond(received, reader, writer):
            self.arrivals.append(time.monotonic())
            await respond(received, reader, writer)

        async with (
            ScriptedBackend(record_and_respond) as limited,
            ScriptedBackend(respond_as(b"i-2")) as other,
        ):
            await self.start_gateways()
            await self.announce("i-1", limited.port, 1)
            await self.announce("i-2", other.port, 1)
            await self.deployment.wait_until(
                lambda: all(
                    len(gateway._table.all_views()) == 2
                    for gateway in self.deployment.gateways.values()
                )
            )
            await self.send_traffic(TRAFFIC_S)
        self.assertTrue(self.arrivals)
        most = count_most(self.arrivals, min(self.arrivals) + STABLE_WINDOW_S)
        self.assertLessEqual(most, ALLOWED)
        self.assertEqual(set(self.statuses), {200})
