from __future__ import annotations

import asyncio
from contextlib import suppress
from unittest.mock import patch

from geraniumbend.errors import GeraniumbendError, StorageError, UnavailableError
from geraniumbend.replication import _core, _peers
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk


class FaultTest(ReplicationTestCase):
    commands = ("first",)

    async def test_crash_at_each_disk_step_loses_nothing_acknowledged(self):
        """Guards against acknowledging a command before its write is durable."""
        for step in range(1, 16):
            with self.subTest(step=step):
                cluster = await self.open(1, seed=step)
                disk = cluster.disks["n1"]
                acknowledged = ["first"]
                disk.fail_at = disk.steps + step
                for number in range(4):
                    replica = cluster.replicas["n1"]
                    with suppress(GeraniumbendError):
                        await cluster.finish(replica.propose(b"c%d" % number))
                        acknowledged.append(f"c{number}")
                await cluster.kill("n1")
                disk.fail_at = disk.steps + step
                with suppress(StorageError):
                    await cluster.start("n1")
                    await cluster.kill("n1")
                disk.crash(cluster.rng)
                await cluster.start("n1")
                commands = await cluster.converge()
                self.assertEqual(commands[: len(acknowledged)], acknowledged)

    @patch.object(_core, "COMPACT_ENTRIES", 10)
    async def test_crash_at_each_step_of_a_compaction_keeps_the_state(self):
        """Guards against deleting segments before the snapshot is durable."""
        for step in range(1, 20):
            with self.subTest(step=step):
                cluster = await self.open(1, seed=step)
                replica = cluster.replicas["n1"]
                await cluster.propose(*"abcdefg")
                disk = cluster.disks["n1"]
                disk.fail_at = disk.steps + step
                acknowledged = ["first", *"abcdefg"]
                for number in range(6):
                    with suppress(GeraniumbendError):
                        await cluster.finish(replica.propose(b"c%d" % number))
                        acknowledged.append(f"c{number}")
                await cluster.kill("n1")
                await cluster.start("n1")
                commands = await cluster.converge()
                self.assertEqual(commands[: len(acknowledged)], acknowledged)

    async def test_running_sync_acknowledges_no_entry_that_arrives_during_it(self):
        """Guards against acknowledging an entry by the sync of earlier entries."""
        cluster = await self.open(1)
        replica = cluster.replicas["n1"]
        disk = cluster.disks["n1"]
        early = asyncio.ensure_future(replica.propose(b"early"))
        while disk.is_idle():
            await asyncio.sleep(0)
        # The write and the sync of the first entry succeed, the next write fails.
        disk.fail_at = disk.steps + 3
        late = asyncio.ensure_future(replica.propose(b"late"))
        self.assertEqual(await cluster.finish(early), b"2")
        with self.assertRaises(UnavailableError):
            await cluster.finish(late)

    async def test_entries_of_a_failed_sync_are_written_anew(self):
        """Guards against trusting a later sync that succeeds without the lost pages."""
        for seed in range(4):
            cluster = await self.open(1, seed=seed)
            leader = await cluster.leader()
            disk = cluster.disks[leader.node]
            disk.sync_fails = True
            with self.assertRaises(UnavailableError):
                await cluster.finish(leader.propose(b"dropped"))
            disk.sync_fails = False
            with self.assertRaises(StorageError):
                await leader.propose(b"refused")
            self.assertEqual(leader.dump()["role"], "failed")
            await cluster.propose("second")
            # What the entries on disk lack now would be missing after the restart.
            expected = cluster.machines[leader.node].commands
            self.assertEqual(expected[-1], "second")
            await cluster.kill(leader.node)
            await cluster.start(leader.node)
            self.assertEqual(await cluster.converge(), expected)

    async def test_follower_with_failed_disk_neither_acknowledges_nor_votes(self):
        cluster = await self.open()
        leader = await cluster.leader()
        one, two = (name for name in cluster.nodes if name != leader.node)
        cluster.disks[one].sync_fails = True
        await cluster.propose("second")
        await cluster.kill(two)
        proposal = asyncio.ensure_future(leader.propose(b"third"))
        await cluster.run(3)
        self.assertFalse(leader.is_leader)
        with self.assertRaises(UnavailableError):
            await cluster.finish(proposal)
        self.assertEqual(cluster.replicas[one].dump()["role"], "failed")
        cluster.disks[one].sync_fails = False
        await cluster.propose("fourth")
        self.assertEqual((await cluster.converge())[-1], "fourth")

    async def test_two_candidates_with_one_majority_give_one_leader(self):
        """Guards against two leaders in one term."""
        for seed in range(8):
            cluster = await self.open(seed=seed, latency_s=0.05)
            await cluster.kill((await cluster.leader()).node)
            elections = [
                replica._elections.campaign(is_transfer=True)
                for replica in cluster.replicas.values()
            ]
            await cluster.finish(asyncio.gather(*elections))
            leaders = [
                (replica.dump()["term"], name)
                for name, replica in cluster.replicas.items()
                if replica.dump()["role"] == "leader"
            ]
            self.assertEqual(len({term for term, _ in leaders}), len(leaders))
            await cluster.propose("second")
            self.assertEqual(await cluster.converge(), ["first", "second"])


