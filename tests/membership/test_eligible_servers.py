"""Processor time of a large table of servers while single servers come and go."""

from __future__ import annotations

import unittest

from geraniumbend.membership._eligible_servers import EligibleServers, group_by_app
from geraniumbend.membership._records import SERVER, Record
from geraniumbend.membership._server_records import DEREGISTERED, EXPIRED, LIVE
from geraniumbend.timers import ManualTimers
from tests.membership.network import announcement

SERVERS = 1000


class ManyServersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a cost of each change that grows with the number of servers."""

    async def asyncSetUp(self):
        self.timers = ManualTimers()
        self.servers = EligibleServers(self.timers)
        self.grouped = []
        self.servers.set_grouping(self.group)
        for number in range(SERVERS):
            self.apply(f"s{number}", LIVE)
        self.servers.servers()
        self.grouped.clear()

    def group(self, server):
        self.grouped.append(server.server_id)
        return group_by_app(server)

    def apply(self, server_id, state, labels=None):
        one = announcement(server_id, labels=labels or {"app": "a"})
        record = Record(SERVER, "", server_id, 1, 1, state, "g0", b"", 10.0)
        self.servers.apply(record, one)

    async def tick(self, count):
        for _ in range(count):
            await self.timers.advance(0.25)
            self.servers.tick()
            self.servers.servers()

    async def test_ticks_after_a_loss_group_each_server_once(self):
        self.apply("s1", EXPIRED)
        await self.tick(40)
        self.assertLessEqual(len(self.grouped), SERVERS)
        self.assertNotIn("s1", self.servers.servers())

    async def test_departures_without_a_loss_group_no_other_server(self):
        for number in range(20):
            self.apply(f"s{number}", DEREGISTERED)
            await self.tick(1)
        self.assertEqual(len(self.grouped), 0)
        self.assertEqual(len(self.servers.servers()), SERVERS - 20)

    async def test_server_that_changes_its_group_counts_in_the_new_one(self):
        for number in range(3):
            self.apply(f"s{number}", LIVE, {"app": "b"})
        await self.tick(1)
        for number in range(2):
            self.apply(f"s{number}", EXPIRED, {"app": "b"})
        await self.tick(1)
        self.assertTrue(self.servers.servers()["s0"].stale)
        self.servers.set_grouping(lambda server: ("all",))
        self.apply("s2", EXPIRED, {"app": "b"})
        await self.tick(1)
        self.assertNotIn("s2", self.servers.servers())
