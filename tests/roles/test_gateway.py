from __future__ import annotations

import asyncio
import json
import unittest

import aiohttp

from geraniumbend.model import Configuration, Group, Rule, RuleMatch
from geraniumbend.roles.gateway import Gateway
from geraniumbend.settings import parse_settings
from tests.adapters._backend import ScriptedBackend, use_default_loop, use_uvloop

setUpModule = use_uvloop
tearDownModule = use_default_loop
SETTINGS = """
[node]
name = "gateway-0"
[[keys]]
number = 1
secret = "0123456789abcdef"
[gateway]
drain_delay_s = 0.2
drain_limit_s = 5.0
"""
RULES = {"r": Rule("r", "g", RuleMatch(path_prefix="/"), deadline_s=5.0)}
CONFIGURATION = Configuration(1, {"g": Group("g", "app=x")}, RULES)


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def script(received, reader, writer):
            await asyncio.sleep(float(received.head.split(b" ")[1][1:] or 0))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        self.backend = ScriptedBackend(script)
        await self.backend.__aenter__()
        self.gateway = Gateway.from_config(parse_settings(SETTINGS))
        self.stopping = None
        await self.gateway.start()
        self.session = aiohttp.ClientSession()
        self.announces = f"http://127.0.0.1:{self.gateway._announce.port}"

    async def asyncTearDown(self):
        await self.session.close()
        if self.stopping is None:
            await self.gateway.stop()
        await self.backend.__aexit__()

    async def announce(self, **fields):
        url = f"{self.announces}/v1/backend-servers/b"
        document = {"host": "127.0.0.1", "port": self.backend.port, "slots": 4}
        document["incarnation"] = 1
        document |= {"labels": {"app": "x"}, **fields}
        async with self.session.put(url, data=json.dumps(document)) as answer:
            self.assertEqual(answer.status, 200)

    async def status(self, url):
        async with self.session.get(url) as answer:
            await answer.read()
            return answer.status

    async def prepare(self):
        self.gateway._view.install(CONFIGURATION)
        self.gateway._follower.confirmed = True
        await self.wait_for(self.gateway.is_ready)
        self.callers = f"http://127.0.0.1:{self.gateway._callers.port}"
        await self.announce()
        await self.wait_for(lambda: self.gateway._table.available("g"))

    async def wait_for(self, condition):
        async with asyncio.timeout(2):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_ready_only_with_a_configuration_that_a_majority_confirmed(self):
        # A revision that no majority has confirmed may be older than the accepted one,
        # and a gateway that listened earlier answered 404 because it knew no rule yet.
        self.gateway._view.install(CONFIGURATION)
        await asyncio.sleep(0.1)
        self.assertEqual(await self.status(f"{self.announces}/readyz"), 503)
        self.assertEqual(self.gateway._callers.port, 0)
        await self.prepare()
        self.assertEqual(await self.status(f"{self.announces}/readyz"), 200)
        self.assertEqual(await self.status(f"{self.callers}/0"), 200)
        self.assertEqual(await self.status(f"{self.announces}/state"), 200)
        self.assertEqual(await self.status(f"{self.announces}/metrics"), 200)

    async def test_shutdown_is_unready_first_and_finishes_every_request(self):
        await self.prepare()
        slow = asyncio.ensure_future(self.status(f"{self.callers}/0.6"))
        await asyncio.sleep(0.1)
        self.stopping = asyncio.ensure_future(self.gateway.stop())
        await asyncio.sleep(0.05)
        self.assertEqual(await self.status(f"{self.announces}/readyz"), 503)
        # The balancer has not noticed yet and still sends requests.
        self.assertEqual(await self.status(f"{self.callers}/0"), 200)
        await asyncio.sleep(0.25)
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.status(f"{self.callers}/0")
        self.assertFalse(self.stopping.done())
        self.assertEqual(await slow, 200)
        await asyncio.wait_for(self.stopping, 2)

    async def test_draining_server_gets_no_new_request(self):
        await self.prepare()
        self.assertEqual(await self.status(f"{self.callers}/0"), 200)
        await self.announce(draining=True)
        await self.wait_for(lambda: not self.gateway._table.available("g"))
        self.assertEqual(await self.status(f"{self.callers}/0"), 503)
        self.assertEqual(len(self.backend.received), 1)
