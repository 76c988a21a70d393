"""Gateways that are killed and start again under the same name."""

from __future__ import annotations

import asyncio
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.quarantine import Quarantine
from geraniumbend.quarantine._quarantine import RECORD_KIND
from geraniumbend.quarantine._suspect_requests import ENTRY_LIFETIME_S
from tests.membership.network import Cluster, announcement

POISON = "p"
# Time in which records reach all nodes, in seconds.
SPREAD_S = 2.0


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that crash further servers after each restart."""

    async def asyncSetUp(self):
        self.cluster = await Cluster(3).start()
        self.addAsyncCleanup(self.cluster.stop)
        self.gateways = {}
        for name in self.cluster.names:
            self.open(name)
        for number in range(6):
            self.cluster.nodes["g0"].announce(announcement(f"s{number}"))
        await self.advance()

    def open(self, name):
        node = self.cluster.nodes[name]
        self.gateways[name] = Quarantine(name, node, self.cluster.clocks[name])

    async def advance(self, seconds=SPREAD_S):
        await self.cluster.timers.advance(seconds)

    async def lose(self, name, server_id, fingerprint=POISON):
        reporting = asyncio.ensure_future(
            self.gateways[name].report_loss(fingerprint, server_id)
        )
        await self.advance()
        await reporting

    def kill(self, name):
        self.cluster.kill(name)
        del self.gateways[name]

    async def start(self, name, incarnation=2):
        await self.cluster.boot(name, incarnation)
        self.open(name)

    def is_refused(self, name, fingerprint=POISON):
        try:
            self.gateways[name].check(fingerprint)
        except RefusedError:
            return True
        return False

    def list_losses(self, name, fingerprint=POISON):
        return {
            loss
            for entry in self.gateways[name].entries()
            if entry.fingerprint == fingerprint
            for loss in entry.losses
        }

    async def test_gateway_knows_the_losses_that_it_published_itself(self):
        """Guards against the case of `review/9`."""
        await self.lose("g1", "s0")
        await self.lose("g2", "s1")
        self.kill("g2")
        await self.advance()
        await self.start("g2")
        await self.advance()
        self.assertEqual(self.list_losses("g2"), {"s0/1", "s1/1"})
        self.assertTrue(self.is_refused("g2"))

    async def test_each_of_many_restarts_keeps_the_losses(self):
        await self.lose("g1", "s0")
        await self.lose("g2", "s1")
        for incarnation in range(2, 8):
            name = ("g1", "g2")[incarnation % 2]
            self.kill(name)
            await self.advance()
            await self.start(name, incarnation)
            await self.advance()
            self.assertTrue(self.is_refused(name), incarnation)

    async def test_gateways_that_restart_together_know_the_losses(self):
        """Guards against losses that only those know that have just started."""
        await self.lose("g1", "s0")
        await self.lose("g2", "s1")
        self.kill("g1")
        self.kill("g2")
        await self.advance()
        await self.start("g1")
        await self.start("g2")
        await self.advance()
        self.assertTrue(self.is_refused("g1") and self.is_refused("g2"))

    async def test_loss_that_is_published_before_the_earlier_ones_are_heard(self):
        """Guards against a first record that replaces more than it contains."""
        await self.lose("g2", "s0")
        self.kill("g2")
        await self.advance()
        self.cluster.cut(["g2"], ["g0", "g1"])
        await self.start("g2")
        self.cluster.nodes["g2"].announce(announcement("s1"))
        await self.lose("g2", "s1")
        self.cluster.heal()
        await self.advance(20.0)
        for name in self.cluster.names:
            self.assertEqual(self.list_losses(name), {"s0/1", "s1/1"}, name)
        self.kill("g1")
        await self.start("g1")
        await self.advance()
        self.assertTrue(self.is_refused("g1"))

    async def test_losses_that_were_cleared_meanwhile_do_not_come_back(self):
        """Guards against a request that stays refused though an operator cleared it."""
        await self.lose("g1", "s0")
        await self.lose("g2", "s1")
        self.kill("g2")
        await self.advance()
        self.gateways["g0"].clear(POISON)
        await self.advance()
        await self.start("g2")
        await self.advance()
        for name in self.cluster.names:
            self.assertEqual(self.list_losses(name), set(), name)
        # A loss after the clear counts, wherever it is reported.
        await self.lose("g2", "s2")
        await self.lose("g1", "s3")
        for name in self.cluster.names:
            self.assertTrue(self.is_refused(name), name)

    async def test_gateway_that_cleared_a_request_remembers_it_after_a_restart(self):
        await self.lose("g1", "s0")
        await self.lose("g2", "s1")
        self.kill("g2")
        await self.advance()
        self.gateways["g1"].clear(POISON)
        await self.advance()
        self.kill("g1")
        await self.advance()
        await self.start("g1")
        await self.start("g2")
        await self.advance()
        for name in self.cluster.names:
            self.assertFalse(self.is_refused(name), name)

    async def test_what_was_cleared_is_forgotten_with_its_records(self):
        """Guards against memory that grows with each cleared request."""
        await self.lose("g1", "s0")
        self.gateways["g1"].clear(POISON)
        await self.advance(ENTRY_LIFETIME_S + 5.0)
        for name in self.cluster.names:
            self.assertEqual(self.cluster.nodes[name].records(RECORD_KIND), {})
            suspects = self.gateways[name]._suspect_requests
            self.assertEqual(suspects.list_cleared_losses(POISON), ())
            self.assertEqual(suspects._cleared_losses, {})

    async def test_clear_of_an_unknown_request_leaves_no_record(self):
        """Guards against records for each mistyped fingerprint."""
        self.gateways["g0"].clear("unknown")
        await self.advance()
        table = self.cluster.nodes["g0"]._table
        self.assertIsNone(table.get(RECORD_KIND, "g0", "unknown"))

    async def test_request_that_succeeded_stays_cleared_on_a_restarted_gateway(self):
        """Guards against an innocent request that one restart makes suspect again."""
        await self.lose("g2", "s0", "innocent")
        self.kill("g2")
        await self.advance()
        self.gateways["g1"].report_success("innocent")
        await self.advance()
        await self.start("g2")
        await self.advance()
        self.assertEqual(self.list_losses("g2", "innocent"), set())
