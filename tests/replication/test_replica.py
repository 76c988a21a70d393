from __future__ import annotations

import asyncio

from geraniumbend.errors import NotLeaderError, UnavailableError
from tests.replication.cluster import ReplicationTestCase


class ReplicaTest(ReplicationTestCase):
    async def test_single_voter_leads_at_once_and_keeps_commands(self):
        cluster = await self.open(1)
        await cluster.propose("a", "b")
        await cluster.kill("n1")
        await cluster.start("n1")
        self.assertEqual(await cluster.converge(), ["a", "b"])

    async def test_three_voters_apply_the_same_commands(self):
        cluster = await self.open(3)
        await cluster.propose("a", "b", "c")
        await cluster.converge()
        for machine in cluster.machines.values():
            self.assertEqual(machine.commands, ["a", "b", "c"])

    async def test_follower_refuses_and_names_the_leader(self):
        cluster = await self.open(3)
        leader = await cluster.leader()
        await cluster.run(0.3)
        follower = next(
            replica for replica in cluster.replicas.values() if replica is not leader
        )
        with self.assertRaises(NotLeaderError) as caught:
            await follower.propose(b"a")
        self.assertEqual(caught.exception.leader, leader.node)

    async def test_failing_command_reports_its_error_and_the_log_goes_on(self):
        cluster = await self.open(3)
        with self.assertRaises(UnavailableError):
            await cluster.propose("fail")
        await cluster.propose("a")
        self.assertEqual(await cluster.converge(), ["a"])

    async def test_entries_that_arrive_during_a_sync_share_the_next_one(self):
        cluster = await self.open(3)
        leader = await cluster.leader()
        before = leader.dump()["syncs"]
        proposals = [leader.propose(f"c{number}".encode()) for number in range(200)]
        await cluster.finish(asyncio.gather(*proposals))
        self.assertLess(leader.dump()["syncs"] - before, 20)
        self.assertEqual(len(await cluster.converge()), 200)
