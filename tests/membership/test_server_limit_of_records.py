from __future__ import annotations

import json
import unittest

from geraniumbend.membership import AnnouncementApi
from tests.membership.network import Cluster

ANNOUNCEMENT = {"host": "10.0.0.9", "port": 80, "incarnation": 5}
LIMIT = 3


class ServerLimitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against announcements of ever new servers, which need no key."""

    async def test_new_servers_are_refused_and_known_ones_renewed(self):
        cluster = await Cluster(1).start(0.1)
        node = cluster.nodes["g0"]
        node._server_directory._server_limit = LIMIT
        api = AnnouncementApi(node, None)

        async def announce(name, **changes):
            body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
            return (await api.handle("PUT", f"/v1/backend-servers/{name}", body))[0]

        statuses = [await announce(f"s{number}") for number in range(LIMIT + 2)]
        self.assertEqual(statuses, [200] * LIMIT + [503] * 2)
        self.assertEqual(await announce("s0"), 200)
        self.assertEqual(await announce("s1", incarnation=6, port=81), 200)
        path = "/v1/backend-servers/unknown"
        status, _ = await api.handle("DELETE", path, b"", {"incarnation": "5"})
        self.assertEqual(status, 503)
        self.assertEqual(len(node.servers()), LIMIT)
        await cluster.stop()
