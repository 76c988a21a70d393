"""Allocators that are killed and start again under the same name."""

from __future__ import annotations

import random

from geraniumbend.limits import ServerLimits
from geraniumbend.limits._permit_exchange import LIMIT_RECORD, OWN_STATEMENT_S
from geraniumbend.limits._warmup_exchange import WARMUP_RECORD
from tests.limits.test_server_limits import SERVER, LimitsCase, Port


class RestartedAllocatorTest(LimitsCase):
    """Guards against a first second in which an allocator knows no limit."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.kept = {}
        keeper = self.ports[int(self.others[0][1:])]
        for kind in (LIMIT_RECORD, WARMUP_RECORD):
            keeper.callbacks[kind] = self.keep(kind, keeper.callbacks[kind])

    def keep(self, kind, callback):
        """Keep the record of a kind that the allocator has published last."""

        def handle(node, key, value):
            if node == self.allocator:
                self.kept[kind] = (node, key, value)
            callback(node, key, value)

        return handle

    def restart(self):
        """Start the allocator anew, with the records that its peers have kept."""
        self.limits[self.allocator].stop()
        port = Port(self.bus, self.allocator)
        fresh = ServerLimits(port, self.timers, random.Random(1))
        self.limits[self.allocator] = fresh
        fresh.start()
        self.addCleanup(fresh.stop)
        for kind, record in self.kept.items():
            port.callbacks[kind](*record)
        return fresh

    async def test_limit_that_it_published_holds_again(self):
        self.hear(self.others[0], "4.8")
        self.assertEqual(self.restart().limit_per_s("b"), 4.8)

    async def test_warm_up_that_it_published_holds_again(self):
        for limits in self.limits.values():
            limits.observe_warmup(SERVER, 3.0, 8.8, source="probe")
        self.assertEqual(self.restart().limit_per_s("b"), 8.8)

    async def test_limit_and_warm_up_hold_in_any_order(self):
        for limits in self.limits.values():
            limits.observe_warmup(SERVER, 3.0, 8.8, source="probe")
        self.hear(self.others[0], "20")
        self.kept = dict(sorted(self.kept.items(), reverse=True))
        self.assertEqual(self.restart().limit_per_s("b"), 8.8)
        self.kept = dict(sorted(self.kept.items()))
        self.assertEqual(self.restart().limit_per_s("b"), 8.8)

    async def test_own_record_renews_nothing_that_is_known(self):
        """Guards against a limit that an allocator keeps alive by its own record."""
        self.hear(self.others[0], "4.8")
        await self.timers.advance(OWN_STATEMENT_S + 0.1)
        known = self.limits[self.allocator]._table.get("b")
        confirmed_at = known.confirmed_at
        port = self.bus.ports[self.allocator]
        port.callbacks[LIMIT_RECORD](*self.kept[LIMIT_RECORD])
        self.assertEqual(known.confirmed_at, confirmed_at)
