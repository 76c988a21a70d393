"""Starts of a replica whose files cannot be read at present."""

from __future__ import annotations

import asyncio
import errno
import os
from unittest.mock import patch

from geraniumbend.errors import StorageError
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk

LACKS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EAGAIN, errno.EACCES)


class UnreadableFilesTest(ReplicationTestCase):
    commands = tuple(f"c{number}" for number in range(10))

    async def start_unreadable(self, cluster, name, number):
        """Start a replica whose reads all fail; return the error of the start."""
        error = OSError(number, os.strerror(number))
        with (
            patch.object(MemoryDisk, "read", side_effect=error),
            self.assertRaises(StorageError) as caught,
        ):
            await cluster.finish(cluster.start(name))
        return caught.exception

    async def test_start_without_resources_leaves_the_log_in_place(self):
        """Guards against an intact log that is set aside for lack of descriptors."""
        cluster = await self.open()
        name = cluster.nodes[0]
        await cluster.kill(name)
        before = dict(cluster.disks[name].names)
        for number in LACKS:
            with self.subTest(errno.errorcode[number]):
                error = await self.start_unreadable(cluster, name, number)
                self.assertIn(os.strerror(number), str(error))
                self.assertTrue(error.remedy)
                self.assertEqual(cluster.disks[name].names, before)
        await cluster.start(name)
        self.assertNotEqual(cluster.replicas[name].dump()["role"], "learner")
        self.assertEqual(len(await cluster.converge()), 10)

    async def test_all_replicas_without_resources_lose_nothing(self):
        """Guards against a cluster that loses its log when all hosts lack memory."""
        cluster = await self.open()
        for name in cluster.voters:
            await cluster.kill(name)
        for name in cluster.voters:
            await self.start_unreadable(cluster, name, errno.ENOMEM)
        for name in cluster.voters:
            await cluster.start(name)
        self.assertEqual(len(await cluster.converge()), 10)

    async def test_start_goes_on_once_the_files_can_be_read(self):
        """Guards against a start that ends where waiting helps."""
        cluster = await self.open()
        name = cluster.nodes[0]
        await cluster.kill(name)
        error = OSError(errno.ENFILE, os.strerror(errno.ENFILE))
        with patch.object(MemoryDisk, "read", side_effect=error):
            starting = asyncio.ensure_future(cluster.start(name))
            await cluster.run(3.0)
            self.assertFalse(starting.done())
        await cluster.finish(starting, 2.0)
        self.assertEqual(len(await cluster.converge()), 10)

    async def test_unreadable_sectors_count_as_damage(self):
        cluster = await self.open()
        name = cluster.nodes[0]
        await cluster.kill(name)
        error = OSError(errno.EIO, os.strerror(errno.EIO))
        with patch.object(MemoryDisk, "read", side_effect=error):
            await cluster.start(name)
        self.assertTrue(
            [path for path in cluster.disks[name].names if "/damaged/" in path]
        )
        self.assertEqual(len(await cluster.converge()), 10)
