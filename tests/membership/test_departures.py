from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import unittest
from unittest import mock

from geraniumbend.errors import ProtocolError, StorageError, UnavailableError
from geraniumbend.membership import (
    AnnouncementService,
    DepartureCopies,
    DepartureLog,
    DepartureSender,
    _departure_log,
)
from geraniumbend.membership._departure_copies import STORE_METHOD
from geraniumbend.membership._departure_log import MIN_COMPACT_BYTES
from geraniumbend.membership._records import TOMBSTONE_S
from tests.membership.network import Cluster, FakeRpcCaller, announcement
from tests.replication.fakes import MemoryDisk, SlowDisk

FOLDER = "data"


class StoredClusterTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts that store departures on disks which keep only what was synced."""

    async def asyncSetUp(self):
        self.cluster = Cluster(3)
        self.disks = {name: MemoryDisk() for name in self.cluster.names}
        self.copies, self.logs = {}, {}
        # Records of the periodic file of each host.
        self.stored = {}
        await self.cluster.start(settle_s=0.0)
        for name in self.cluster.names:
            await self.add_storage(name)
        await self.cluster.timers.advance(3.0)
        self.addAsyncCleanup(self.cluster.stop)

    async def add_storage(self, name):
        cluster, node = self.cluster, self.cluster.nodes[name]
        address = cluster.address(name)
        log = DepartureLog(self.disks[name], FOLDER, node.list_departures)
        copies = DepartureCopies(
            address,
            log,
            node,
            FakeRpcCaller(cluster.network, address),
            lambda: [cluster.address(other) for other in cluster.names],
            cluster.clocks[name],
        )
        copies.register(cluster.network.servers[address])
        node.restore_servers([*self.stored.get(name, []), *await log.load()])
        copies.start()
        self.logs[name], self.copies[name] = log, copies

    async def finish(self, awaitable):
        task = asyncio.ensure_future(awaitable)
        for _ in range(200):
            if task.done():
                break
            await self.cluster.timers.advance(0.01)
        return task.result()

    def service(self, name):
        return AnnouncementService(
            self.cluster.nodes[name], self.copies[name], lambda: True
        )

    async def announce_and_save(self):
        """Announce a server and write it to the periodic file of each host."""
        await self.finish(self.service("g0").announce(announcement()))
        await self.cluster.timers.advance(1.0)
        self.stored = {
            name: node.server_records() for name, node in self.cluster.nodes.items()
        }

    async def kill_and_restart_all(self, lost=(), rng=None):
        rng = rng or random.Random(1)
        for name in self.cluster.names:
            self.cluster.kill(name)
            self.disks[name].crash(rng)
        for name in lost:
            self.disks[name] = MemoryDisk()
            self.stored.pop(name)
        for name in self.cluster.names:
            await self.cluster.boot(name, 2)
            await self.add_storage(name)
        await self.cluster.timers.advance(3.0)

    async def test_acknowledged_departure_outlives_all_processes(self):
        """Guards against requests to a server whose departure was acknowledged."""
        await self.announce_and_save()
        await self.finish(self.service("g1").deregister("s1"))
        await self.kill_and_restart_all()
        self.assertEqual(self.cluster.nodes_that_know("s1"), [])

    async def test_acknowledged_departure_outlives_the_loss_of_any_disk(self):
        for number, lost in enumerate(self.cluster.names):
            await self.announce_and_save()
            await self.finish(self.service("g1").deregister("s1"))
            await self.kill_and_restart_all((lost,), random.Random(number))
            self.assertEqual(self.cluster.nodes_that_know("s1"), [], lost)
            await self.cluster.timers.advance(TOMBSTONE_S + 30.0)

    async def test_acknowledged_draining_outlives_all_processes(self):
        await self.announce_and_save()
        await self.finish(self.service("g2").announce(announcement(draining=True)))
        await self.kill_and_restart_all()
        for node in self.cluster.nodes.values():
            self.assertTrue(node.servers()["s1"].draining)

    async def test_departure_is_acknowledged_although_a_sync_outlasts_each_try(self):
        """Guards against repeated requests that each wait for a sync of their own."""
        await self.announce_and_save()
        for name in self.cluster.names:
            disk = SlowDisk(self.cluster.timers, 1.0)
            disk.names, disk.durable_names = (
                self.disks[name].names,
                self.disks[name].durable_names,
            )
            self.logs[name]._disk = disk
        started_at = self.cluster.timers.now()
        hosts = itertools.cycle(self.cluster.names)
        is_stored = False
        while not is_stored and self.cluster.timers.now() < started_at + 4.0:
            with contextlib.suppress(UnavailableError):
                await self.finish(self.service(next(hosts)).deregister("s1"))
                is_stored = True
        self.assertTrue(is_stored)

    async def test_departure_wins_over_a_peer_that_restored_the_server_first(self):
        await self.announce_and_save()
        self.disks["g0"].fail_at = 0
        await self.finish(self.service("g1").deregister("s1"))
        # g0 starts first and restores the server as it was before the departure.
        await self.kill_and_restart_all()
        self.assertEqual(self.cluster.nodes_that_know("s1"), [])

    async def test_gateway_has_control_hosts_store_a_departure(self):
        await self.announce_and_save()
        cluster = self.cluster
        addresses = [cluster.address(name) for name in cluster.names]
        cluster.names.append("g3")
        gateway = await cluster.boot("g3")
        cluster.names.pop()
        await cluster.timers.advance(1.0)
        # The first control host is gone, the others form a majority.
        cluster.cut(["g0"], ["g1", "g2", "g3"])
        caller = FakeRpcCaller(cluster.network, cluster.address("g3"))
        sender = DepartureSender(gateway, caller, lambda: addresses)
        gateway.deregister("s1")
        self.assertTrue(await self.finish(sender.store("s1", 0.6)))
        cluster.kill("g3")
        cluster.heal()
        await self.kill_and_restart_all()
        self.assertEqual(cluster.nodes_that_know("s1"), [])

    async def test_departure_that_no_majority_stores_is_refused_to_a_gateway(self):
        await self.announce_and_save()
        addresses = [self.cluster.address(name) for name in self.cluster.names]
        for name in ("g0", "g2"):
            self.disks[name].fail_at = 0
        node = self.cluster.nodes["g1"]
        caller = FakeRpcCaller(self.cluster.network, addresses[1])
        sender = DepartureSender(node, caller, lambda: addresses)
        node.deregister("s1")
        self.assertFalse(await self.finish(sender.store("s1", 0.6)))

    async def test_departure_on_one_disk_only_is_not_acknowledged(self):
        await self.announce_and_save()
        for name in ("g0", "g2"):
            self.disks[name].fail_at = 0
        with self.assertRaises(UnavailableError):
            await self.finish(self.service("g1").deregister("s1"))
        for name in ("g0", "g2"):
            self.disks[name].fail_at = None
        await self.finish(self.service("g1").deregister("s1"))

    async def test_hanging_disk_of_the_host_does_not_delay_the_acknowledgement(self):
        await self.announce_and_save()
        await self.disks["g1"]._lock.acquire()
        started = self.cluster.timers.now()
        await self.finish(self.service("g1").deregister("s1"))
        self.assertLess(self.cluster.timers.now() - started, 0.3)

    async def test_repeated_announcements_of_a_draining_server_cost_no_syncs(self):
        await self.announce_and_save()
        service = self.service("g0")
        await self.finish(service.announce(announcement(draining=True)))
        steps = [disk.steps for disk in self.disks.values()]
        for _ in range(5):
            await self.finish(service.announce(announcement(draining=True)))
        self.assertEqual([disk.steps for disk in self.disks.values()], steps)

    async def test_host_of_an_earlier_release_counts_as_a_copy(self):
        await self.announce_and_save()
        for name in ("g0", "g2"):
            handlers = self.cluster.network.servers[self.cluster.address(name)]
            handlers[STORE_METHOD] = self.refuse_unknown_method
        await self.finish(self.service("g1").deregister("s1"))

    async def refuse_unknown_method(self, body):
        raise ProtocolError("method is unknown here", "")

    async def test_host_that_has_not_restored_its_records_stores_nothing(self):
        address = self.cluster.address("g0")
        handlers = self.cluster.network.servers[address]
        starting = DepartureCopies(
            address,
            self.logs["g0"],
            self.cluster.nodes["g0"],
            FakeRpcCaller(self.cluster.network, address),
            list,
            self.cluster.timers,
        )
        starting.register(handlers)
        with self.assertRaises(UnavailableError):
            await handlers[STORE_METHOD](b"\x00")


class DepartureLogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.disk = MemoryDisk()
        self.needed = []
        self.log = DepartureLog(self.disk, FOLDER, lambda: list(self.needed))
        cluster = await Cluster(1).start(settle_s=0.0)
        self.addAsyncCleanup(cluster.stop)
        self.node = cluster.nodes["g0"]

    def depart(self, server_id):
        self.node.announce(announcement(server_id))
        self.node.deregister(server_id, 1)
        return self.node.find_server_record(server_id)

    async def load(self):
        log = DepartureLog(self.disk, FOLDER, list)
        return {record.key for record in await log.load()}

    async def test_records_are_durable_when_append_returns(self):
        for number in range(5):
            await self.log.append(self.depart(f"s{number}"))
            self.needed = [self.node.find_server_record("s0")]
            self.disk.crash(random.Random(number))
            expected = {f"s{n}" for n in range(number + 1)}
            self.assertEqual(await self.load(), expected)

    async def test_torn_record_is_ignored(self):
        for number in range(3):
            await self.log.append(self.depart(f"s{number}"))
        whole = self.disk.names[f"{FOLDER}/departures"].content
        for size in range(len(whole)):
            self.disk.names[f"{FOLDER}/departures"].content = whole[:size]
            self.assertLess(len(await self.load()), 3)

    async def test_many_departures_at_once_share_two_syncs(self):
        await self.log.append(self.depart("s0"))
        before = self.disk.steps
        records = [self.depart(f"s{n}") for n in range(1, 301)]
        await asyncio.gather(*(self.log.append(record) for record in records))
        # An append and a sync of the first, and of all others together.
        self.assertLessEqual(self.disk.steps - before, 4)
        self.assertEqual(len(await self.load()), 301)

    async def test_file_is_bounded_by_the_departures_that_are_needed(self):
        record = self.depart("s0")
        self.needed = [record]
        for _ in range(40):
            await asyncio.gather(*(self.log.append(record) for _ in range(200)))
        size = len(self.disk.names[f"{FOLDER}/departures"].content)
        self.assertLessEqual(size, MIN_COMPACT_BYTES)
        self.assertEqual(await self.load(), {"s0"})

    async def test_departure_is_refused_while_memory_is_missing(self):
        """Guards against a departure whose caller waits for good."""
        for target in ((_departure_log, "_pack_records"), (MemoryDisk, "sync")):
            with (
                self.subTest(target[1]),
                mock.patch.object(*target, side_effect=MemoryError),
                self.assertRaises(StorageError),
            ):
                async with asyncio.timeout(5.0):
                    await self.log.append(self.depart(target[1]))
        await self.log.append(self.depart("s1"))
        self.assertIn("s1", await self.load())

    async def test_disk_that_was_full_once_keeps_later_departures(self):
        """Guards against records behind a torn one, which no start reads."""
        self.needed = [self.depart("s0")]
        await self.log.append(self.needed[0])
        self.disk.is_full = True
        with self.assertRaises(StorageError):
            await self.log.append(self.depart("s1"))
        self.disk.is_full = False
        await self.log.append(self.depart("s2"))
        self.disk.crash(random.Random(3))
        self.assertEqual(await self.load(), {"s0", "s2"})

    async def test_departures_that_wait_for_a_hanging_disk_are_limited(self):
        await self.disk._lock.acquire()
        record = self.depart("s0")
        waiting = [asyncio.ensure_future(self.log.append(record)) for _ in range(5000)]
        await asyncio.sleep(0.01)
        refused = [task for task in waiting if task.done()]
        self.assertGreater(len(refused), 0)
        for task in refused:
            self.assertIsInstance(task.exception(), StorageError)
        for task in waiting:
            task.cancel()
