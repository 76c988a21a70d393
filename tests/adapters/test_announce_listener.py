from __future__ import annotations

import json
import unittest

import aiohttp

from geraniumbend.adapters.announce_listener import AnnounceListener
from geraniumbend.errors import UnavailableError
from geraniumbend.membership import AnnouncementApi
from geraniumbend.settings import ListenSettings

VALID = {"host": "10.0.0.1", "port": 80, "incarnation": 1}
VALID_BODY = json.dumps(VALID)


class FakeMembership:
    def __init__(self):
        self.announced = []
        self.deregistered = []
        self.broken = None

    def announce(self, announcement):
        if self.broken:
            raise self.broken
        self.announced.append(announcement)
        return True

    def deregister(self, server_id, incarnation):
        self.deregistered.append((server_id, incarnation))
        return True


class FakeDepartures:
    async def store(self, server_id, timeout_s):
        return True


class FakeSource:
    def __init__(self):
        self.ready = True

    def is_ready(self):
        return self.ready

    def dump(self):
        return {"state": 1}

    def render_metrics(self):
        return b"metric 1\n"


class AnnounceListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.source = FakeSource()
        self.membership = FakeMembership()
        announcements = AnnouncementApi(self.membership, FakeDepartures())
        self.listener = AnnounceListener(ListenSettings(), self.source, announcements)
        await self.listener.start()
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{self.listener.port}")

    async def asyncTearDown(self):
        await self.session.close()
        await self.listener.stop()

    async def call(self, method, path, body=None):
        async with self.session.request(method, path, data=body) as response:
            return response.status, await response.read()

    async def test_announcement_is_accepted_with_defaults(self):
        body = json.dumps({**VALID, "labels": {"a": "b"}})
        status, response = await self.call("PUT", "/v1/backend-servers/s%201", body)
        self.assertEqual(status, 200)
        self.assertGreater(json.loads(response)["renew_after_s"], 0)
        server = self.membership.announced[0].server
        self.assertEqual((server.server_id, server.port), ("s 1", 80))
        self.assertEqual((server.slots, server.connection_limit), (1, 220))

    async def test_malformed_announcements_are_refused_and_change_nothing(self):
        for body in (
            "",
            "[]",
            "{",
            b"\xff",
            json.dumps({"host": "10.0.0.1"}),
            json.dumps({**VALID, "host": "name.example"}),
            json.dumps({**VALID, "unknown": 1}),
            json.dumps({**VALID, "port": 0}),
            json.dumps({**VALID, "slots": -1}),
            json.dumps({**VALID, "labels": {"a": 1}}),
            json.dumps({**VALID, "lease_s": 1e9}),
            json.dumps({**VALID, "incarnation": 2**63}),
            json.dumps({**VALID, "labels": {"a": "x" * 70_000}}),
        ):
            status, response = await self.call("PUT", "/v1/backend-servers/s", body)
            self.assertIn(status, (400, 413), response)
            self.assertTrue(json.loads(response))
        status, _ = await self.call("PUT", "/v1/backend-servers/s%2F1", VALID_BODY)
        self.assertEqual(status, 400)
        self.assertEqual(self.membership.announced, [])

    async def test_typed_and_unexpected_errors_become_statuses(self):
        for error, status in ((UnavailableError("no"), 503), (ValueError(), 500)):
            self.membership.broken = error
            got, _ = await self.call("PUT", "/v1/backend-servers/s", VALID_BODY)
            self.assertEqual(got, status)

    async def test_readiness_health_state_and_metrics(self):
        self.assertEqual((await self.call("GET", "/readyz"))[0], 200)
        self.source.ready = False
        self.assertEqual((await self.call("GET", "/readyz"))[0], 503)
        self.assertEqual((await self.call("GET", "/healthz"))[0], 200)
        self.assertEqual(await self.call("GET", "/state"), (200, b'{"state": 1}'))
        self.assertEqual(await self.call("GET", "/metrics"), (200, b"metric 1\n"))
        path = "/v1/backend-servers/s?incarnation=7"
        self.assertEqual((await self.call("DELETE", path))[0], 200)
        self.assertEqual(self.membership.deregistered, [("s", 7)])
        self.assertEqual((await self.call("POST", "/v1/backend-servers/s"))[0], 405)
        self.assertEqual((await self.call("POST", "/readyz"))[0], 405)
        self.assertEqual((await self.call("GET", "/nothing"))[0], 404)
