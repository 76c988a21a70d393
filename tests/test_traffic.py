from __future__ import annotations

import unittest

from geraniumbend.adapters.http_upstream import HttpUpstream, LoadProbe
from geraniumbend.timers import LoopTimers
from geraniumbend.traffic import TrafficCounters
from tests.adapters._scripted_backend import ScriptedBackend, make_request, reply
from tests.membership.network import Cluster


class TrafficTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_and_probes_are_counted_by_failure_domain(self):
        """Guards against bytes between domains whose cause nobody can tell."""
        traffic = TrafficCounters()
        timers = LoopTimers()
        upstream = HttpUpstream(
            timers, lambda: 1.0, count_bytes=traffic.count, failure_domain="a"
        )
        async with ScriptedBackend(reply(b"{}")) as backend:
            for name, domain in (("s1", "a"), ("s2", "b")):
                server = backend.describe()._replace(
                    server_id=name, failure_domain=domain
                )
                (await upstream.send(server, make_request())).close()
                await LoadProbe(upstream, timers).send(server)
        await upstream.close()
        dump = traffic.dump()
        self.assertEqual(
            sorted(dump),
            ["probes/local", "probes/remote", "requests/local", "requests/remote"],
        )
        self.assertEqual(dump["requests/local"], dump["requests/remote"])
        self.assertGreater(dump["requests/local"], len(b"GET / HTTP/1.1\r\n"))
        self.assertIn(("probes", "remote"), traffic.read_gauge())

    async def test_gossip_is_counted_by_failure_domain(self):
        cluster = Cluster(4, domains=2)
        traffic = TrafficCounters()
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        cluster.nodes["g0"]._gossip._count_bytes = traffic.count
        await cluster.timers.advance(10.0)
        dump = traffic.dump()
        self.assertGreater(dump["gossip/local"], dump["gossip/remote"])
        self.assertGreater(dump["gossip/remote"], 0)
