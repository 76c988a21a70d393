from __future__ import annotations

import asyncio
import unittest

from geraniumbend.model import OrderSettings
from geraniumbend.orders import Claim
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    send_raw,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, make_rule, problem

setUpModule = use_uvloop
tearDownModule = use_default_loop
SHED = b"HTTP/1.1 503 S\r\nContent-Length: 0\r\nRequest-Not-Run: 1\r\n\r\n"
KEY = "Idempotency-Key: k1"


class FakeJournal:
    """Order journal in memory, with the states of the real one."""

    def __init__(self):
        self.entries = {}
        self.ends = []

    async def claim(self, key, caller_digest, request_digest, owner, deadline_s):
        digests = (caller_digest, request_digest)
        known = self.entries.get(key)
        if known is None:
            self.entries[key] = [digests, "running", None]
            return Claim("granted", key, "t")
        if known[0] != digests:
            return Claim("mismatch", key, "t")
        return Claim(known[1], key, "t", known[2])

    async def complete(self, claim, response):
        self.entries[claim.key][1:] = ["completed", response]
        self.ends.append("completed")

    async def release(self, claim):
        del self.entries[claim.key]
        self.ends.append("released")

    async def abandon(self, claim):
        self.entries[claim.key][1] = "unknown"
        self.ends.append("unknown")


async def drop(received, reader, writer):
    return False


class OrderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.journal = FakeJournal()

    def open(self, *backends, keyless="refuse"):
        rule = make_rule(order=OrderSettings(keyless=keyless))
        return DataPath(*backends, rule=rule, orders=self.journal)

    async def pay(self, path, *lines, body=b"pay 5"):
        return await path.get("/pay", *lines, method="POST", body=body)

    async def test_retried_order_gets_the_same_response_and_runs_once(self):
        async with (
            ScriptedBackend(reply(b"paid")) as backend,
            self.open(backend) as path,
        ):
            first = await self.pay(path, KEY, "X-Request-Id: same")
            second = await self.pay(path, KEY, "X-Request-Id: same")
            self.assertEqual(first, second)
            self.assertEqual((first[0], first[2]), (200, b"paid"))
            self.assertEqual(len(backend.received), 1)

    async def test_key_of_another_body_or_caller_is_refused_as_not_run(self):
        async with ScriptedBackend(reply()) as backend, self.open(backend) as path:
            await self.pay(path, KEY)
            for response in (
                await self.pay(path, KEY, body=b"pay 6"),
                await self.pay(path, KEY, "Authorization: other"),
            ):
                status, document = problem(response)
                self.assertEqual((status, document["run"]), (422, "not_run"))
            self.assertEqual(len(backend.received), 1)

    async def test_order_without_key_is_refused_or_sent_once_depending_on_its_rule(
        self,
    ):
        async with (
            ScriptedBackend(send_raw(SHED)) as one,
            ScriptedBackend(reply()) as two,
            self.open(one, two) as path,
        ):
            status, document = problem(await self.pay(path))
            self.assertEqual((status, document["run"]), (400, "not_run"))
            async with self.open(one, two, keyless="once") as path:
                self.assertEqual(problem(await self.pay(path))[0], 503)
            self.assertEqual((len(one.received), len(two.received)), (1, 0))

    async def test_shed_order_is_retried_on_another_server_or_released(self):
        async with (
            ScriptedBackend(send_raw(SHED)) as one,
            ScriptedBackend(reply()) as two,
            self.open(one, two) as path,
        ):
            self.assertEqual((await self.pay(path, KEY))[0], 200)
            async with self.open(one) as path:
                document = problem(await self.pay(path, "Idempotency-Key: k2"))[1]
                self.assertEqual(document["run"], "not_run")
        self.assertEqual(self.journal.ends, ["completed", "released"])

    async def test_order_with_unknown_outcome_is_never_sent_again(self):
        async with (
            ScriptedBackend(drop) as one,
            ScriptedBackend(reply()) as two,
            self.open(one, two) as path,
        ):
            status, document = problem(await self.pay(path, KEY))
            self.assertEqual((status, document["run"]), (502, "unknown"))
            status, document = problem(await self.pay(path, KEY))
            self.assertEqual((status, document["run"]), (409, "unknown"))
            self.assertEqual((len(one.received), len(two.received)), (1, 0))

    async def test_order_refused_by_admission_is_released(self):
        async with ScriptedBackend(reply()) as backend, self.open(backend) as path:
            path.admission.refuse = True
            self.assertEqual(problem(await self.pay(path, KEY))[1]["run"], "not_run")
            path.admission.refuse = False
            self.assertEqual((await self.pay(path, KEY))[0], 200)
        self.assertEqual(self.journal.ends, ["released", "completed"])

    async def test_order_runs_to_its_end_after_its_caller_disconnects(self):
        async def script(received, reader, writer):
            await asyncio.sleep(0.2)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid")

        async with ScriptedBackend(script) as backend, self.open(backend) as path:
            _, writer = await path.connect()
            raw = f"POST /pay HTTP/1.1\r\nHost: h\r\n{KEY}\r\nContent-Length: 5\r\n\r\n"
            writer.write(raw.encode() + b"pay 5")
            while not backend.received:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.sleep(0.05)
            self.assertEqual(path.proxy.orders_in_flight(), 1)
            await asyncio.sleep(0.25)
            self.assertEqual(path.proxy.orders_in_flight(), 0)
            response = await self.pay(path, KEY)
            self.assertEqual((response[0], response[2]), (200, b"paid"))
            self.assertEqual(len(backend.received), 1)
