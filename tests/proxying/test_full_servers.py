"""Backend servers that reset the connection of a request when they are full."""

from __future__ import annotations

import socket
import struct
import unittest

from geraniumbend.routing import LoadReport, ServerView
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    use_default_loop,
    use_uvloop,
)
from tests.fakes import build_servers
from tests.proxying._data_path import DataPath, problem

setUpModule = use_uvloop
tearDownModule = use_default_loop


async def reset(received, reader, writer):
    """Reset the connection of a request."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    return False


class FullServerTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, path, method="GET"):
        return await path.get(method=method)

    async def test_safe_request_goes_to_another_server(self):
        async with (
            ScriptedBackend(reset) as full,
            ScriptedBackend(reply()) as other,
            DataPath(full, other) as path,
        ):
            path.router.full.add("b1")
            status, _, body = await self.send(path)
            self.assertEqual((status, body), (200, b"ok"))
            self.assertEqual(path.router.reported_full, ["b1"])

    async def test_full_server_is_not_counted_as_failing(self):
        """Guards against servers that are avoided for seconds after a short peak."""
        async with ScriptedBackend(reset) as full, DataPath(full) as path:
            path.router.full.add("b1")
            await self.send(path)
            self.assertEqual([o.failed for _, o in path.router.outcomes], [False])

    async def test_full_server_gets_no_further_connection(self):
        """Guards against checks and resends that add to the load of a full server."""
        async with ScriptedBackend(reset) as full, DataPath(full) as path:
            path.router.full.add("b1")
            await self.send(path)
            self.assertEqual(full.connections, 1)

    async def test_request_on_a_reused_connection_is_not_resent_to_a_full_server(self):
        async def script(received, reader, writer):
            if len(backend.received) == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return None
            return await reset(received, reader, writer)

        async with (
            ScriptedBackend(script) as backend,
            ScriptedBackend(reply()) as other,
            DataPath(backend, other) as path,
        ):
            await self.send(path)
            path.router.full.add("b1")
            status, _, _ = await self.send(path)
            self.assertEqual(status, 200)
            self.assertEqual(backend.connections, 1)
            self.assertEqual(len(other.received), 1)

    async def test_request_that_must_not_run_twice_is_not_claimed_as_not_run(self):
        """Guards against a lost answer that is taken for a refusal of a full server."""
        async with (
            ScriptedBackend(reset) as full,
            ScriptedBackend(reply()) as other,
            DataPath(full, other) as path,
        ):
            path.router.full.add("b1")
            status, document = problem(await self.send(path, "POST"))
            self.assertEqual((status, document["run"]), (502, "unknown"))
            self.assertEqual(len(other.received), 0)

    async def test_reset_of_a_server_with_free_slots_is_a_failure(self):
        async with ScriptedBackend(reset) as backend, DataPath(backend) as path:
            await self.send(path)
            self.assertTrue(path.router.outcomes[0][1].failed)
            self.assertEqual(path.router.reported_full, [])


class FullViewTest(unittest.TestCase):
    def setUp(self):
        self.view = ServerView(build_servers(1)["s0"], 0.0)

    def test_server_is_full_when_as_many_requests_wait_as_run(self):
        self.view.observe_report(LoadReport(11, 6), 1.0)
        self.assertFalse(self.view.is_full(1.0))
        self.view.start("c", 1.0)
        self.assertTrue(self.view.is_full(1.0))

    def test_old_report_does_not_tell_that_a_server_is_full(self):
        self.view.observe_report(LoadReport(20, 6), 1.0)
        self.assertFalse(self.view.is_full(3.0))

    def test_own_requests_tell_it_where_servers_report_nothing(self):
        for _ in range(12):
            self.view.start("c", 1.0)
        self.assertTrue(self.view.is_full(1.0))

    def test_full_server_has_no_free_slot_until_it_reports_one(self):
        self.view.observe_full(1.0)
        self.assertGreater(self.view.estimate_in_flight(1.0), self.view.slots)
        self.view.observe_report(LoadReport(1, 6), 1.1)
        self.assertLess(self.view.estimate_in_flight(1.1), self.view.slots)
