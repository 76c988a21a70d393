from __future__ import annotations

import asyncio
import time
import unittest
from collections import Counter

from geraniumbend.errors import RefusedError
from geraniumbend.model import RetrySettings
from geraniumbend.proxying import StandardDialect
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    send_raw,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, make_rule, parse, problem

setUpModule = use_uvloop
tearDownModule = use_default_loop

SHED = b"HTTP/1.1 503 S\r\nContent-Length: 0\r\nRequest-Not-Run: 1\r\n\r\n"
FAILED = b"HTTP/1.1 500 F\r\nContent-Length: 3\r\n\r\nbad"


async def drop(received, reader, writer):
    return False


async def hang(received, reader, writer):
    await reader.read()
    return False


class ForwardTest(unittest.IsolatedAsyncioTestCase):
    async def test_end_to_end_fields_are_forwarded_and_hop_by_hop_fields_are_not(self):
        raw = (
            b"HTTP/1.1 200 Fine\r\nContent-Length: 2\r\nX-Own: \xe9\r\n"
            b"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nSet-Cookie: a=b\r\n"
            b"endpoint-load-metrics: TEXT named_metrics.in_flight=3\r\n\r\nok"
        )
        sent = ("X-Own: 1", "Connection: close, X-Drop", "X-Drop: 1", "TE: trailers")
        async with ScriptedBackend(send_raw(raw)) as backend, DataPath(backend) as path:
            lines = "\r\n".join(["GET /p?q=%20 HTTP/1.1", "Host: h", *sent])
            lines += "\r\nX-Forwarded-For: 9.9.9.9\r\nX-Request-Id: id-1\r\n\r\n"
            response = await path.exchange(lines.encode())
            self.assertIn(b"X-Own: \xe9\r\n", response)
            self.assertIn(b"Set-Cookie: a=b\r\n", response)
            self.assertIn(b"X-Request-Id: id-1\r\n", response)
            for absent in (b"X-Hop", b"Keep-Alive", b"endpoint-load-metrics"):
                self.assertNotIn(absent, response)
            head = backend.received[0].head
            self.assertTrue(head.startswith(b"GET /p?q=%20 HTTP/1.1\r\nHost: h\r\n"))
            self.assertIn(b"X-Own: 1\r\n", head)
            self.assertIn(b"X-Forwarded-For: 9.9.9.9, 127.0.0.1\r\n", head)
            self.assertIn(b"X-Forwarded-Proto: http\r\n", head)
            self.assertIn(b"X-Request-Id: id-1\r\n", head)
            for absent in (b"X-Drop", b"TE:", b"Connection:", b"Content-Length"):
                self.assertNotIn(absent, head)
            self.assertEqual(path.router.views[0].report.in_flight, 3)

    async def test_cookies_redirects_and_encoded_bodies_are_forwarded_unchanged(self):
        raw = (
            b"HTTP/1.1 302 Found\r\nLocation: /else\r\nSet-Cookie: s=1\r\n"
            b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nnope"
        )
        async with ScriptedBackend(send_raw(raw)) as backend, DataPath(backend) as path:
            status, headers, body = await path.get()
            self.assertEqual((status, headers["location"]), (302, "/else"))
            self.assertEqual((headers["content-encoding"], body), ("gzip", b"nope"))
            await path.get()
            self.assertEqual(len(backend.received), 2)
            self.assertNotIn(b"Cookie", backend.received[1].head)
            self.assertNotIn(b"User-Agent", backend.received[1].head)
            self.assertNotIn(b"Accept", backend.received[1].head)

    async def test_bodies_arrive_complete_with_either_framing(self):
        for size in (0, 5, 300_000):
            body = b"x" * size
            async with (
                ScriptedBackend(reply(body)) as backend,
                DataPath(backend) as path,
            ):
                response = await path.get(method="POST", body=body)
                self.assertEqual((response[0], len(response[2])), (200, size))
                chunked = b"%x\r\n%b\r\n" % (size, body) if size else b""
                raw = b"PUT / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                raw += b"Transfer-Encoding: chunked\r\n\r\n" + chunked
                response = parse(await path.exchange(raw + b"0\r\n\r\n"))
                self.assertEqual((response[0], len(response[2])), (200, size))
                for received in backend.received:
                    self.assertEqual(len(received.body), size)

    async def test_head_and_bodiless_responses_keep_their_fields(self):
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
        async with ScriptedBackend(send_raw(raw)) as backend, DataPath(backend) as path:
            status, headers, body = await path.get(method="HEAD")
            self.assertEqual(
                (status, headers["content-length"], body), (200, "99", b"")
            )
        raw = b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n"
        async with ScriptedBackend(send_raw(raw)) as backend, DataPath(backend) as path:
            status, headers, body = await path.get()
            self.assertEqual((status, headers["etag"], body), (304, "x", b""))
            self.assertNotIn("transfer-encoding", headers)

    async def test_truncated_response_does_not_look_complete(self):
        # Chunked and with a length; an HTTP/1.0 caller gets a chunked response as one
        # that ends with the connection.
        for head in (
            b"Transfer-Encoding: chunked\r\n\r\n4\r\n",
            b"Content-Length: 9\r\n\r\n",
        ):
            raw = b"HTTP/1.1 200 OK\r\n" + head + b"part"

            async def script(received, reader, writer, raw=raw):
                writer.write(raw)
                await writer.drain()
                await asyncio.sleep(0.05)
                return False

            async with ScriptedBackend(script) as backend, DataPath(backend) as path:
                for version in (b"1.0", b"1.1"):
                    request = b"GET / HTTP/%b\r\nHost: h\r\n\r\n" % version
                    with self.assertRaises(ConnectionResetError):
                        await path.exchange(request)

    async def test_line_breaks_in_response_fields_are_not_forwarded(self):
        raw = b"HTTP/1.1 200 OK\r\nX: a\rSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"
        async with ScriptedBackend(send_raw(raw)) as backend, DataPath(backend) as path:
            status, document = problem(await path.get(method="POST"))
            self.assertEqual((status, document["run"]), (502, "unknown"))

    async def test_no_rule_is_404_and_bad_timeout_is_400(self):
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            for value in ("x", "-1", "nan", "inf", "0"):
                response = await path.get("/", f"Request-Timeout: {value}")
                self.assertEqual(problem(response)[0], 400)
            path.configuration.current = path.configuration.current._replace(rules={})
            self.assertEqual(problem(await path.get())[0], 404)
            self.assertEqual(backend.received, [])

    async def test_deadline_is_forwarded_and_ends_the_request(self):
        async with ScriptedBackend(hang) as backend, DataPath(backend) as path:
            started = time.monotonic()
            response = await path.get("/", "Request-Timeout: 0.2")
            status, document = problem(response)
            self.assertEqual((status, document["run"]), (504, "unknown"))
            self.assertLess(time.monotonic() - started, 1)
            self.assertRegex(
                backend.received[0].head, rb"Request-Timeout: 0\.(2|1\d\d|200)"
            )

    async def test_early_response_to_an_unfinished_upload_is_delivered(self):
        raw = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"

        async def accept(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(raw)
            while await reader.read(65536):
                pass
            writer.close()

        async with ScriptedBackend(reply()) as backend:
            backend._server.close()
            server = await asyncio.start_server(accept, "127.0.0.1", backend.port)
            async with DataPath(backend) as path:
                head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"
                reader, writer = await path.connect()
                writer.write(head + b"x" * 100_000)
                response = await asyncio.wait_for(reader.readuntil(b"big"), 2)
                self.assertEqual(parse(response)[0], 413)
                writer.close()
            server.close()


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, first, method="GET", rule=None, calls=2, budget=100):
        """Return the response to a request whose first server runs the script `first`.

        The second server responds normally. The servers have to get `calls` requests in
        total, and the router has to learn the outcome of each attempt.
        """
        async with (
            ScriptedBackend(first) as one,
            ScriptedBackend(reply()) as two,
            DataPath(one, two, rule=rule or make_rule()) as path,
        ):
            path.budget.left = budget
            response = await path.get(method=method, body=b"x" * (method == "POST"))
            self.assertEqual(len(one.received) + len(two.received), calls)
            self.assertEqual(len(path.router.outcomes), path.router.started)
            self.losses = path.quarantine.losses
            return response

    async def test_unreachable_servers_neither_count_nor_spend_the_budget(self):
        dead = [ScriptedBackend(reply()) for _ in range(3)]
        for backend in dead:
            await backend.__aenter__()
            await backend.__aexit__()
        async with (
            ScriptedBackend(reply()) as alive,
            DataPath(*dead, alive, rule=make_rule()) as path,
        ):
            path.budget.left = 0
            response = await path.get(method="POST", body=b"x")
            self.assertEqual((response[0], len(alive.received)), (200, 1))

    async def test_refusal_does_not_show_the_address_of_a_server(self):
        backend = ScriptedBackend(reply())
        await backend.__aenter__()
        await backend.__aexit__()
        async with DataPath(backend, rule=make_rule()) as path:
            status, document = problem(await path.get())
        self.assertEqual((status, document["run"]), (503, "not_run"))
        self.assertNotIn(str(backend.port), document["detail"])

    async def test_safe_request_is_retried_on_another_server(self):
        for first in (drop, send_raw(FAILED), send_raw(SHED)):
            self.assertEqual((await self.check(first))[0], 200)

    async def test_unsafe_request_that_may_have_run_is_not_retried(self):
        status, document = problem(await self.check(drop, "POST", calls=1))
        self.assertEqual((status, document["run"]), (502, "unknown"))
        response = await self.check(send_raw(FAILED), "POST", calls=1)
        self.assertEqual((response[0], response[2]), (500, b"bad"))

    async def test_unsafe_request_that_was_shed_is_retried(self):
        self.assertEqual((await self.check(send_raw(SHED), "POST"))[0], 200)

    async def test_retries_are_limited_by_the_budget_and_the_rule(self):
        response = await self.check(send_raw(FAILED), calls=1, budget=0)
        self.assertEqual(response[2], b"bad")
        rule = make_rule(retry=RetrySettings(1, False))
        response = await self.check(send_raw(SHED), "POST", rule=rule, calls=1)
        status, document = problem(response)
        self.assertEqual((status, document["run"]), (503, "not_run"))
        self.assertIn("retry-after", response[1])

    async def test_refusal_after_an_attempt_that_may_have_run_says_unknown(self):
        # The first server may have run the request; the second one is unreachable.
        async with ScriptedBackend(drop) as one, ScriptedBackend(reply()) as two:
            two.stop_listening()
            async with DataPath(one, two, rule=make_rule()) as path:
                document = problem(await path.get())[1]
                self.assertEqual(document["run"], "unknown")

    async def test_unreachable_servers_are_refused_as_not_run(self):
        async with ScriptedBackend(drop) as one, ScriptedBackend(reply()) as two:
            one.stop_listening()
            two.stop_listening()
            async with DataPath(one, two, rule=make_rule()) as path:
                response = await path.get(method="POST", body=b"x")
                status, document = problem(response)
                self.assertEqual((status, document["run"]), (503, "not_run"))

    async def test_lost_server_is_reported_before_the_next_attempt(self):
        async def crash(received, reader, writer):
            one.stop_listening()
            return False

        async with (
            ScriptedBackend(crash) as one,
            ScriptedBackend(reply()) as two,
            DataPath(one, two, rule=make_rule()) as path,
        ):
            self.assertEqual((await path.get())[0], 200)
            self.assertEqual([loss[1] for loss in path.quarantine.losses], ["b1"])
            path.quarantine.blocked = {path.quarantine.losses[0][0]}
            document = problem(await path.get())[1]
            self.assertEqual(document["run"], "not_run")

    async def test_refusal_of_admission_is_not_run_with_retry_after(self):
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            path.admission.refuse = True
            response = await path.get("/", "Sheet-Open: s1", "Authorization: me")
            status, document = problem(response)
            self.assertEqual((status, document["run"]), (503, "not_run"))
            self.assertEqual(response[1]["retry-after"], "1")
            request = path.admission.requests[0]
            self.assertEqual((request.sheet, request.caller), ("s1", "me"))
            self.assertEqual(backend.received, [])


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.slow = False

        async def script(received, reader, writer):
            if self.slow:
                await reader.read()
                return False
            await asyncio.sleep(0.01)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")

        self.one = ScriptedBackend(script)
        self.two = ScriptedBackend(reply(b"two"))
        await self.one.__aenter__()
        await self.two.__aenter__()
        rule = make_rule(retry=RetrySettings(2, True))
        self.path = DataPath(self.one, self.two, rule=rule)
        await self.path.__aenter__()
        for _ in range(32):
            self.assertEqual((await self.path.get())[2], b"one")

    async def asyncTearDown(self):
        await self.path.__aexit__()
        await self.one.__aexit__()
        await self.two.__aexit__()

    async def test_hedge_responds_for_a_slow_attempt_and_the_slow_one_is_cancelled(
        self,
    ):
        self.slow = True
        self.one.closed.clear()
        started = time.monotonic()
        self.assertEqual((await self.path.get())[2], b"two")
        self.assertLess(time.monotonic() - started, 0.2)
        await asyncio.wait_for(self.one.closed.wait(), 1)
        self.assertEqual(len(self.path.router.outcomes), self.path.router.started)
        self.assertEqual(self.path.quarantine.left, self.path.quarantine.entered)
        self.assertEqual(self.path.admission.released, 33)

    async def test_hedge_needs_budget_and_a_safe_method(self):
        self.slow = True
        response = await self.path.get("/", "Request-Timeout: 0.2", method="POST")
        self.assertEqual(response[0], 504)
        self.path.budget.left = 0
        response = await self.path.get("/", "Request-Timeout: 0.2")
        self.assertEqual(response[0], 504)
        self.assertEqual(self.two.received, [])

    async def test_hedge_needs_a_free_slot_on_a_lightly_loaded_host(self):
        """Guards against hedges under overload, which slow all servers further."""
        self.slow = True
        self.path.router.has_free_slot = False
        response = await self.path.get("/", "Request-Timeout: 0.2")
        self.assertEqual(response[0], 504)
        self.assertEqual(self.two.received, [])
        self.assertEqual(self.path.budget.left, 100)

    async def test_hedge_without_budget_sends_no_probes(self):
        """Guards against probes whose result no attempt can use."""
        self.slow = True
        self.path.budget.left = 0
        self.path.router.probes = 0
        await self.path.get("/", "Request-Timeout: 0.2")
        self.assertEqual(self.path.router.probes, 1)

    async def test_caller_that_disconnects_cancels_both_attempts(self):
        self.slow = True
        self.two.script = hang
        _, writer = await self.path.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not self.two.received:
            await asyncio.sleep(0.01)
        self.one.closed.clear()
        self.two.closed.clear()
        writer.close()
        await asyncio.wait_for(self.one.closed.wait(), 1)
        await asyncio.wait_for(self.two.closed.wait(), 1)
        self.assertEqual(len(self.path.router.outcomes), self.path.router.started)
        self.assertEqual(self.path.quarantine.left, self.path.quarantine.entered)


