from __future__ import annotations

import asyncio
import logging
import unittest

from hypothesis import HealthCheck, given
from hypothesis import strategies as st

from geraniumbend.errors import ConflictError
from tests.fuzzing import fuzz
from tests.membership.network import Cluster, announcement

NAMES = ("g0", "g1", "g2", "g3")
SERVERS = ("s0", "s1", "s2")
LEASE_S = 10.0
# Lease, suspicion and detection, and two rounds of anti-entropy.
SETTLE_S = 40.0

steps = st.one_of(
    st.tuples(st.just("announce"), st.sampled_from(NAMES), st.sampled_from(SERVERS)),
    st.tuples(st.just("restart"), st.sampled_from(NAMES), st.sampled_from(SERVERS)),
    st.tuples(st.just("deregister"), st.sampled_from(NAMES), st.sampled_from(SERVERS)),
    st.tuples(st.just("cut"), st.sampled_from(NAMES), st.booleans()),
    st.tuples(st.just("heal"), st.none(), st.none()),
    st.tuples(st.just("freeze"), st.sampled_from(NAMES), st.none()),
    st.tuples(st.just("thaw"), st.none(), st.none()),
    st.tuples(st.just("reboot"), st.sampled_from(NAMES), st.none()),
    st.tuples(st.just("lose"), st.sampled_from([0.0, 0.2, 0.4]), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 2.0, 7.0, 12.0]), st.none()),
)


class Oracle:
    """State of an ideal registry: incarnations and deregistrations."""

    def __init__(self):
        self.incarnation = dict.fromkeys(SERVERS, 1)
        self.deregistered = {}

    def may_be_known(self, server_id, incarnation):
        return incarnation > self.deregistered.get(server_id, 0)


class Session:
    """One sequence of steps against a cluster and the oracle."""

    def __init__(self, test, cluster):
        self.test = test
        self.cluster = cluster
        self.oracle = Oracle()
        self.frozen = set()
        self.boots = 1

    async def run(self, sequence):
        for action, first, second in sequence:
            await getattr(self, action)(first, second)
        await self.heal(None, None)
        await self.thaw(None, None)
        self.cluster.network.loss = 0.0
        for _ in range(int(SETTLE_S / 2)):
            for server_id in SERVERS:
                await self.announce("g0", server_id)
            await self.cluster.timers.advance(2.0)
        self.check()

    def check(self):
        for name in NAMES:
            self.test.assertEqual(self.cluster.live(name), list(NAMES), name)
            known = self.cluster.nodes[name].servers()
            for server_id in SERVERS:
                incarnation = self.oracle.incarnation[server_id]
                expected = self.oracle.may_be_known(server_id, incarnation)
                self.test.assertEqual(server_id in known, expected, (name, server_id))
                if expected:
                    self.test.assertEqual(known[server_id].incarnation, incarnation)
                    self.test.assertFalse(known[server_id].stale)

    async def announce(self, name, server_id):
        if name in self.frozen:
            return
        server = announcement(server_id, self.oracle.incarnation[server_id])
        try:
            self.cluster.nodes[name].announce(server)
        except ConflictError:
            deregistered = self.oracle.deregistered.get(server_id, 0)
            self.test.assertGreaterEqual(deregistered, server.server.incarnation)

    async def restart(self, name, server_id):
        self.oracle.incarnation[server_id] += 1
        await self.announce(name, server_id)

    async def deregister(self, name, server_id):
        if name in self.frozen:
            return
        incarnation = self.oracle.incarnation[server_id]
        self.cluster.nodes[name].deregister(server_id, incarnation)
        self.oracle.deregistered[server_id] = incarnation

    async def cut(self, name, both):
        self.cluster.cut([name], [n for n in NAMES if n != name], both)

    async def heal(self, first, second):
        self.cluster.heal()

    async def freeze(self, name, second):
        self.frozen.add(name)
        self.cluster.freeze(name)

    async def thaw(self, first, second):
        for name in sorted(self.frozen):
            self.cluster.thaw(name)
        self.frozen.clear()

    async def reboot(self, name, second):
        if name in self.frozen:
            return
        self.boots += 1
        self.cluster.kill(name)
        await self.cluster.boot(name, incarnation=self.boots)

    async def lose(self, share, second):
        self.cluster.network.loss = share

    async def wait(self, seconds, second):
        await self.cluster.timers.advance(seconds)


class FuzzTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_faults_in_any_order_end_in_agreement_with_the_oracle(self):
        @fuzz(
            max_examples=25,
            suppress_health_check=list(HealthCheck),
        )
        @given(st.lists(steps, min_size=3, max_size=14))
        def check(sequence):
            asyncio.run(self.run_session(sequence))

        check()

    async def run_session(self, sequence):
        cluster = await Cluster(len(NAMES)).start()
        try:
            await Session(self, cluster).run(sequence)
        finally:
            await cluster.stop()
