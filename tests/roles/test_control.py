from __future__ import annotations

import tempfile
import unittest

import aiohttp
from bench._cluster import reserve_port

from geraniumbend.adapters.rpc import RpcClients
from geraniumbend.errors import RefusedError
from geraniumbend.keys import KeyRing
from geraniumbend.orders import OrderClient
from geraniumbend.roles.control import Control
from geraniumbend.settings import parse_settings
from geraniumbend.timers import LoopTimers

SETTINGS = """
[node]
name = "c0"
[[keys]]
number = 1
secret = "0123456789abcdef"
[peer.listen]
port = {port}
[control]
data_folder = "{folder}"
order_shards = {shards}
voters = {{ c0 = "127.0.0.1:{port}" }}
"""
GROUP = {"operation": "set_group", "group": {"name": "a", "selector": "app=x"}}


class ControlTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.port = reserve_port()
        self.control = await self.start()
        self.clients = RpcClients(KeyRing([(1, b"0123456789abcdef")]))
        self.orders = OrderClient(
            [f"127.0.0.1:{self.port}"], self.clients, LoopTimers()
        )

    async def asyncTearDown(self):
        await self.orders.stop()
        await self.clients.close()
        await self.control.stop()
        self.folder.cleanup()

    def build(self, shards):
        text = SETTINGS.format(port=self.port, folder=self.folder.name, shards=shards)
        return Control.from_config(parse_settings(text))

    async def start(self, shards=2):
        control = self.build(shards)
        await control.start()
        return control

    async def restart(self, shards=2):
        await self.control.stop()
        self.control = await self.start(shards)

    async def send(self, method, path, body=None):
        url = f"http://127.0.0.1:{self.control._api.port}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status, await response.json(content_type=None)

    async def claim(self, key, deadline_s=5.0):
        return await self.orders.claim(key, b"ann", b"pay", "g", deadline_s)

    async def test_changes_and_order_results_survive_a_restart(self):
        change = {"operations": [GROUP], "expected_revision": 0}
        change["change_id"] = "00000000-0000-0000-0000-000000000001"
        status, first = await self.send("POST", "/v1/configuration", change)
        self.assertEqual((status, first["revision"]), (200, 1))
        claims = [await self.claim(f"k{number}") for number in range(4)]
        for claim in claims:
            await self.orders.complete(claim, claim.key.encode())
        await self.restart()
        _, resent = await self.send("POST", "/v1/configuration", change)
        self.assertEqual((resent["revision"], resent["repeated"]), (1, True))
        for claim in claims:
            retried = await self.claim(claim.key)
            self.assertEqual(retried.response, claim.key.encode())

    async def test_orders_are_refused_if_order_shards_differs_from_the_cluster(self):
        await self.orders.complete(await self.claim("k0"), b"paid")
        await self.restart(shards=3)
        # A claim accepted before the numbers are compared may go to a wrong log.
        self.assertTrue(self.build(2)._orders._blocked)
        for number in range(4):
            with self.assertRaises(RefusedError):
                await self.claim(f"k{number}", deadline_s=0.4)
        await self.restart(shards=2)
        self.assertEqual((await self.claim("k0")).response, b"paid")
