from __future__ import annotations

import asyncio
from unittest.mock import patch

from geraniumbend.errors import NotLeaderError, UnavailableError
from geraniumbend.replication import _core
from tests.replication.cluster import ReplicationTestCase


class PartitionTest(ReplicationTestCase):
    commands = ("first",)

    async def test_partitioned_replica_that_returns_does_not_disturb_the_leader(self):
        """Guards against an election because a partitioned replica raised its term."""
        cluster = await self.open()
        leader = await cluster.leader()
        term = leader.dump()["term"]
        isolated = next(name for name in cluster.nodes if name != leader.node)
        cluster.network.isolate(isolated, cluster.nodes)
        await cluster.run(60, step=0.1)
        await cluster.propose("second")
        cluster.network.heal()
        await cluster.run(3)
        self.assertTrue(leader.is_leader)
        self.assertEqual(leader.dump()["term"], term)
        self.assertEqual(await cluster.converge(), ["first", "second"])

    async def test_leader_without_majority_stops_within_its_lease(self):
        """Guards against stale reads at an old leader after a new one was elected."""
        cluster = await self.open()
        leader = await cluster.leader()
        cluster.network.isolate(leader.node, cluster.nodes)
        # The last heartbeat may be acknowledged just before the partition.
        await cluster.run(0.6 * 0.5 + 0.01)
        self.assertFalse(leader.is_leader)
        with self.assertRaises(NotLeaderError):
            await cluster.finish(leader.propose(b"lost"))
        with self.assertRaises(UnavailableError):
            await cluster.finish(leader.read_barrier())
        await cluster.propose("second")
        cluster.network.heal()
        self.assertEqual(await cluster.converge(), ["first", "second"])

    async def test_no_leader_is_elected_within_the_old_lease_under_clock_drift(self):
        """Guards against votes within the old leader's lease at 10 % clock drift."""
        for seed in range(10):
            cluster = await self.open_with_slow_leader(seed)
            cluster.network.isolate("n1", cluster.nodes)
            for _ in range(300):
                await cluster.timers.advance(0.005)
                leaders = [name for name in cluster.nodes if self.leads(cluster, name)]
                self.assertLessEqual(len(leaders), 1)
            self.assertNotEqual(leaders, ["n1"])

    def leads(self, cluster, name):
        return cluster.replicas[name].is_leader

    async def test_proposal_cut_off_from_the_majority_has_an_unknown_outcome(self):
        cluster = await self.open()
        leader = await cluster.leader()
        cluster.network.isolate(leader.node, cluster.nodes)
        with self.assertRaises(UnavailableError) as caught:
            await cluster.finish(leader.propose(b"unknown"))
        self.assertNotIsInstance(caught.exception, NotLeaderError)
        # The outcome is decided by who leads next: the others, if they elect a leader
        # before the partition ends.
        await cluster.until(
            lambda: any(
                self.leads(cluster, name)
                for name in cluster.nodes
                if name != leader.node
            ),
            4 * cluster.settings.election_timeout_s,
        )
        cluster.network.heal()
        await cluster.propose("second")
        self.assertEqual(await cluster.converge(), ["first", "second"])

    async def test_proposal_of_unknown_outcome_is_kept_by_all_replicas_or_by_none(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                cluster = await self.open(seed=seed)
                leader = await cluster.leader()
                cluster.network.isolate(leader.node, cluster.nodes)
                with self.assertRaises(UnavailableError):
                    await cluster.finish(leader.propose(b"unknown"))
                cluster.network.heal()
                await cluster.propose("second")
                commands = await cluster.converge()
                commands.remove("first")
                self.assertIn(commands, (["second"], ["unknown", "second"]))

    @patch.object(_core, "COMPACT_ENTRIES", 50)
    @patch.object(_core, "TRAILING_ENTRIES", 10)
    @patch("geraniumbend.replication._peers.CHUNK_BYTES", 100)
    async def test_replica_far_behind_gets_the_snapshot_in_chunks(self):
        cluster = await self.open()
        leader = await cluster.leader()
        isolated = next(name for name in cluster.nodes if name != leader.node)
        cluster.network.isolate(isolated, cluster.nodes)
        for start in range(0, 200, 20):
            proposals = (leader.propose(b"c%d" % (start + n)) for n in range(20))
            await cluster.finish(asyncio.gather(*proposals))
        cluster.network.heal()
        self.assertEqual(len(await cluster.converge()), 201)
        sent = [call for call in cluster.network.calls if call[2].endswith("snapshot")]
        self.assertGreater(len(sent), 5)
        await cluster.kill(isolated)
        await cluster.start(isolated)
        self.assertEqual(len(await cluster.converge()), 201)

    async def test_graceful_stop_transfers_leadership_at_once(self):
        cluster = await self.open()
        leader = await cluster.leader()
        others = [name for name in cluster.nodes if name != leader.node]
        await cluster.finish(leader.stop())
        await cluster.run(0.1)
        self.assertTrue(any(cluster.replicas[name].is_leader for name in others))

    async def test_restart_after_thousands_of_commands_reads_a_bounded_log(self):
        cluster = await self.open(1)
        replica = cluster.replicas["n1"]
        for start in range(0, 3000, 500):
            proposals = (replica.propose(b"c%d" % (start + n)) for n in range(500))
            await cluster.finish(asyncio.gather(*proposals))
        await cluster.kill("n1")
        await cluster.start("n1")
        dump = cluster.replicas["n1"].dump()
        self.assertLess(dump["last_index"] - dump["snapshot_index"], 1500)
        self.assertEqual(len(await cluster.converge()), 3001)