class DamageTest(ReplicationTestCase):
    commands = tuple(f"c{number}" for number in range(10))

    def corrupt(self, cluster, node, position):
        disk = cluster.disks[node]
        path = next(path for path in disk.names if path.endswith(".seg"))
        file = disk.names[path]
        changed = bytearray(file.durable)
        changed[position] ^= 0xFF
        file.content = file.durable = bytes(changed)

    async def test_torn_tail_is_cut_and_the_rest_kept(self):
        cluster = await self.open(1)
        await cluster.kill("n1")
        disk = cluster.disks["n1"]
        path = next(path for path in disk.names if path.endswith(".seg"))
        whole = disk.names[path].durable
        for tail in (whole[8:40], whole[8:50] + bytes(600), bytes(100)):
            file = disk.names[path]
            file.content = file.durable = whole + tail
            await cluster.start("n1")
            self.assertEqual(len(await cluster.converge()), 10)
            await cluster.kill("n1")

    async def test_damage_in_the_middle_is_refused_by_a_single_voter(self):
        cluster = await self.open(1)
        await cluster.kill("n1")
        for position in (2, 30, 200, -3):
            disk = cluster.disks["n1"]
            path = next(path for path in disk.names if path.endswith(".seg"))
            whole = disk.names[path].durable
            self.corrupt(cluster, "n1", position)
            with self.subTest(position=position), self.assertRaises(StorageError):
                await cluster.start("n1")
            disk.names[path].content = disk.names[path].durable = whole

    async def test_newer_format_is_refused_and_left_untouched(self):
        cluster = await self.open()
        await cluster.kill("n1")
        self.corrupt(cluster, "n1", 4)
        before = dict(cluster.disks["n1"].names)
        with self.assertRaisesRegex(StorageError, "format version"):
            await cluster.start("n1")
        self.assertEqual(cluster.disks["n1"].names, before)

    async def test_damaged_replica_votes_only_after_it_has_caught_up(self):
        """Guards against a majority that counts a replica which lost its log."""
        cluster = await self.open()
        leader = await cluster.leader()
        damaged, stale = (name for name in cluster.nodes if name != leader.node)
        await cluster.kill(stale)
        await cluster.propose("held by leader and damaged only")
        await cluster.kill(damaged)
        self.corrupt(cluster, damaged, 200)
        await cluster.kill(leader.node)
        await cluster.start(damaged, stale)
        await cluster.run(5)
        self.assertFalse(any(r.is_leader for r in cluster.replicas.values()))
        await cluster.start(leader.node)
        commands = await cluster.converge()
        self.assertEqual(commands[-1], "held by leader and damaged only")
        await cluster.until(
            lambda: cluster.replicas[damaged].dump()["role"] != "learner"
        )
        self.assertTrue(
            [path for path in cluster.disks[damaged].names if "/damaged/" in path]
        )

    @patch.object(_peers, "BATCH_ENTRIES", 1)
    @patch.object(_peers, "PIPELINE_DEPTH", 1)
    async def test_damaged_replica_with_half_of_the_log_cannot_be_elected(self):
        """Guards against a vote of a replica that has fetched only half of the log."""
        cluster = await self.open(latency_s=0.005)
        leader = await cluster.leader()
        damaged, stale = (name for name in cluster.nodes if name != leader.node)
        await cluster.kill(stale)
        await cluster.propose(*(f"d{number}" for number in range(10)))
        await cluster.kill(damaged)
        cluster.disks[damaged] = MemoryDisk()
        await cluster.start(damaged)
        repaired = cluster.replicas[damaged]
        await cluster.until(lambda: repaired.dump()["last_index"] > 13)
        self.assertLess(repaired.dump()["last_index"], 21)
        await cluster.kill(leader.node)
        await cluster.start(stale)
        await cluster.run(5)
        self.assertFalse(any(r.is_leader for r in cluster.replicas.values()))
        await cluster.start(leader.node)
        self.assertEqual(len(await cluster.converge()), 20)

    async def test_second_host_lost_right_after_the_repair_of_the_first(self):
        cluster = await self.open()
        first, second = cluster.nodes[:2]
        for lost in (first, second):
            await cluster.kill(lost)
            cluster.disks[lost] = MemoryDisk()
            await cluster.start(lost)
            await cluster.until(
                lambda lost=lost: (
                    cluster.replicas[lost].dump()["role"] in ("leader", "follower")
                )
            )
        self.assertEqual(len(await cluster.converge()), 10)
        await cluster.propose("after")
        self.assertEqual((await cluster.converge())[-1], "after")

    async def test_empty_hosts_do_not_outvote_one_that_kept_its_log(self):
        """Guards against bootstrapping a new log when two of three disks are lost."""
        cluster = await self.open()
        for lost in cluster.nodes[:2]:
            await cluster.kill(lost)
            cluster.disks[lost] = MemoryDisk()
            await cluster.start(lost)
        await cluster.run(5)
        self.assertFalse(any(r.is_leader for r in cluster.replicas.values()))
