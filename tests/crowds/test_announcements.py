"""Announcements of ever new backend servers, which need no key, against processes."""

from __future__ import annotations

import asyncio
import json

from tests.crowds import _callers as callers
from tests.crowds._case import CrowdCase
from tests.crowds.test_legal_requests import read_status

CONNECTIONS = 30
ANNOUNCEMENTS = 1000
ANNOUNCING_S = 60.0


BODY = {
    "address": "127.0.0.1:9",
    "info": {"service": "none", "version": "v", "zone": "a", "capacity": 64},
    "status": {"state": "ready", "sequence": 1},
    "born": 7,
}


def write_announcement(server_id):
    body = json.dumps(BODY).encode()
    path = b"/-/instances/%b/heartbeat" % server_id.encode()
    length = b"Content-Length: %d" % len(body)
    return callers.write_head(b"POST", path, length) + body


class AnnouncementsTest(CrowdCase):
    async def announce(self, connection):
        """Announce servers one after the other on one connection."""
        reader, writer = await asyncio.open_connection(*self.hosts.operators)
        self.addCleanup(writer.close)
        for number in range(ANNOUNCEMENTS):
            writer.write(write_announcement(f"i-{connection}-{number}"))
            self.assertIn(await read_status(reader), (200, 503))

    async def test_ever_new_servers(self):
        """Guards against records without a bound that every process keeps."""
        async with asyncio.timeout(ANNOUNCING_S):
            await asyncio.gather(*map(self.announce, range(CONNECTIONS)))
        known = self.hosts.announced["one"]
        known["status"]["sequence"] += 1
        path = "/-/instances/i-one/heartbeat"
        body = json.dumps(known)
        status = await self.hosts.ask(self.hosts.operators, "POST", path, body)
        self.assertEqual(status, 200)
        await self.check()
