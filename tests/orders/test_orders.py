from __future__ import annotations

import asyncio
import unittest

from geraniumbend.errors import NotLeaderError, RefusedError, UnavailableError
from geraniumbend.orders import OrderClient, OrderJournal, OrderService, OrderShard
from geraniumbend.orders import _journal as journal_module
from geraniumbend.timers import ManualTimers
from geraniumbend.wire import encode, load_structs


class FakeHost:
    """A control host that is also its own RPC server and the RPC client to it."""

    def __init__(self, timers, shards=1):
        self.timers, self.handlers, self.index = timers, {}, 0
        self.lose_responses, self.down, self.proposals = 0, False, 0
        self.journals = [OrderJournal() for _ in range(shards)]
        logs = [OrderShard(FakeLog(self, j), j) for j in self.journals]
        self.service = OrderService(logs, timers)
        self.service.register(self)

    def handle(self, method):
        return lambda handler: self.handlers.update({method: handler})

    async def call(self, address, method, body, timeout_s):
        if address != "leader":
            raise NotLeaderError("not here", "", "leader")
        if self.down:
            raise UnavailableError("down")
        response = await self.handlers[method](body)
        if self.lose_responses:
            self.lose_responses -= 1
            raise UnavailableError("response lost")
        return response


class FakeLog:
    """Log that commits each command at once, on the one host."""

    def __init__(self, host, journal):
        self.host, self.journal = host, journal

    async def propose(self, command):
        self.host.index += 1
        return self.journal.apply(self.host.index, command)

    async def read_barrier(self):
        return self.host.index


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.host = FakeHost(self.timers, shards=3)
        hosts = ["leader", "other"]
        self.one = OrderClient(hosts, self.host, self.timers)
        self.two = OrderClient(hosts, self.host, self.timers)

    async def claim(self, client, key="k", caller=b"ann", body=b"pay", deadline_s=5.0):
        task = asyncio.ensure_future(
            client.claim(key, caller, body, "gateway", deadline_s)
        )
        for _ in range(200):
            await self.timers.advance(0.05)
            if task.done():
                break
        return await task

    def orders(self):
        return sum(len(journal._orders) for journal in self.host.journals)

    async def test_retry_of_a_completed_order_gets_the_stored_response(self):
        claim = await self.claim(self.one)
        self.assertEqual(claim.state, "granted")
        await self.one.complete(claim, b"paid\x00\xff")
        again = await self.claim(self.two)
        self.assertEqual((again.state, again.response), ("completed", b"paid\x00\xff"))

    async def test_key_of_another_caller_or_body_gets_no_response(self):
        claim = await self.claim(self.one)
        await self.one.complete(claim, b"secret")
        for changed in ({"caller": b"bob"}, {"body": b"pay more"}):
            refused = await self.claim(self.two, **changed)
            self.assertEqual((refused.state, refused.response), ("mismatch", None))

    async def test_waiting_retry_of_a_running_order_is_notified_of_its_end(self):
        claim = await self.claim(self.one)
        waiting = asyncio.ensure_future(
            self.two.claim("k", b"ann", b"pay", "gateway", 5.0)
        )
        await self.timers.advance(1)
        self.assertFalse(waiting.done())
        await self.one.complete(claim, b"paid")
        await self.timers.advance(0)
        self.assertEqual((await waiting).response, b"paid")
        self.assertEqual(self.host.service._notifiers, {})

    async def test_retry_of_an_order_that_does_not_end_gets_running_at_its_deadline(
        self,
    ):
        await self.claim(self.one, deadline_s=60)
        self.assertEqual((await self.claim(self.two, deadline_s=2)).state, "running")

    async def test_order_of_a_dead_gateway_becomes_unknown_and_stays_unknown(self):
        await self.claim(self.one, deadline_s=1)
        self.host.service.start()
        await self.timers.advance(10)
        for _ in range(2):
            self.assertEqual((await self.claim(self.two)).state, "unknown")
        self.host.service.stop()

    async def test_claim_with_lost_responses_is_granted_to_the_same_token(self):
        self.host.lose_responses = 2
        self.assertEqual((await self.claim(self.one)).state, "granted")

    async def test_claim_that_timed_out_without_response_does_not_block_its_key(self):
        self.host.lose_responses = 10_000
        with self.assertRaises(RefusedError) as caught:
            await self.claim(self.one, deadline_s=0.5)
        self.assertEqual(caught.exception.run, "not_run")
        self.host.lose_responses = 0
        await self.timers.advance(2)
        self.assertEqual((await self.claim(self.two, body=b"pay")).state, "granted")

    async def test_cancelled_claim_does_not_block_its_key(self):
        self.host.lose_responses = 1
        task = asyncio.ensure_future(self.one.claim("k", b"ann", b"pay", "g", 5.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await self.timers.advance(2)
        self.assertEqual((await self.claim(self.two)).state, "granted")

    async def test_released_order_may_run_and_a_completed_one_cannot_be_released(self):
        claim = await self.claim(self.one)
        await self.one.release(claim)
        second = await self.claim(self.two)
        self.assertEqual(second.state, "granted")
        await self.two.complete(second, b"paid")
        with self.assertRaises(UnavailableError):
            await self.two.release(second)
        self.assertEqual((await self.claim(self.one)).response, b"paid")

    async def test_completion_is_sent_again_until_the_control_host_is_back(self):
        claim = await self.claim(self.one)
        self.host.down = True
        completing = asyncio.ensure_future(self.one.complete(claim, b"paid"))
        await self.timers.advance(4)
        with self.assertRaises(UnavailableError):
            await completing
        self.host.down = False
        await self.timers.advance(2)
        self.assertEqual((await self.claim(self.two)).response, b"paid")

    async def test_response_above_the_limit_is_completed_but_not_stored(self):
        claim = await self.claim(self.one)
        await self.one.complete(claim, b"x" * (256 * 1024 + 1))
        again = await self.claim(self.two)
        self.assertEqual((again.state, again.response), ("unknown", None))
        self.assertIn("has run", again.detail)

    async def test_full_journal_refuses_claims_until_orders_expire(self):
        self.addCleanup(setattr, journal_module, "MAX_ORDERS", 200_000)
        journal_module.MAX_ORDERS = 1
        self.host = FakeHost(self.timers)
        client = OrderClient(["leader"], self.host, self.timers)
        await client.complete(await self.claim(client), b"paid")
        with self.assertRaises(RefusedError):
            await self.claim(client, key="other")
        structs = load_structs("orders")
        advance = structs.AdvanceClock(elapsed_ms=24 * 3600 * 1000)
        self.host.journals[0].apply(99, encode(structs.OrderCommand(advance=advance)))
        self.assertEqual((await self.claim(client, key="other")).state, "granted")
        self.assertEqual(self.host.journals[0].dump()["answers_bytes"], 0)

    async def test_only_the_oldest_responses_are_dropped_at_the_memory_limit(self):
        self.addCleanup(
            setattr, journal_module, "MAX_TOTAL_RESPONSE_BYTES", 64 * 1024 * 1024
        )
        journal_module.MAX_TOTAL_RESPONSE_BYTES = 10
        self.host = FakeHost(self.timers)
        client = OrderClient(["leader"], self.host, self.timers)
        for key in ("first", "second"):
            await client.complete(await self.claim(client, key=key), b"12345678")
        self.assertEqual((await self.claim(client, key="first")).state, "unknown")
        self.assertEqual((await self.claim(client, key="second")).state, "completed")
