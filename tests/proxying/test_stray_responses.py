"""Late copies of responses that arrive on a connection that is in use again."""

from __future__ import annotations

import unittest

from geraniumbend.platform import PlatformDialect
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath

setUpModule = use_uvloop
tearDownModule = use_default_loop


def build_answer(request_id, status="200 OK", body=b"own", fields=b""):
    lines = b"Geraniumbend-Request-Id: %b\r\n" % request_id if request_id else b""
    return (
        b"HTTP/1.1 %b\r\n%bGeraniumbend-Response-Signature: s\r\n%b"
        b"Content-Length: %d\r\n\r\n%b"
        % (status.encode(), lines, fields, len(body), body)
    )


def build_request(method, request_id):
    return (
        f"{method} / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n"
        f"Geraniumbend-Request-Id: {request_id}\r\n\r\n"
    ).encode()


class StrayResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a caller that gets the answer to somebody else's request."""

    async def send(self, stray, method):
        """Send two requests; `stray` precedes the answer to the second one."""

        async def script(received, reader, writer):
            request_id = received.head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            if request_id == b"second" and received.connection == 1:
                writer.write(stray)
            writer.write(build_answer(request_id, body=request_id))

        async with (
            ScriptedBackend(script) as backend,
            DataPath(backend, dialect=PlatformDialect()) as path,
        ):
            path.budget.left = 0
            answers = []
            for request_id in ("first", "second"):
                answers.append(await path.exchange(build_request(method, request_id)))
            return answers, backend.received

    async def check(self, stray, method="POST"):
        (first, second), received = await self.send(stray, method)
        self.assertIn(b"200", first.split(b"\r\n")[0])
        self.assertNotIn(b"first", second)
        # The request has run, so no status may say that it has not.
        self.assertIn(b" 502 ", second.split(b"\r\n")[0])
        self.assertEqual(len(received), 2)

    async def test_copy_of_the_last_answer_does_not_reach_the_next_caller(self):
        for method in ("POST", "GET"):
            await self.check(build_answer(b"first", body=b"first"), method)

    async def test_copy_that_says_not_run_does_not_refuse_a_request_that_ran(self):
        not_run = b"Geraniumbend-Not-Executed: 1\r\n"
        unavailable = "503 Service Unavailable"
        await self.check(build_answer(b"first", unavailable, fields=not_run))

    async def test_copy_of_an_answer_to_a_health_check_is_no_answer(self):
        """Guards against an answer without an id that counts as the request's own."""
        instance = b"Geraniumbend-Instance-Id: b1\r\n"
        not_run = instance + b"Geraniumbend-Not-Executed: 1\r\n"
        for status, fields in (
            ("200 OK", instance),
            ("503 Service Unavailable", instance),
            ("503 Service Unavailable", not_run),
            ("421 Misdirected Request", not_run),
        ):
            await self.check(build_answer(None, status, fields=fields))

    async def test_copy_of_a_failure_is_no_answer(self):
        await self.check(build_answer(b"first", "500 Internal Server Error"))
