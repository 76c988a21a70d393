from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.errors import StorageError
from geraniumbend.replication import Replica, create_backup, restore_backup
from geraniumbend.settings import ControlSettings
from geraniumbend.timers import LoopTimers
from tests.replication.cluster import ListMachine
from tests.replication.fakes import MemoryClients, MemoryNetwork


class LocalDiskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def replica(self):
        timers = LoopTimers()
        clients = MemoryClients(MemoryNetwork(timers, None), "n1")
        return Replica(
            "config",
            "n1",
            self.folder / "new" / "data",
            {"n1": "n1"},
            ListMachine(),
            clients,
            timers,
            ControlSettings(),
        )

    async def start(self):
        replica = self.replica()
        await replica.start()
        while not replica.is_leader:
            await asyncio.sleep(0.005)
        return replica

    async def test_log_on_the_local_disk_survives_a_restart(self):
        for number in range(1, 4):
            replica = await self.start()
            self.assertEqual(await replica.propose(b"a"), b"%d" % number)
            await replica.abort()

    async def test_new_folders_and_files_are_synced_up_to_the_first_existing_folder(
        self,
    ):
        """Otherwise a crash could lose a log because a parent folder was not synced."""
        synced = []
        real = os.fsync

        def record(descriptor):
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
            real(descriptor)

        with patch("os.fsync", record):
            replica = self.replica()
            await replica.start()
            await replica.abort()
        for path in ("", "new", "new/data", "new/data/config"):
            self.assertIn(str((self.folder / path).resolve()), synced)

    async def test_replica_on_a_full_disk_stops_acknowledging(self):
        replica = await self.start()
        await replica.propose(b"a")
        with (
            patch("os.fsync", side_effect=OSError(28, "no space left")),
            self.assertRaises(Exception) as caught,
        ):
            await replica.propose(b"b")
        self.assertNotIsInstance(caught.exception, OSError)
        with self.assertRaises(StorageError):
            await replica.propose(b"c")
        await replica.abort()

    async def test_restore_refuses_a_folder_with_files(self):
        replica = await self.start()
        await replica.propose(b"a")
        data = await create_backup(replica)
        await replica.abort()
        with self.assertRaisesRegex(StorageError, "not empty"):
            await restore_backup(
                data, self.folder / "new" / "data", "config", "n1", "n1"
            )
        await restore_backup(data, self.folder / "other", "config", "n1", "n1")

    async def test_append_truncate_write_and_rename(self):
        disk = LocalDisk()
        path = str(self.folder / "file")
        disk.append(path, b"one")
        disk.append(path, b"two")
        disk.truncate(path, 4)
        self.assertEqual(disk.read(path), b"onet")
        disk.write(path, b"new")
        disk.rename(path, path + "2")
        self.assertEqual(disk.list_files(str(self.folder)), ["file2"])
        disk.close()