class StatusOnlyDialect(StandardDialect):
    """Dialect whose callers learn only from the status whether a request has run."""

    not_run_statuses = frozenset((408, 421, 429, 503))


# Time that a response needs by the router of these tests.
RESPONSE_S = 0.015


class MaxWaitTest(unittest.IsolatedAsyncioTestCase):
    async def get_max_wait(self, **fields):
        """Return the longest time to wait for a free slot, in seconds."""
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        rule = make_rule(**fields)
        async with (
            ScriptedBackend(send_raw(raw)) as backend,
            DataPath(backend, rule=rule) as path,
        ):
            await path.get()
            return path.router.max_wait_s[0]

    async def test_wait_for_a_free_slot_leaves_time_for_the_response(self):
        """Guards against requests that wait so long that their responses come late."""
        max_wait_s = await self.get_max_wait(deadline_s=0.3)
        self.assertGreater(max_wait_s, 0.2)
        self.assertLessEqual(max_wait_s, 0.3 - RESPONSE_S)

    async def test_wait_for_a_free_slot_does_not_depend_on_the_objective(self):
        """Guards against refusals of callers that have time, for a short objective."""
        for objective_s in (0.0, 0.012, 0.3, 3.0):
            max_wait_s = await self.get_max_wait(
                deadline_s=1.0, objective_s=objective_s
            )
            self.assertAlmostEqual(max_wait_s, 1.0 - RESPONSE_S, delta=0.1)

    async def test_request_without_time_for_a_response_does_not_wait(self):
        self.assertEqual(await self.get_max_wait(deadline_s=0.012), 0.0)

    async def test_repeated_attempt_waits_as_the_first_one(self):
        """Guards against a refusal by a server that costs a caller its place."""
        shed = b"HTTP/1.1 503 Full\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        async with (
            ScriptedBackend(send_raw(shed)) as first,
            ScriptedBackend(reply()) as other,
            DataPath(first, other, rule=make_rule()) as path,
        ):
            self.assertEqual((await path.get())[0], 200)
        first_wait_s, second_wait_s = path.router.max_wait_s
        self.assertAlmostEqual(first_wait_s, second_wait_s, delta=0.1)
        first_turn, second_turn = path.router.turns
        self.assertEqual(first_turn, second_turn)

    async def test_return_is_told_within_what_callers_honour(self):
        """Guards against refused callers that all return after the longest delay."""

        class ImpatientDialect(StandardDialect):
            honoured_share = 1 / 3

            def write_retry_after(self, delay_s):
                return f"{delay_s:.3f}"

        async def refuse(*arguments, **options):
            raise RefusedError("full", kind="saturated", retry_after_s=60.0)

        delays = []
        async with (
            ScriptedBackend(reply()) as backend,
            DataPath(backend, rule=make_rule(), dialect=ImpatientDialect()) as path,
        ):
            path.router.probe_candidates = refuse
            for _ in range(20):
                status, headers, _ = await path.get()
                self.assertEqual(status, 503)
                delays.append(float(headers["retry-after"]))
        # The deadline of these requests is 2 s.
        self.assertLessEqual(max(delays), 2.0 / 3)
        self.assertGreater(min(delays), 0.25)
        self.assertGreater(len(set(delays)), 10)

    async def test_caller_that_leaves_during_the_wait_of_a_retry_holds_no_slot(self):
        """Guards against attempts that are never ended, until a gateway is full."""
        failed = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
        async with (
            ScriptedBackend(send_raw(failed)) as first,
            ScriptedBackend(reply()) as other,
            DataPath(first, other, rule=make_rule()) as path,
        ):
            waits = asyncio.Event()

            async def wait(*arguments, **options):
                if path.router.started:
                    waits.set()
                    await asyncio.sleep(60)

            path.router.probe_candidates = wait
            _, writer = await path.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(5):
                await waits.wait()
                writer.close()
                while len(path.router.outcomes) < path.router.started:
                    await asyncio.sleep(0.01)
        self.assertEqual(path.router.started, 1)


class RunStateTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_may_have_run_gets_no_not_run_status(self):
        async def run_and_drop(received, reader, writer):
            return False

        shed = send_raw(
            b"HTTP/1.1 503 S\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        rule = make_rule(retry=RetrySettings(attempts=2, hedge=False))
        async with (
            ScriptedBackend(run_and_drop) as one,
            ScriptedBackend(shed) as two,
            DataPath(one, two, rule=rule, dialect=StatusOnlyDialect()) as path,
        ):
            status, document = problem(await path.get())
            self.assertEqual((status, document["run"]), (502, "unknown"))

    async def test_shed_hedge_does_not_cancel_the_first_attempt(self):
        async def respond_late(received, reader, writer):
            await asyncio.sleep(0.4 if self.slow else 0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")

        shed = send_raw(
            b"HTTP/1.1 503 S\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.slow = False
        rule = make_rule(retry=RetrySettings(attempts=2, hedge=True))
        async with (
            ScriptedBackend(respond_late) as one,
            ScriptedBackend(shed) as two,
            DataPath(one, two, rule=rule) as path,
        ):
            for _ in range(32):
                await path.get()
            self.slow = True
            self.assertEqual((await path.get())[2], b"one")
            self.assertEqual(len(two.received), 1)


class ResendTest(unittest.IsolatedAsyncioTestCase):
    """A request whose reused connection went silent while new connections work."""

    async def get_status(self, counts_resends):
        uses = Counter()

        async def script(received, reader, writer):
            uses[received.connection] += 1
            if uses[received.connection] > 1:
                await reader.read()
                return False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        rule = make_rule(retry=RetrySettings(attempts=1, hedge=False), deadline_s=4.0)
        async with (
            ScriptedBackend(script) as backend,
            DataPath(backend, rule=rule) as p,
        ):
            await p.get()
            p.budget.counts_resends = counts_resends
            p.budget.left = 0
            return (await p.get())[0]

    async def test_resend_ignores_the_retry_budget_unless_it_counts_as_a_retry(self):
        # Half of all connections may go silent at once; no retry budget covers as many.
        self.assertEqual(await self.get_status(counts_resends=False), 200)
        self.assertEqual(await self.get_status(counts_resends=True), 504)
