"""Losses of as many disks as the setting tolerated_losses allows."""

from __future__ import annotations

import asyncio

from geraniumbend.settings import ControlSettings
from tests.replication.cluster import Cluster, ReplicationTestCase
from tests.replication.fakes import MemoryDisk

TWO_LOSSES = ControlSettings(tolerated_losses=2)


class ToleratedLossesTest(ReplicationTestCase):
    async def test_small_cluster_commits_only_entries_on_enough_disks(self):
        # A majority of three is two disks, which may both be lost; so all three must
        # hold an entry before it commits.
        cluster = await self.open(3, settings=TWO_LOSSES)
        await cluster.propose("a")
        await cluster.kill("n3")
        leader = await cluster.leader()
        proposing = asyncio.ensure_future(leader.propose(b"b"))
        await cluster.run(2.0)
        self.assertFalse(proposing.done())
        await cluster.start("n3")
        await cluster.until(proposing.done)
        self.assertEqual(await cluster.converge(), ["a", "b"])

    async def test_two_wiped_disks_and_a_power_loss_of_the_rest_lose_nothing(self):
        for seed in range(1, 6):
            cluster = await self.open(5, seed=seed, settings=TWO_LOSSES)
            await cluster.propose("a")
            leader = (await cluster.leader()).node
            await cluster.finish(cluster.replicas[leader].propose(b"b"))
            holders = [leader, next(n for n in cluster.nodes if n != leader)]
            for name in cluster.nodes:
                await cluster.kill(name)
            for name in holders:
                cluster.disks[name] = MemoryDisk()
            await cluster.start()
            self.assertEqual(await cluster.converge(), ["a", "b"], f"seed {seed}")
            await cluster.stop()


class BootstrapTest(ReplicationTestCase):
    async def test_empty_hosts_do_not_bootstrap_a_second_cluster(self):
        settings = ControlSettings(may_found=False)
        cluster = Cluster(3, settings=settings)
        self.addAsyncCleanup(cluster.stop)
        asyncio.get_running_loop().set_debug(False)
        await cluster.start()
        await cluster.run(5.0)
        self.assertFalse(any(r.is_leader for r in cluster.replicas.values()))
        self.assertEqual({r.cluster_id for r in cluster.replicas.values()}, {""})

    async def test_single_empty_host_bootstraps_only_if_allowed(self):
        settings = ControlSettings(may_found=False)
        cluster = Cluster(1, settings=settings)
        self.addAsyncCleanup(cluster.stop)
        asyncio.get_running_loop().set_debug(False)
        await cluster.start()
        await cluster.run(3.0)
        self.assertFalse(cluster.replicas["n1"].is_leader)
