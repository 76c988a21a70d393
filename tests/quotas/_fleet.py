"""Gateways with quotas whose messages are delayed, lost, repeated and cut off."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from typing import NamedTuple

from geraniumbend.errors import RefusedError
from geraniumbend.membership import Member
from geraniumbend.model import Configuration, Tenant
from geraniumbend.quotas import TenantQuotas
from geraniumbend.timers import LoopTimers, ManualTimers

STEP_S = 0.005
SUSPICION_S = 1.2
DETECTION_S = 3.0
JOIN_S = 0.5
CONTACT_PERIOD_S = 0.1
WINDOW_S = 5.0
# Time for which the requests can wait and still be answered in their callers' time.
MAX_WAIT_S = 1.0


class NodeTimers(LoopTimers):
    """Timers of one gateway; they stand still while it is frozen or after its end."""

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.running = asyncio.Event()
        self.running.set()

    def now(self):
        return self.clock.now()

    def every(self, period_s, callback, jitter=0.0):
        # The jitter of the timers is drawn from the global source of randomness.
        spread_s = period_s * jitter
        period_s += self.rng.uniform(-spread_s, spread_s)
        return super().every(period_s, callback)

    async def sleep(self, delay_s):
        await self.clock.sleep(delay_s)
        await self.running.wait()


def find_domain(name):
    """Return the failure domain of a gateway, one of three."""
    return f"domain-{int(name[1:]) % 3}"


def find_state(silent_s):
    """Return the state of a gateway that was last heard some seconds ago."""
    return "alive" if silent_s < SUSPICION_S else "suspect"


class Load(NamedTuple):
    """Requests of a tenant: a second, and the gateways that they reach."""

    tenant: str
    per_s: float
    choose: object = None


class Node:
    """One start of a gateway."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        rng = random.Random(f"{fleet.seed} {name}")
        self.timers = NodeTimers(fleet.clock, rng)
        self.handlers = {}
        self.alive = True
        self.contact = {}
        self.sent = 0
        self.quotas = TenantQuotas(self, self.timers, rng)

    @property
    def running(self):
        return self.alive and self.timers.running.is_set()

    def list_live_gateways(self):
        now = self.timers.now()
        return [
            Member(
                name,
                "gateway",
                "",
                find_domain(name),
                self._find_state(now - heard_at),
                1,
            )
            for name, heard_at in self.contact.items()
            if now - heard_at < DETECTION_S
        ]

    @staticmethod
    def _find_state(silent_s):
        return "alive" if silent_s < SUSPICION_S else "suspect"

    def known_members(self):
        return self.list_live_gateways()

    def handle_messages(self, kind, handler):
        self.handlers[kind] = handler

    def reserve_bytes(self, bytes_per_second):
        pass

    def send_message(self, node, kind, value):
        self.sent += 1
        self.fleet.carry(self.name, node, kind, value)
        return True


