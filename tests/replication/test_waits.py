from __future__ import annotations

import unittest
from unittest import mock

from geraniumbend.errors import UnavailableError
from geraniumbend.replication import _waits
from geraniumbend.settings import ControlSettings
from tests.replication.cluster import Cluster


class WaitsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *names, **settings):
        cluster = Cluster(3, settings=ControlSettings(**settings))
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(*names)
        return cluster

    async def test_founder_names_the_founders_that_do_not_answer(self):
        cluster = await self.start("n1", "n2")
        await cluster.run(2)
        waits = cluster.replicas["n1"].describe_waits()
        self.assertEqual(list(waits), ["founders"])
        self.assertEqual(list(waits["founders"]), ["n3"])
        self.assertTrue(waits["founders"]["n3"])

    async def test_replica_without_a_leader_names_the_missing_votes(self):
        cluster = await self.start()
        leader = await cluster.leader()
        await cluster.run(1)
        others = [name for name in cluster.nodes if name != leader.node]
        await cluster.kill(leader.node)
        await cluster.kill(others[0])
        await cluster.run(3)
        waits = cluster.replicas[others[1]].describe_waits()
        self.assertIn(leader.node, waits["votes"])

    # A leader that could commit nothing wrote no line.
    async def test_leader_that_cannot_commit_names_the_missing_copies(self):
        cluster = await self.start(tolerated_losses=2)
        leader = await cluster.leader()
        await cluster.until(lambda: leader.commit_index > 0)
        self.assertIsNone(leader.describe_waits())
        lost = next(name for name in cluster.nodes if name != leader.node)
        await cluster.kill(lost)
        with mock.patch.object(_waits, "log_event") as log_event:
            with self.assertRaises(UnavailableError):
                await cluster.finish(leader.propose(b"a"))
            await cluster.run(1)
            waits = leader.describe_waits()
        self.assertEqual(list(waits["copies"]), [lost])
        number, fields = log_event.call_args.args[0], log_event.call_args.kwargs
        self.assertEqual((number, list(fields["missing"])), (511, [lost]))
        self.assertEqual(fields["required_copies"], 3)

    async def test_voter_that_lost_its_log_is_named_as_such(self):
        cluster = await self.start(tolerated_losses=2)
        leader = await cluster.leader()
        await cluster.until(lambda: leader.commit_index > 0)
        lost = next(name for name in cluster.nodes if name != leader.node)
        await cluster.kill(lost)
        del cluster.disks[lost]
        await cluster.start(lost)
        peer = leader._leading.peers[lost]
        before = peer.incarnation
        await cluster.until(lambda: peer.incarnation != before)
        self.assertEqual(
            leader._leading.describe_missing_copies(), {lost: "has lost its log"}
        )
