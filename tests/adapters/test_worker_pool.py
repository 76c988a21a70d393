from __future__ import annotations

import asyncio
import errno
import os
import subprocess
import sys
import threading
import unittest
from unittest import mock

from geraniumbend.adapters.disk import LocalDisk, WorkerPool

TIMEOUT_S = 10.0
# Leaves a task behind that lasts longer than the timeout.
HANGING_PROGRAM = """
import asyncio, time
from geraniumbend.adapters.disk import WorkerPool

async def main():
    pool = WorkerPool()
    task = asyncio.ensure_future(pool.create_queue().run(lambda: time.sleep(600)))
    await asyncio.sleep(0.1)
    pool.close()
    task.cancel()

asyncio.run(main())
"""


class FailingStarts:
    """Lets a number of threads start, and no more."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.start_thread = threading.Thread.start

    def patch(self):
        starts = self

        def start(thread):
            if starts.allowed == 0:
                raise RuntimeError("can't start new thread")
            starts.allowed -= 1
            starts.start_thread(thread)

        return mock.patch.object(threading.Thread, "start", start)


class WorkerPoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # Ends the tasks that a test lets hang.
        self.released = threading.Event()
        self.addCleanup(self.released.set)

    def hang(self):
        self.released.wait(TIMEOUT_S)

    def create_pool(self, *arguments):
        pool = WorkerPool(*arguments)
        self.addCleanup(pool.close)
        # Cleanups run in reverse order, and close waits for the tasks.
        self.addCleanup(self.released.set)
        return pool

    async def test_tasks_of_a_queue_run_one_at_a_time_in_order(self):
        pool = self.create_pool()
        queues = [pool.create_queue() for _ in range(4)]
        running, seen, overlaps = [0] * 4, [[] for _ in range(4)], []

        def work(index, number):
            running[index] += 1
            overlaps.append(running[index])
            seen[index].append(number)
            running[index] -= 1
            return index, number

        jobs = [(index, number) for number in range(50) for index in range(4)]
        results = await asyncio.gather(
            *(queues[index].run(lambda job=(index, n): work(*job)) for index, n in jobs)
        )
        self.assertEqual(list(results), jobs)
        self.assertEqual(seen, [list(range(50))] * 4)
        self.assertEqual(set(overlaps), {1})

    async def test_queue_runs_at_most_its_width_at_once(self):
        pool = self.create_pool()
        queue = pool.create_queue(2)
        for _ in range(4):
            pool.create_queue()
        barrier = threading.Barrier(2)
        running, highest = [], []

        def work():
            running.append(1)
            highest.append(len(running))
            # Passes only while two tasks run.
            barrier.wait(TIMEOUT_S)
            running.pop()

        await asyncio.gather(*(queue.run(work) for _ in range(20)))
        self.assertEqual(max(highest), 2)

    async def test_task_that_hangs_holds_up_only_its_own_queue(self):
        """Guards against a sync that hangs and stops the writes of other logs."""
        pool = self.create_pool()
        hanging, other = pool.create_queue(), pool.create_queue()
        stuck = [asyncio.ensure_future(hanging.run(self.hang)) for _ in range(5)]
        async with asyncio.timeout(TIMEOUT_S):
            for number in range(20):
                self.assertEqual(await other.run(lambda n=number: n), number)
        self.assertFalse(any(task.done() for task in stuck))
        self.released.set()
        await asyncio.gather(*stuck)

    async def test_pool_never_has_more_threads_than_its_limit(self):
        before = threading.active_count()
        pool = self.create_pool(3)
        queues = [pool.create_queue() for _ in range(20)]
        await asyncio.gather(*(queue.run(lambda: None) for queue in queues))
        self.assertEqual(threading.active_count() - before, 3)

    async def test_threads_that_cannot_start_leave_their_work_to_the_others(self):
        """Guards against a process that ends because it cannot start a thread."""
        pool = self.create_pool()
        first, second = pool.create_queue(), pool.create_queue()
        starts = FailingStarts(1)
        with starts.patch(), self.assertLogs("geraniumbend", "WARNING") as logs:
            results = await asyncio.gather(first.run(lambda: 1), second.run(lambda: 2))
            await first.run(lambda: None)
        self.assertEqual(results, [1, 2])
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(logs.records[0].event, 130)
        # The missing thread is started once that is possible.
        task = asyncio.ensure_future(first.run(self.hang))
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await second.run(lambda: 3), 3)
        self.released.set()
        await task

    async def test_task_fails_at_once_without_any_thread_and_is_not_run_later(self):
        """Guards against a task whose caller hears nothing, or that runs twice."""
        pool = self.create_pool()
        queue = pool.create_queue()
        ran = []
        with FailingStarts(0).patch(), self.assertRaises(OSError) as caught:
            await queue.run(lambda: ran.append(1))
        self.assertEqual(caught.exception.errno, errno.EAGAIN)
        self.assertIn("ulimit", str(caught.exception))
        await queue.run(lambda: ran.append(2))
        self.assertEqual(ran, [2])

    async def test_exception_and_cancellation_leave_the_queue_usable(self):
        queue = self.create_pool().create_queue()
        with self.assertRaises(ZeroDivisionError):
            await queue.run(lambda: 1 / 0)
        started = threading.Event()

        def work():
            started.set()
            self.hang()

        running = asyncio.ensure_future(queue.run(work))
        ran = []
        waiting = asyncio.ensure_future(queue.run(lambda: ran.append(1)))
        while not started.is_set():
            await asyncio.sleep(0.005)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.released.set()
        await running
        self.assertEqual(await queue.run(lambda: 4), 4)
        self.assertEqual(ran, [])

    async def test_close_ends_all_threads_after_the_queued_tasks(self):
        before = threading.active_count()
        pool = WorkerPool()
        queue, _ = pool.create_queue(), pool.create_queue()
        ran = []
        tasks = [
            asyncio.ensure_future(queue.run(lambda n=n: ran.append(n)))
            for n in range(10)
        ]
        await asyncio.sleep(0)
        pool.close()
        self.assertEqual(ran, list(range(10)))
        await asyncio.gather(*tasks)
        self.assertEqual(threading.active_count(), before)
        with self.assertRaisesRegex(RuntimeError, "closed"):
            await queue.run(lambda: None)

    async def test_task_that_hangs_does_not_keep_the_process_from_ending(self):
        """Guards against a process that ignores SIGTERM while its disk hangs."""
        command = [sys.executable, "-c", HANGING_PROGRAM]
        subprocess.run(command, env=os.environ, check=True, timeout=60)

    async def test_disk_reports_missing_memory_as_a_failed_operation(self):
        """Guards against a write whose failure no caller expects."""

        def work():
            raise MemoryError

        disk = LocalDisk(self.create_pool())
        with self.assertRaises(OSError) as caught:
            await disk.run(work)
        self.assertEqual(caught.exception.errno, errno.ENOMEM)
