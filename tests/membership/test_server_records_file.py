from __future__ import annotations

import asyncio
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import xxhash

from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.membership import ServerRecordsFile
from geraniumbend.membership._server_records_file import FILE_NAME
from geraniumbend.timers import LoopTimers
from tests.membership.network import Cluster, announcement


class DirectoryFileTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def build(self, list_records):
        disk = LocalDisk()
        self.addCleanup(disk.close)
        return ServerRecordsFile(disk, self.folder, list_records, LoopTimers())

    async def store(self, records):
        file = self.build(lambda: records)
        file._store_changes()
        await file._write_task

    def load(self):
        return self.build(list).load()

    def test_file_of_another_release_is_ignored(self):
        """Guards against a host that cannot start after a return to an old release."""
        body = msgspec.msgpack.encode([{"kind": "server", "labels": 3}])
        path = Path(self.folder) / FILE_NAME
        path.write_bytes(xxhash.xxh64_digest(body) + body)
        self.assertEqual(self.load(), [])

    async def test_cluster_that_lost_all_processes_restores_its_servers(self):
        cluster = Cluster(3)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        cluster.nodes["g0"].announce(announcement("s1"))
        cluster.nodes["g0"].announce(announcement("s2"))
        await cluster.timers.advance(1.0)
        cluster.nodes["g1"].deregister("s2")
        await cluster.timers.advance(1.0)
        await self.store(cluster.nodes["g2"].server_records())

        for name in list(cluster.names):
            cluster.kill(name)
        await asyncio.gather(*(cluster.boot(name, 2) for name in cluster.names[:1]))
        cluster.nodes["g0"].restore_servers(self.load())
        await cluster.boot("g1", 2)
        await cluster.timers.advance(2.0)
        # The deregistered server is not restored.
        self.assertEqual(sorted(cluster.nodes["g1"].servers()), ["s1"])
        self.assertFalse(cluster.nodes["g1"].servers()["s1"].stale)
        # Without a new announcement the lease ends as usual; the last server of a
        # group is kept as stale until requests to it fail.
        await cluster.timers.advance(11.0)
        self.assertTrue(cluster.nodes["g1"].servers()["s1"].stale)

    async def test_records_of_peers_take_precedence_over_the_file(self):
        cluster = Cluster(2)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        cluster.nodes["g0"].announce(announcement("old"))
        await cluster.timers.advance(1.0)
        await self.store(cluster.nodes["g0"].server_records())
        cluster.nodes["g0"].deregister("old")
        cluster.nodes["g0"].announce(announcement("new"))
        await cluster.timers.advance(1.0)
        cluster.nodes["g1"].restore_servers(self.load())
        self.assertEqual(sorted(cluster.nodes["g1"].servers()), ["new"])

    async def test_records_are_written_once_threads_can_be_started(self):
        """Guards against a failed write that is neither logged nor repeated."""
        cluster = Cluster(1)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        cluster.nodes["g0"].announce(announcement("s1"))
        file = self.build(cluster.nodes["g0"].server_records)
        failure = RuntimeError("can't start new thread")
        with (
            mock.patch.object(threading.Thread, "start", side_effect=failure),
            self.assertLogs("geraniumbend", "WARNING") as logs,
        ):
            file._store_changes()
            await file._write_task
        self.assertEqual([record.event for record in logs.records], [820])
        file._store_changes()
        await file._write_task
        self.assertEqual([record.key for record in self.load()], ["s1"])

    async def test_damaged_file_is_ignored(self):
        cluster = Cluster(1)
        await cluster.start()
        self.addAsyncCleanup(cluster.stop)
        cluster.nodes["g0"].announce(announcement("s1"))
        await self.store(cluster.nodes["g0"].server_records())
        path = Path(self.folder) / "backend-servers"
        whole = path.read_bytes()
        self.assertEqual(len(self.load()), 1)
        for damaged in (whole[:-3], b"", whole[:9] + b"\0" + whole[10:]):
            path.write_bytes(damaged)
            self.assertEqual(self.load(), [])
        path.unlink()
        self.assertEqual(self.load(), [])