class Fleet:
    """Gateways, messages, faults and callers on one manual clock."""

    def __init__(self, seed, size, tenants, loss=0.0, reaction_s=0.01):
        self.clock = ManualTimers()
        self.seed, self.rng = seed, random.Random(seed)
        self.loss, self.reaction_s = loss, reaction_s
        self.messages, self.sequence = [], itertools.count()
        self.cut, self.lost_links = {}, set()
        self.configuration = Configuration(
            1, tenants={tenant.name: tenant for tenant in tenants}
        )
        self.nodes, self.ended = {}, []
        for index in range(size):
            self.start(f"n{index}")
        for node in self.nodes.values():
            node.contact = dict.fromkeys(self.nodes, self.clock.now())
        self.loads = []
        self.admitted = defaultdict(list)
        self.asked = defaultdict(list)
        self.tasks = set()
        self.contact_at = 0.0

    def start(self, name):
        node = self.nodes[name] = Node(self, name)
        now = self.clock.now()
        node.contact = {
            other.name: now for other in self.nodes.values() if self.reach(name, other)
        }
        node.contact[name] = now
        node.quotas.start()
        node.quotas.update(self.configuration)

    def kill(self, name):
        self.nodes[name].alive = False
        self.nodes[name].timers.running.clear()

    def restart(self, name):
        self.kill(name)
        self.ended.append(self.nodes[name])
        self.start(name)

    def freeze(self, name):
        self.nodes[name].timers.running.clear()

    def resume(self, name):
        node = self.nodes[name]
        node.contact = dict.fromkeys(node.contact, self.clock.now())
        node.timers.running.set()

    def configure(self, *tenants):
        self.configuration = Configuration(
            self.configuration.revision + 1, tenants={t.name: t for t in tenants}
        )
        for node in self.nodes.values():
            node.quotas.update(self.configuration)

    def reach(self, name, other):
        """Tell whether messages between two gateways arrive."""
        same_side = self.cut.get(name, 0) == self.cut.get(other.name, 0)
        return other.alive and same_side

    def carry(self, source, target, kind, value):
        for _ in range(1 + (self.rng.random() < self.loss / 2)):
            if self.rng.random() < self.loss or {source, target} in self.lost_links:
                continue
            delay_s = 0.001 + self.rng.expovariate(1 / self.reaction_s)
            if self.rng.random() < 0.03:
                delay_s += self.rng.uniform(0.1, 0.3)
            entry = (self.clock.now() + delay_s, next(self.sequence))
            heapq.heappush(self.messages, (*entry, source, target, kind, value))

    def find_allocators(self, tenant):
        quotas = next(node.quotas for node in self.nodes.values() if node.running)
        return [quotas.choose_allocator(tenant, index) for index in (0, 1)]

    async def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self._deliver()
            self._update_contacts()
            for load in self.loads:
                self._arrive(load)
            await self.clock.advance(STEP_S)

    def _deliver(self):
        now = self.clock.now()
        frozen = []
        while self.messages and self.messages[0][0] <= now:
            entry = heapq.heappop(self.messages)
            _, _, source, target, kind, value = entry
            node = self.nodes[target]
            if not node.alive or not self.reach(source, node):
                continue
            if not node.running:
                frozen.append(entry)
            elif kind in node.handlers:
                node.handlers[kind](source, value)
        for entry in frozen:
            heapq.heappush(self.messages, (now + STEP_S, *entry[1:]))

    def _update_contacts(self):
        now = self.clock.now()
        if now - self.contact_at < CONTACT_PERIOD_S:
            return
        self.contact_at = now
        for node in self.nodes.values():
            if not node.running:
                continue
            for other in self.nodes.values():
                if other.running and self.reach(node.name, other):
                    node.contact[other.name] = now

    def _arrive(self, load):
        mean = load.per_s * STEP_S
        count, left = 0, self.rng.random()
        probability = math.exp(-mean)
        while left > probability:
            left -= probability
            count += 1
            probability *= mean / count
        running = [node for node in self.nodes.values() if node.running]
        for _ in range(count):
            if load.choose is None:
                node = self.rng.choice(running)
            else:
                node = load.choose(running, self.clock.now())
            task = asyncio.ensure_future(self._ask(node, load.tenant))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask(self, node, name):
        asked_at = self.clock.now()
        tenant = self.configuration.tenants.get(name, Tenant(name))
        served = True
        try:
            await node.quotas.admit(tenant, MAX_WAIT_S)
        except RefusedError as error:
            assert (error.status, error.kind) == (429, "quota")
            assert error.retry_after_s > 0
            served = False
        if served and node.alive:
            self.admitted[name].append(self.clock.now())
        self.asked[name].append((asked_at, served))

    def measure_bound(self, name, since=0.0):
        """Return the largest count of a window, as a part of what is allowed."""
        tenant = self.configuration.tenants[name]
        allowed = (tenant.rate_per_s * WINDOW_S + tenant.burst) * 1.1 + 20
        times = [time for time in self.admitted[name] if time >= since]
        most, start = 0, 0
        for end, time in enumerate(times):
            while time - times[start] > WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most / allowed

    def measure_share(self, name, since=0.0):
        """Return the part of the requests that was admitted."""
        served = [ok for at, ok in self.asked[name] if at >= since]
        return sum(served) / max(1, len(served))

    def count_outcomes(self, name):
        totals = Counter()
        for node in self.nodes.values():
            account = node.quotas.dump()["tenants"].get(name)
            totals.update(account["requests"] if account else {})
        return dict(totals)

    async def stop(self):
        for node in [*self.ended, *self.nodes.values()]:
            node.timers.running.set()
            node.quotas.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
