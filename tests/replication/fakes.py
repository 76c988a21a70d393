"""Fake disk of a replica and fake network between replicas."""

from __future__ import annotations

import asyncio
import copy

from geraniumbend.errors import GeraniumbendError, UnavailableError


class _File:
    """Bytes that a read returns, and those that survive a loss of power.

    A failed sync drops the bytes that it should have written: reads still return them,
    but no later sync makes them durable (`dropped` is their range).
    """

    def __init__(self):
        self.content = b""
        self.durable = b""
        self.dropped = (0, 0)

    def sync(self, fails):
        if fails:
            self.dropped = (len(self.durable), len(self.content))
            return
        start, end = self.dropped
        content = self.content
        self.durable = content[:start] + bytes(end - start) + content[end:]

    def cut(self, size):
        self.content = self.content[:size]
        start, end = self.dropped
        self.dropped = (start, min(end, size)) if start < size else (0, 0)


class MemoryDisk:
    """Files in memory; a crash may lose what was not synced.

    `steps` counts file operations; from number `fail_at` on each one fails. While
    `is_full`, or from operation `full_at` on, what adds bytes fails after a part of
    them was written.
    """

    def __init__(self):
        self.names = {}
        self.durable_names = {}
        self.steps = 0
        self.fail_at = None
        self.sync_fails = False
        self.is_full = False
        self.full_at = None
        self._lock = asyncio.Lock()

    async def run(self, task):
        async with self._lock:
            for _ in range(3):
                await asyncio.sleep(0)
            return task()

    def is_idle(self):
        return not self._lock.locked()

    def halt(self):
        """Refuse all operations, as the process that uses the disk has ended."""
        self.fail_at = 0

    def crash(self, rng):
        """Keep synced bytes and a random part of those not synced."""
        names = {}
        for path in sorted({*self.names, *self.durable_names}):
            file = rng.choice([self.names, self.durable_names]).get(path)
            if self.names.get(path) is self.durable_names.get(path):
                file = self.names.get(path)
            if file is None:
                continue
            if file.content.startswith(file.durable):
                added = file.content[len(file.durable) :]
                file.content = file.durable + self._tear(added, file.durable, rng)
            else:
                file.content = rng.choice([file.content, file.durable])
            file.durable = file.content
            file.dropped = (0, 0)
            names[path] = file
        self.names, self.durable_names = names, dict(names)
        self.fail_at = None
        self.sync_fails = self.is_full = False
        self._lock = asyncio.Lock()

    @staticmethod
    def _tear(added, durable, rng):
        # Either the file is shorter, or its last sectors read as zeros.
        kept = rng.randint(0, len(added))
        if rng.random() < 0.5:
            return added[:kept]
        kept = max(0, kept - (len(durable) + kept) % 512)
        return added[:kept] + bytes(len(added) - kept)

    def list_files(self, folder):
        self._step()
        prefix = f"{folder}/"
        rest = [path[len(prefix) :] for path in self.names if path.startswith(prefix)]
        return sorted(name for name in rest if "/" not in name)

    def read(self, path):
        self._step()
        return self._get(path).content

    def create_folder(self, folder):
        self._step()

    def append(self, path, data):
        self._step()
        self.names.setdefault(path, _File()).content += self._fit(data)
        self._check_space()

    def write(self, path, data):
        self._step()
        file = self.names.setdefault(path, _File())
        file.cut(0)
        file.content = self._fit(data)
        self._check_space()

    def truncate(self, path, size):
        self._step()
        self._get(path).cut(size)

    def sync(self, path):
        self._step()
        self._get(path).sync(self.sync_fails)
        if self.sync_fails:
            raise OSError(5, "injected sync failure")

    def rename(self, source, target):
        self._step()
        self.names[target] = self.names.pop(source)

    def remove(self, path):
        self._step()
        if self.names.pop(path, None) is None:
            raise FileNotFoundError(path)

    def sync_folder(self, folder):
        self._step()
        for path in {*self.names, *self.durable_names}:
            if path.rpartition("/")[0] == folder:
                if path in self.names:
                    self.durable_names[path] = self.names[path]
                else:
                    del self.durable_names[path]

    def _fit(self, data):
        return data[: len(data) // 2] if self._has_no_space() else data

    def _has_no_space(self):
        return self.is_full or (self.full_at is not None and self.steps >= self.full_at)

    def _check_space(self):
        if self._has_no_space():
            raise OSError(28, "No space left on device")

    def _get(self, path):
        if path not in self.names:
            raise FileNotFoundError(path)
        return self.names[path]

    def _step(self):
        self.steps += 1
        if self.fail_at is not None and self.steps >= self.fail_at:
            raise OSError(5, f"injected crash at step {self.steps}")


class SlowDisk(MemoryDisk):
    """Disk whose syncs take a time; a crash meanwhile loses what they wait for.

    Parameters
    ----------
    timers : TimerService
        Clock of the delays.
    sync_s : float
        Time of each sync, in seconds.
    """

    def __init__(self, timers, sync_s):
        super().__init__()
        self.sync_s = sync_s
        self.syncs = 0
        self._timers = timers
        self._crashed = asyncio.Event()

    async def run(self, task):
        async with self._lock:
            before = copy.deepcopy((self.names, self.durable_names))
            syncs = self.syncs
            try:
                return task()
            finally:
                after = self.names, self.durable_names
                self.names, self.durable_names = before
                if await self._wait((self.syncs - syncs) * self.sync_s):
                    self.names, self.durable_names = after

    async def _wait(self, delay_s):
        """Return whether the disk still runs after a delay."""
        if not delay_s:
            await asyncio.sleep(0)
            return not self._crashed.is_set()
        waits = [
            asyncio.ensure_future(self._timers.sleep(delay_s)),
            asyncio.ensure_future(self._crashed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return not self._crashed.is_set()

    def halt(self):
        super().halt()
        self._crashed.set()

    def crash(self, rng):
        super().crash(rng)
        self._crashed = asyncio.Event()

    def sync(self, path):
        super().sync(path)
        self.syncs += 1

    def sync_folder(self, folder):
        super().sync_folder(folder)
        self.syncs += 1


class MemoryNetwork:
    """Calls between nodes in memory, with partitions and latency."""

    def __init__(self, timers, rng, latency_s=0.0):
        self.timers = timers
        self.rng = rng
        self.latency_s = latency_s
        self.handlers = {}
        self.running = {}
        self.cut = set()
        self.calls = []

    def partition(self, *sides):
        """Cut the links between the nodes of different groups."""
        self.cut = {
            (one, other)
            for side in sides
            for one in side
            for rest in sides
            if rest is not side
            for other in rest
        }

    def isolate(self, node, others):
        self.partition([node], [other for other in others if other != node])

    def heal(self):
        self.cut = set()

    async def disconnect(self, node):
        self.handlers.pop(node, None)
        tasks = self.running.pop(node, {})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def deliver(self, source, target, method, body, future):
        try:
            await self._cross_link(source, target)
            handler = self.handlers.get(target, {}).get(method)
            if handler is None:
                raise UnavailableError(f"{target} is down")
            self.calls.append((source, target, method))
            response = await handler(body)
            await self._cross_link(target, source)
        except _LinkCutError:
            return
        except asyncio.CancelledError:
            # The end of the receiver's process resets its connections.
            if not future.done():
                future.set_exception(UnavailableError(f"{target} reset the connection"))
            raise
        except GeraniumbendError as error:
            if not future.done():
                future.set_exception(error)
            return
        if not future.done():
            future.set_result(response)

    async def _cross_link(self, source, target):
        if self.latency_s:
            await self.timers.sleep(self.rng.uniform(0.1, 1.0) * self.latency_s)
        else:
            await asyncio.sleep(0)
        if (source, target) in self.cut:
            raise _LinkCutError


class _LinkCutError(Exception):
    pass


class MemoryClients:
    """RpcCaller of one node on a MemoryNetwork."""

    def __init__(self, network, node):
        self._network = network
        self._node = node

    async def call(self, address, method, body, timeout_s):
        future = asyncio.get_running_loop().create_future()

        def expire():
            if not future.done():
                future.set_exception(UnavailableError(f"{method} timed out"))

        timer = self._network.timers.after(timeout_s, expire)
        delivery = asyncio.ensure_future(
            self._network.deliver(self._node, address, method, body, future)
        )
        # The receiver completes the call even if the sender times out. A dict keeps
        # the order, so that a session with the same seed repeats.
        tasks = self._network.running.setdefault(address, {})
        tasks[delivery] = None
        delivery.add_done_callback(lambda task: tasks.pop(task, None))
        try:
            return await future
        finally:
            timer.cancel()


class MemoryServer:
    """RpcServer that only collects its handlers."""

    def __init__(self):
        self.handlers = {}

    def handle(self, method):
        def register(handler):
            self.handlers[method] = handler
            return handler

        return register
