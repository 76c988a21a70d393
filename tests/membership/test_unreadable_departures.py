"""Departures on a disk that cannot be read while a control host starts."""

from __future__ import annotations

import asyncio
import errno
import unittest

from geraniumbend.errors import StorageError
from geraniumbend.membership import DepartureLog
from geraniumbend.membership._records import Record
from geraniumbend.timers import ManualTimers
from tests.replication.fakes import MemoryDisk

# Longer than a start tries to read the file.
START_S = 15.0


class UnreadableDisk(MemoryDisk):
    """Disk whose reads fail while the process has no descriptors left."""

    def __init__(self):
        super().__init__()
        self.is_refusing = False

    def read(self, path):
        if self.is_refusing:
            raise OSError(errno.EMFILE, "Too many open files")
        return super().read(path)


class UnreadableDeparturesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.disk = UnreadableDisk()
        await DepartureLog(self.disk, "data", list).append(make_record("s1"))
        self.disk.is_refusing = True
        self.timers = ManualTimers()
        log = DepartureLog(self.disk, "data", list, self.timers)
        self.loading = asyncio.ensure_future(log.load())

    # A read refused at the start let the next departure overwrite the stored ones.
    async def test_departures_are_read_once_the_disk_allows_it(self):
        await self.timers.advance(1.0)
        self.assertFalse(self.loading.done())
        self.disk.is_refusing = False
        await self.timers.advance(1.0)
        self.assertEqual([record.key for record in self.loading.result()], ["s1"])

    async def test_start_fails_and_keeps_the_file_if_it_stays_unreadable(self):
        await self.timers.advance(START_S)
        with self.assertRaises(StorageError):
            self.loading.result()
        self.disk.is_refusing = False
        stored = await DepartureLog(self.disk, "data", list).load()
        self.assertEqual([record.key for record in stored], ["s1"])


def make_record(key):
    return Record("server", "", key, 1, 1, 1, "g0", b"", 60.0)
