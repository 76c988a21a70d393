"""Backend servers that neither run nor refuse a request that finds them full."""

from __future__ import annotations

import asyncio
import time
import unittest

from geraniumbend.model import RetrySettings
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, make_rule

setUpModule = use_uvloop
tearDownModule = use_default_loop

TAIL_S = 0.05
DEADLINE_S = 1.0
# Two timeouts expire at the deadline; the first one decides the status.
LOST = (502, 504)


async def hang(received, reader, writer):
    """Answer nothing on the connection any more."""
    await reader.read()
    return False


async def answer_slowly(received, reader, writer):
    await asyncio.sleep(0.2)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow")


class HangingServerTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *backends, is_on=True, attempts=2):
        rule = make_rule(
            deadline_s=DEADLINE_S,
            retry=RetrySettings(attempts=attempts, hedge=False),
        )
        path = DataPath(*backends, rule=rule)
        path.servers_may_hang = is_on
        return path

    async def send(self, path, method="GET"):
        path.router.hanging.add("b1")
        latencies = path.proxy._attempts._latencies
        for _ in range(32):
            latencies.observe("g", path.rule.request_class, TAIL_S)
        started = time.monotonic()
        status, _, body = await path.get(method=method)
        return status, body, time.monotonic() - started

    async def test_idempotent_request_is_answered_in_time_by_another_server(self):
        async with (
            ScriptedBackend(hang) as first,
            ScriptedBackend(reply()) as other,
            self.build(first, other) as path,
        ):
            status, body, took_s = await self.send(path)
            self.assertEqual((status, body), (200, b"ok"))
            # Half of the time is left for the caller to ask once more.
            self.assertLess(took_s, DEADLINE_S / 2)
            self.assertEqual(path.router.reported_hanging, ["b1"])
            failed = [outcome.failed for _, outcome in path.router.outcomes]
            self.assertEqual(failed, [False, False])
            self.assertEqual(path.budget.left, 99)

    async def test_without_the_part_the_request_is_lost(self):
        async with (
            ScriptedBackend(hang) as first,
            ScriptedBackend(reply()) as other,
            self.build(first, other, is_on=False) as path,
        ):
            status, _, _ = await self.send(path)
            self.assertIn(status, LOST)

    async def test_request_that_is_only_slow_keeps_its_response(self):
        """Guards against slow requests that begin anew again and again."""
        async with (
            ScriptedBackend(answer_slowly) as first,
            ScriptedBackend(hang) as other,
            self.build(first, other) as path,
        ):
            status, body, _ = await self.send(path)
            self.assertEqual((status, body), (200, b"slow"))
            self.assertEqual(path.router.reported_hanging, [])

    async def test_order_is_sent_once_and_its_outcome_is_unknown(self):
        """Guards against orders that run twice."""
        async with (
            ScriptedBackend(hang) as first,
            ScriptedBackend(reply()) as other,
            self.build(first, other) as path,
        ):
            status, body, _ = await self.send(path, "POST")
            self.assertIn(status, LOST)
            self.assertIn(b"unknown", body)
            self.assertEqual(len(first.received) + len(other.received), 1)
            self.assertEqual(path.router.reported_hanging, ["b1"])

    async def test_retry_limits_hold(self):
        async with (
            ScriptedBackend(hang) as first,
            ScriptedBackend(reply()) as other,
            self.build(first, other, attempts=1) as path,
        ):
            status, _, _ = await self.send(path)
            self.assertIn(status, LOST)
            self.assertEqual(other.received, [])

    async def test_other_requests_of_the_server_are_not_disturbed(self):
        """Guards against a server whose connections are all closed for one request."""
        calls = []

        async def hang_first(received, reader, writer):
            calls.append(received)
            if len(calls) == 1:
                return await hang(received, reader, writer)
            return await answer_slowly(received, reader, writer)

        async with (
            ScriptedBackend(hang_first) as first,
            ScriptedBackend(reply()) as other,
            self.build(first, other) as path,
        ):
            lost = asyncio.ensure_future(self.send(path))
            await asyncio.sleep(0.02)
            path.budget.left = 1
            status, _, body = await path.get()
            self.assertEqual((status, body), (200, b"slow"))
            self.assertEqual((await lost)[0], 200)
