"""Calls to a member that are lost, and snapshots that cannot be sent."""

from __future__ import annotations

import asyncio
from unittest import mock

from geraniumbend.replication import _core
from geraniumbend.settings import ControlSettings
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk


class LostMessagesTest(ReplicationTestCase):
    # Appends lost with a connection kept all places of the pipeline for 5 s.
    async def test_changes_during_a_short_cut_are_committed_soon_after_it(self):
        settings = ControlSettings(tolerated_losses=2)
        cluster = await self.open(3, settings=settings, latency_s=0.005)
        leader = await cluster.leader()
        await cluster.run(1.0)
        other = next(name for name in cluster.nodes if name != leader.node)
        begin_s = cluster.timers.now()
        cluster.network.cut = {(leader.node, other)}
        proposals = []
        for number in range(15):
            proposal = leader.propose(b"change-%d" % number)
            proposals.append(asyncio.ensure_future(proposal))
            await cluster.run(0.02)
        cluster.network.heal()
        await cluster.finish(asyncio.gather(*proposals), 30.0)
        self.assertLess(cluster.timers.now() - begin_s, 2.0)


class DamagedSnapshotTest(ReplicationTestCase):
    # A leader with a damaged snapshot read it again without any pause.
    async def test_damaged_snapshot_is_read_at_most_once_a_heartbeat(self):
        patches = {"COMPACT_ENTRIES": 20, "TRAILING_ENTRIES": 0}
        with mock.patch.multiple(_core, **patches):
            cluster = await self.open(3, latency_s=0.005)
            leader = await cluster.leader()
            other = next(name for name in cluster.nodes if name != leader.node)
            await cluster.kill(other)
            cluster.disks[other] = MemoryDisk()
            await cluster.propose(*[f"c{number}" for number in range(60)])
            await cluster.run(1.0)
        for path, file in cluster.disks[leader.node].names.items():
            if path.endswith(".snap"):
                file.content = file.content[:-3] + b"zzz"
        storage = leader._core.storage
        with mock.patch.object(
            storage, "read_snapshot", side_effect=storage.read_snapshot
        ) as read:
            await cluster.start(other)
            await cluster.run(1.0)
        self.assertGreater(read.call_count, 0)
        self.assertLess(read.call_count, 2.0 / leader._core.heartbeat_s)
