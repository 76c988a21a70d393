"""Ordinary callers beside callers that ask for everything, and after them."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from bench._cluster import Cluster
from bench._stub_backend_server import StubBackendServer

from tests.crowds import _callers as callers
from tests.crowds._processes import ANSWER_TIMEOUT_S, START_TIMEOUT_S

CONFIGURATION = """\
[groups.classes]
selector = "app=classes"

[rules.class-lists]
group = "classes"
deadline_s = 5.0
match = { path_prefix = "/classes/" }
"""
PATH = "/classes/7?ms=5"
# Requests that the admission measures before it judges the demand.
FIRST_REQUESTS = 40
CONNECTIONS = 240


class FairAdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.cluster = Cluster(gateways=1, controls=1)
        self.crowd = callers.Crowd()
        self.addAsyncCleanup(self.cluster.stop)
        self.addCleanup(self.crowd.leave)
        await self.cluster.start()
        server = StubBackendServer(
            "classes-0", {"app": "classes"}, announce_to=self.cluster.announces, seed=1
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        file = self.cluster.folder / "classes.toml"
        file.write_text(CONFIGURATION)
        code, output = await self.cluster.operate("apply", str(file), "--wait")
        self.assertEqual(code, 0, output)
        await self.cluster.wait_until_ready()
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.ask() != 200:
                await asyncio.sleep(0.1)
        for _ in range(FIRST_REQUESTS):
            await self.ask()

    async def ask(self):
        """Return the status of one ordinary request on a connection of its own."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        url = f"http://{self.cluster.callers[0]}{PATH}"
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            await response.read()
            return response.status

    async def test_ordinary_requests_beside_and_after_pipelined_ones(self):
        """Guards against demand of a few connections that turns away all others."""
        host, _, port = self.cluster.callers[0].partition(":")
        target = ((host, int(port)), PATH.encode())
        await self.crowd.gather([target], CONNECTIONS, callers.send_pipelined)
        beside = await self.ask()
        self.crowd.leave()
        after = await self.ask()
        self.assertEqual((beside, after), (200, 200))
        self.assertIsNone(self.cluster.gateways[0].running.returncode)
