from __future__ import annotations

import asyncio
import os
import unittest
from itertools import pairwise
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings
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
from tests.replication.fakes import Cluster, MemoryDisk

EXAMPLES = int(os.environ.get("GERANIUMBEND_FUZZ_EXAMPLES", "0"))
NODES = st.sampled_from(["n1", "n2", "n3"])


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

    @rule(amount=st.integers(1, 5))
    def propose(self, amount):
        self.runner.run(self._propose(amount))

    @rule()
    def read(self):
        self.runner.run(self._read())

    @precondition(lambda self: len(self.cluster.nodes) > 1)
    @rule(node=NODES)
    def kill(self, node):
        if node in self.cluster.replicas:
            self.runner.run(self.cluster.kill(node))

    @rule(node=NODES)
    def restart(self, node):
        if node not in self.cluster.replicas:
            try:
                self.runner.run(self.cluster.start(node))
            except StorageError:
                self.cluster.disks[node].crash(self.cluster.rng)

    @rule(node=NODES, steps=st.integers(1, 12))
    def break_disk(self, node, steps):
        disk = self.cluster.disks[node]
        disk.fail_at = disk.steps + steps

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
        """Lose the whole disk of one replica, never of two at a time."""
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

    def _is_repaired(self):
        if self.wiped is None:
            return True
        replica = self.cluster.replicas.get(self.wiped)
        return replica is not None and replica.dump()["role"] in ("leader", "follower")

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
        await cluster.start()
        try:
            commands = await cluster.converge()
            await cluster.finish(asyncio.gather(*self.proposals, *self.reads))
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
            settings=settings(
                max_examples=EXAMPLES or 30,
                stateful_step_count=40,
                derandomize=not EXAMPLES,
                database=None,
                deadline=None,
                # Shrinking replays whole sessions and takes minutes.
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
