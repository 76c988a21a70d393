from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from itertools import pairwise
from unittest.mock import patch

from hypothesis import HealthCheck, Phase
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from geraniumbend.errors import GeraniumbendError, StorageError
from geraniumbend.replication import _core
from tests.fuzzing import fuzz
from tests.replication.cluster import Cluster
from tests.replication.fakes import MemoryDisk

NODES = st.sampled_from(["n1", "n2", "n3"])
# n4 and n5 are started empty when they are added for the first time.
ALL_NODES = st.sampled_from(["n1", "n2", "n3", "n4", "n5"])


class LogMachine(RuleBasedStateMachine):
    """Random faults against a list of acknowledged commands.

    The oracle holds what was acknowledged and at which position. Whatever the
    faults, each acknowledged command stays at its position and all replicas apply
    prefixes of one list.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.acknowledged = {}
        self.proposals = []
        self.reads = []
        self.changes = []
        self.count = 0
        self.wiped = None

    @initialize(seed=st.integers(0, 2**16), latency=st.sampled_from([0.0, 0.02, 0.1]))
    def open(self, seed, latency):
        self.cluster = Cluster(3, seed, latency, drift=0.1)
        self.runner.run(self.cluster.start())
        self.runner.run(self.cluster.run(1.5))

    @rule(seconds=st.sampled_from([0.03, 0.2, 0.7, 1.5]))
    def wait(self, seconds):
        self.runner.run(self.cluster.run(seconds))

    @rule()
    def recover(self):
        """Bring everything back, so that later faults meet a working log."""
        self.cluster.network.heal()
        for node in sorted(self.cluster.disks):
            replica = self.cluster.replicas.get(node)
            if replica is not None and replica.dump()["role"] == "failed":
                self.kill(node)
            self.restart(node)
        self.wait(1.5)

    @rule(amount=st.integers(1, 12), seconds=st.sampled_from([0.0, 0.05, 0.3]))
    def propose(self, amount, seconds):
        self.runner.run(self._propose(amount))
        self.wait(seconds)

    @rule()
    def read(self):
        self.runner.run(self._read())

    @rule(node=ALL_NODES)
    def kill(self, node):
        if node in self.cluster.replicas:
            self.runner.run(self.cluster.kill(node))

    @rule(node=ALL_NODES)
    def restart(self, node):
        if node in self.cluster.disks and node not in self.cluster.replicas:
            try:
                self.runner.run(self.cluster.start(node))
            except StorageError:
                self.cluster.disks[node].crash(self.cluster.rng)

    @rule(node=ALL_NODES)
    def stop(self, node):
        if node in self.cluster.replicas:
            self.runner.run(self.cluster.stop_gracefully(node))

    @rule(node=ALL_NODES, voting=st.booleans())
    def add_member(self, node, voting):
        if node not in self.cluster.disks:
            self.runner.run(self.cluster.start(node))
        self._change(lambda replica: replica.add_member(node, node, voting))
        self.wait(0.3)

    @precondition(lambda self: self._is_repaired())
    @rule(node=ALL_NODES)
    def remove_member(self, node):
        self._change(lambda replica: replica.remove_member(node))

    @rule(node=NODES, steps=st.integers(1, 12))
    def break_disk(self, node, steps):
        disk = self.cluster.disks[node]
        disk.fail_at = disk.steps + steps

    @rule(node=NODES)
    def fill_disk(self, node):
        self.cluster.disks[node].is_full = True

    @rule(node=NODES)
    def free_disk(self, node):
        """Give a disk its space back; its process goes on."""
        self.cluster.disks[node].is_full = False
        self.wait(0.7)

    @rule(node=NODES)
    def isolate(self, node):
        self.cluster.network.isolate(node, self.cluster.voters)

    @rule(node=NODES, other=NODES)
    def cut_link(self, node, other):
        self.cluster.network.cut |= {(node, other)}

    @rule()
    def heal(self):
        self.cluster.network.heal()

    @precondition(lambda self: self._is_repaired())
    @rule(node=NODES)
    def wipe(self, node):
        """Lose the whole disk of one replica.

        Never of two at a time, and not while a voter is removed: both would take
        away a majority for good.
        """
        self.wait(0.7)
        if len(self._voters()) < 3:
            return
        if node in self.cluster.replicas:
            self.runner.run(self.cluster.kill(node))
        self.cluster.disks[node] = MemoryDisk()
        self.wiped = node

    @invariant()
    def applied_lists_are_prefixes_of_one(self):
        lists = sorted(
            (
                self.cluster.machines[name].commands
                for name in (getattr(self, "cluster", None) and self.cluster.nodes)
                or []
            ),
            key=len,
        )
        for shorter, longer in pairwise(lists):
            assert longer[: len(shorter)] == shorter

    def teardown(self):
        try:
            self.runner.run(self._settle())
        finally:
            self.runner.close()

    def _voters(self):
        for replica in self.cluster.replicas.values():
            if replica.is_leader and replica._leading.is_settled():
                return [m.name for m in replica.members() if m.role == "voter"]
        return []

    def _is_repaired(self):
        if self.wiped is None:
            return True
        replica = self.cluster.replicas.get(self.wiped)
        return replica is not None and replica.dump()["role"] in ("leader", "follower")

    def _change(self, start):
        async def change():
            for replica in list(self.cluster.replicas.values()):
                if replica.dump()["role"] == "leader":
                    attempt = asyncio.ensure_future(self._attempt(start(replica)))
                    self.changes.append(attempt)
            await asyncio.sleep(0)

        self.runner.run(change())

    async def _attempt(self, change):
        with suppress(GeraniumbendError):
            await change

    async def _propose(self, amount):
        for name in self.cluster.nodes:
            replica = self.cluster.replicas[name]
            if replica.dump()["role"] != "leader":
                continue
            for _ in range(amount):
                self.count += 1
                command = f"c{self.count}"
                self.proposals.append(
                    asyncio.ensure_future(self._follow(replica, command))
                )
        await asyncio.sleep(0)

    async def _follow(self, replica, command):
        try:
            position = int(await replica.propose(command.encode()))
        except GeraniumbendError:
            return
        self.acknowledged[command] = position

    async def _read(self):
        for name in self.cluster.nodes:
            machine = self.cluster.machines[name]
            self.reads.append(
                asyncio.ensure_future(
                    self._check_read(self.cluster.replicas[name], machine)
                )
            )
        await asyncio.sleep(0)

    async def _check_read(self, replica, machine):
        before = dict(self.acknowledged)
        try:
            await replica.read_barrier()
        except GeraniumbendError:
            return
        for command, position in before.items():
            assert machine.commands[position - 1 : position] == [command], (
                f"read on {replica.node} misses {command}"
            )

    async def _settle(self):
        cluster = self.cluster
        cluster.network.heal()
        for name in cluster.nodes:
            await cluster.kill(name)
        for disk in cluster.disks.values():
            disk.crash(cluster.rng)
        await cluster.start(*sorted(cluster.disks))
        try:
            leader = await cluster.leader()
            await cluster.run(2)
            leader = await cluster.leader()
            voters = [m.name for m in leader.members() if m.role == "voter"]
            commands = await cluster.converge(voters)
            waiting = (*self.proposals, *self.reads, *self.changes)
            await cluster.finish(asyncio.gather(*waiting))
        finally:
            await cluster.stop()
        for command, position in self.acknowledged.items():
            assert commands[position - 1 : position] == [command], (
                f"acknowledged {command} is not at {position} of {commands}"
            )
        assert len(set(commands)) == len(commands)


class FuzzTest(unittest.TestCase):
    @patch.object(_core, "COMPACT_ENTRIES", 8)
    @patch.object(_core, "TRAILING_ENTRIES", 3)
    def test_no_acknowledged_command_is_lost_under_random_faults(self):
        run_state_machine_as_test(
            LogMachine,
            settings=fuzz(
                max_examples=30,
                stateful_step_count=40,
                database=None,
                # Shrinking replays whole runs, which takes minutes.
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
