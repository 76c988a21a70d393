from __future__ import annotations

import asyncio
from contextlib import suppress

from geraniumbend.errors import (
    ConfigurationError,
    ConflictError,
    GeraniumbendError,
    NotLeaderError,
    StorageError,
    UnavailableError,
)
from geraniumbend.replication import (
    LogClient,
    create_backup,
    describe_backup,
    restore_backup,
)
from tests.replication.cluster import Cluster, ReplicationTestCase
from tests.replication.fakes import MemoryClients, MemoryDisk


class MembersTest(ReplicationTestCase):
    commands = ("first",)

    def roles(self, replica):
        return {member.name: member.role for member in replica.members()}

    async def test_replacing_a_dead_host_keeps_the_log(self):
        cluster = await self.open()
        leader = await cluster.leader()
        dead = next(name for name in cluster.nodes if name != leader.node)
        await cluster.kill(dead)
        await cluster.finish(leader.remove_member(dead))
        await cluster.start("n4")
        await cluster.finish(leader.add_member("n4", "n4"))
        await cluster.until(lambda: self.roles(leader).get("n4") == "voter")
        await cluster.kill(leader.node)
        await cluster.propose("second")
        self.assertEqual(await cluster.converge(), ["first", "second"])

    async def test_non_voting_learner_replicates_and_stays_a_learner(self):
        cluster = await self.open()
        leader = await cluster.leader()
        await cluster.start("n4")
        await cluster.finish(leader.add_member("n4", "n4", voting=False))
        await cluster.propose("second")
        self.assertEqual(await cluster.converge(), ["first", "second"])
        await cluster.run(2)
        self.assertEqual(self.roles(leader)["n4"], "learner")
        self.assertGreater(
            await cluster.finish(cluster.replicas["n4"].read_barrier()), 0
        )

    async def test_learner_that_never_responds_does_not_become_a_voter(self):
        cluster = await self.open()
        leader = await cluster.leader()
        await cluster.finish(leader.add_member("n4", "n4"))
        await cluster.run(3)
        self.assertEqual(self.roles(leader)["n4"], "learner")
        with self.assertRaises(ConflictError):
            await cluster.finish(leader.add_member("n5", "n5"))
        await cluster.finish(leader.remove_member("n4"))

    async def test_removal_that_would_lose_the_majority_is_refused(self):
        cluster = await self.open()
        leader = await cluster.leader()
        dead, live = (name for name in cluster.nodes if name != leader.node)
        await cluster.kill(dead)
        await cluster.run(1)
        with self.assertRaises(ConflictError):
            await cluster.finish(leader.remove_member(live))
        with self.assertRaises(ConfigurationError):
            await cluster.finish(leader.remove_member("nobody"))

    async def test_leader_lost_during_its_own_removal_does_not_block_the_rest(self):
        """Guards against an uncommitted member list that no replica can commit.

        The other voter has not received the list and its log is shorter, so only the
        leader that the list removes can be elected (found by fuzzing, seed 3314).
        """
        cluster = await self.open(2, latency_s=0.05)
        leader = await cluster.leader()
        other = next(name for name in cluster.nodes if name != leader.node)
        removal = asyncio.ensure_future(leader.remove_member(leader.node))
        while len(leader.members()) > 1:
            await cluster.timers.advance(0.001)
        cluster.network.cut = {(leader.node, other)}
        await cluster.run(0.1)
        for name in (leader.node, other):
            await cluster.kill(name)
        with suppress(GeraniumbendError):
            await cluster.finish(removal)
        cluster.network.heal()
        await cluster.start()
        await cluster.propose("second")
        await cluster.run(2)
        self.assertEqual(cluster.machines[other].commands, ["first", "second"])
        self.assertTrue(cluster.replicas[other].is_leader)

    async def test_removed_leader_transfers_leadership_to_the_rest(self):
        cluster = await self.open()
        leader = await cluster.leader()
        await cluster.finish(leader.remove_member(leader.node))
        await cluster.run(2)
        self.assertFalse(leader.is_leader)
        await cluster.kill(leader.node)
        await cluster.propose("second")
        self.assertEqual(await cluster.converge(), ["first", "second"])


class ClientTest(ReplicationTestCase):
    async def open(self):
        cluster = await super().open()
        self.client = LogClient(
            "config",
            sorted(cluster.voters),
            MemoryClients(cluster.network, "outside"),
            cluster.timers,
        )
        return cluster

    async def test_client_follows_the_leader_through_an_election(self):
        cluster = await self.open()
        await cluster.finish(self.client.propose(b"first"))
        await cluster.kill((await cluster.leader()).node)
        await cluster.finish(self.client.propose(b"second", is_idempotent=True))
        self.assertIn("second", await cluster.converge())
        self.assertGreater(await cluster.finish(self.client.read_barrier()), 0)

    async def test_client_does_not_retry_a_call_with_unknown_outcome(self):
        """Guards against a command that is applied twice."""
        cluster = await self.open()
        await cluster.finish(self.client.propose(b"first"))
        leader = await cluster.leader()
        cluster.network.cut = {(leader.node, "outside")}
        with self.assertRaises(UnavailableError) as caught:
            await cluster.finish(self.client.propose(b"second"))
        self.assertNotIsInstance(caught.exception, NotLeaderError)
        self.assertEqual(await cluster.converge(), ["first", "second"])


class BackupTest(ReplicationTestCase):
    commands = ("first", "second")

    async def test_restored_cluster_has_the_state_and_a_new_identity(self):
        cluster = await self.open()
        data = await cluster.finish(create_backup(await cluster.leader()))
        old = describe_backup(data)
        restored = Cluster(1)
        self.addAsyncCleanup(restored.stop)
        disk = restored.disks["n1"] = MemoryDisk()
        new = await restore_backup(data, "data", "config", "n1", "n1", disk)
        self.assertNotEqual(new.cluster_id, old.cluster_id)
        self.assertEqual((new.epoch, new.index), (old.epoch + 1, old.index))
        await restored.start()
        await restored.propose("third")
        self.assertEqual(await restored.converge(), ["first", "second", "third"])
        with self.assertRaises(StorageError):
            await restore_backup(data, "data", "config", "n1", "n1", disk)

    async def test_damaged_backup_is_refused(self):
        cluster = await self.open()
        data = bytearray(await cluster.finish(create_backup(await cluster.leader())))
        data[-1] ^= 1
        with self.assertRaises(StorageError):
            await restore_backup(
                bytes(data), "data", "config", "n1", "n1", MemoryDisk()
            )

    async def test_replica_of_the_old_cluster_cannot_join_the_restored_one(self):
        """Guards against the return of newer state with a host of the old cluster."""
        cluster = await self.open()
        data = await cluster.finish(create_backup(await cluster.leader()))
        for name in cluster.nodes:
            await cluster.kill(name)
        cluster.disks["n1"] = MemoryDisk()
        await restore_backup(data, "data", "config", "n1", "n1", cluster.disks["n1"])
        await cluster.start()
        await cluster.finish(cluster.replicas["n1"].add_member("n2", "n2"))
        await cluster.propose("third")
        await cluster.run(3)
        self.assertNotIn("third", cluster.machines["n2"].commands)
        await cluster.finish(cluster.replicas["n1"].remove_member("n2"))
        await cluster.kill("n2")
        cluster.disks["n2"] = MemoryDisk()
        await cluster.start("n2")
        await cluster.finish(cluster.replicas["n1"].add_member("n2", "n2"))
        await cluster.until(lambda: "third" in cluster.machines["n2"].commands)
