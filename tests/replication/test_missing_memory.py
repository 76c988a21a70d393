"""Writes of a replica while memory is missing."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from geraniumbend.errors import GeraniumbendError, StorageError
from geraniumbend.replication import _storage
from geraniumbend.replication._disk_recovery import DISK_RETRY_S
from geraniumbend.replication._entries import COMMAND, Entry
from geraniumbend.replication._files import VoteState
from geraniumbend.replication._storage import LogStorage
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk


class MissingMemoryTest(ReplicationTestCase):
    """Lets each write fail by MemoryError for a while, in the disk or before it."""

    commands = ("first",)

    async def propose_without_memory(self, *target):
        """Return the error of a command, and the commands after memory is back."""
        cluster = await self.open(1)
        replica = cluster.replicas["n1"]
        with patch.object(*target, side_effect=MemoryError):
            with self.assertRaises(GeraniumbendError) as caught:
                await cluster.finish(replica.propose(b"lost or kept"), 5.0)
            await cluster.run(2 * DISK_RETRY_S)
        await cluster.run(2 * DISK_RETRY_S)
        await cluster.propose("second")
        await cluster.kill("n1")
        await cluster.start("n1")
        return caught.exception, await cluster.converge()

    async def test_disk_operation_without_memory_fails_and_is_repaired(self):
        """Guards against a failed write that is neither reported nor repeated."""
        for name in ("append", "sync"):
            with self.subTest(name):
                error, commands = await self.propose_without_memory(MemoryDisk, name)
                self.assertIsInstance(error, GeraniumbendError)
                self.assertEqual((commands[0], commands[-1]), ("first", "second"))

    async def test_entry_that_cannot_be_encoded_fails_and_is_repaired(self):
        """Guards against a proposal whose caller waits for good."""
        _, commands = await self.propose_without_memory(_storage, "encode_entry")
        self.assertEqual((commands[0], commands[-1]), ("first", "second"))


class UnwrittenBatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_batch_lost_for_lack_of_memory_never_counts_as_written(self):
        """Guards against an acknowledgement of an entry that no file holds."""
        failures = []
        storage = LogStorage(MemoryDisk(), "data/config", lambda: None, failures.append)
        await storage.create(VoteState())
        with patch.object(_storage, "encode_entry", side_effect=MemoryError):
            first = storage.enqueue(Entry(1, 1, COMMAND, b"a"))
            waiting = asyncio.ensure_future(storage.wait_written(first))
            await storage.close()
        storage.enqueue(Entry(2, 1, COMMAND, b"b"))
        await storage.close()
        async with asyncio.timeout(5.0):
            with self.assertRaises(StorageError):
                await waiting
        self.assertEqual(storage.last_written, 0)
        self.assertEqual(len(failures), 1)
