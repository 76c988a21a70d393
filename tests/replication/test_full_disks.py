"""Disks that refuse writes for some seconds and work again."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from unittest.mock import patch

from geraniumbend.errors import GeraniumbendError, StorageError
from geraniumbend.replication import _core
from geraniumbend.replication._disk_recovery import DISK_RETRY_S
from geraniumbend.replication._entries import COMMAND, Entry
from geraniumbend.replication._files import Snapshot, VoteState
from geraniumbend.replication._members import MemberSet
from geraniumbend.replication._storage import LogStorage
from geraniumbend.settings import ControlSettings
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk

TWO_LOSSES = ControlSettings(tolerated_losses=2)


class FullDiskTest(ReplicationTestCase):
    async def fill_disks(self, cluster, names):
        """Make disks refuse writes until each of their replicas has noticed."""
        for name in names:
            cluster.disks[name].is_full = True
        leader = await cluster.leader()
        proposing = asyncio.ensure_future(leader.propose(b"while full"))
        await cluster.run(2.0)
        for name in names:
            self.assertEqual(cluster.replicas[name].dump()["role"], "failed")
            cluster.disks[name].is_full = False
        try:
            await cluster.finish(proposing)
        except GeraniumbendError:
            # The leader's own disk was full.
            return

    async def lose_disks_after(self, seed, fills_leader):
        cluster = await self.open(5, seed=seed, settings=TWO_LOSSES)
        await cluster.propose("a")
        leader = (await cluster.leader()).node
        names = [name for name in cluster.nodes if name != leader]
        full = [leader, names[0]] if fills_leader else names[:2]
        await self.fill_disks(cluster, full)
        await cluster.run(4.0)
        await cluster.propose("b")
        lost = [name for name in cluster.nodes if name not in full][:2]
        for name in lost:
            await cluster.kill(name)
            cluster.disks[name] = MemoryDisk()
        await cluster.start(*lost)
        commands = await cluster.converge()
        self.assertEqual([commands[0], commands[-1]], ["a", "b"], f"seed {seed}")

    # Two disks were full for some seconds. When two other disks were lost later, nobody
    # led any more: the replicas behind the full ones were out until a restart.
    async def test_followers_with_disks_full_once_do_not_add_to_later_losses(self):
        await self.lose_disks_after(seed=1, fills_leader=False)

    # The same with the disk of the leader.
    async def test_leader_with_disk_full_once_does_not_add_to_later_losses(self):
        await self.lose_disks_after(seed=2, fills_leader=True)


class QueuedWriteTest(unittest.IsolatedAsyncioTestCase):
    # An append that was queued behind the failed creation of its segment would leave a
    # file without a header, which counts as damaged at the next start.
    async def test_no_operation_runs_behind_a_failed_one(self):
        disk = MemoryDisk()
        storage = LogStorage(disk, "data/config", lambda: None, lambda error: None)
        await storage.create(VoteState())
        disk.fail_at = disk.steps + 1
        saving = asyncio.ensure_future(
            storage.save_snapshot(Snapshot(1, 1, MemberSet(), b""), is_reset=False)
        )
        await asyncio.sleep(0)
        storage.enqueue(Entry(2, 1, COMMAND, b"a"))
        with self.assertRaises(StorageError):
            await saving
        await storage.close()
        self.assertEqual(disk.steps, disk.fail_at)


class RepairTest(ReplicationTestCase):
    """Interrupts the repair of the files of a single voter, which has no peers."""

    commands = ("first",)

    async def interrupt_repair(self, seed, step, fill_after):
        """Return what was acknowledged and what is read back.

        The disk is full from file operation `fill_after` of some proposals on, and the
        process ends at operation `step` of the repair.
        """
        cluster = await self.open(1, seed=seed)
        disk = cluster.disks["n1"]
        replica = cluster.replicas["n1"]
        acknowledged = ["first"]
        disk.full_at = disk.steps + fill_after
        for number in range(6):
            with suppress(GeraniumbendError):
                await cluster.finish(replica.propose(b"c%d" % number))
                acknowledged.append(f"c{number}")
        disk.full_at = None
        disk.fail_at = disk.steps + step
        await cluster.run(DISK_RETRY_S + 0.1)
        await cluster.kill("n1")
        await cluster.start("n1")
        commands = await cluster.converge()
        await cluster.stop()
        return acknowledged, commands

    # An interrupted repair that left a torn record before the newest segment, or no
    # segment, would make the replica refuse its own files at the next start.
    async def test_repair_may_end_at_any_step(self):
        for fill_after in range(1, 4):
            for step in range(1, 14):
                with self.subTest(fill_after=fill_after, step=step):
                    acknowledged, commands = await self.interrupt_repair(
                        step, step, fill_after
                    )
                    kept = [entry for entry in commands if entry in acknowledged]
                    self.assertEqual(kept, acknowledged)

    # The same while a snapshot replaces the segments behind it.
    @patch.object(_core, "COMPACT_ENTRIES", 4)
    async def test_repair_during_a_compaction_may_end_at_any_step(self):
        for fill_after in range(4, 16):
            for step in range(1, 14):
                with self.subTest(fill_after=fill_after, step=step):
                    acknowledged, commands = await self.interrupt_repair(
                        step, step, fill_after
                    )
                    kept = [entry for entry in commands if entry in acknowledged]
                    self.assertEqual(kept, acknowledged)
