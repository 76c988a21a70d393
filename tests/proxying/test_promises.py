"""Statuses that callers take for the promise that a request has not run.

The rows are those of the table in docs/design/statuses.md.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.model import OrderSettings
from geraniumbend.orders import Claim
from geraniumbend.proxying import StandardDialect
from geraniumbend.proxying._order_executor import StoredResponse
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    send_raw,
    use_default_loop,
    use_uvloop,
)
from tests.fuzzing import fuzz
from tests.proxying._data_path import DataPath, make_rule, problem
from tests.proxying.test_orders import FakeJournal

setUpModule = use_uvloop
tearDownModule = use_default_loop

PROMISES = (408, 421, 429, 503)
STATUSES = (200, 201, 301, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504)
ORDER = {"rule": make_rule(order=OrderSettings()), "method": "POST"}
KEYLESS = {"rule": make_rule(order=OrderSettings(keyless="once")), "method": "POST"}
KINDS = {
    "read": {"rule": make_rule(), "method": "GET"},
    "write": {"rule": make_rule(), "method": "POST"},
    "repeatable write": {"rule": make_rule(idempotent=True), "method": "POST"},
    "read that must not be repeated": {
        "rule": make_rule(idempotent=False),
        "method": "GET",
    },
    "order": ORDER,
    "order without a key": KEYLESS,
}
REPEATABLE = ("read", "repeatable write")
KEY = "Idempotency-Key: k1"
BODY = b"failed"
ENDLESS = b"HTTP/1.1 503 Status\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


class StatusOnlyDialect(StandardDialect):
    """Dialect whose callers learn only from the status whether a request has run."""

    not_run_statuses = frozenset(PROMISES)


def write_response(status, fields=b"", body=BODY):
    head = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n%b\r\n"
    return head % (status, len(body), fields) + body


async def ask(kind, response, servers=1, dialect=None, journal=None, times=1):
    """Return the responses to one caller, and the requests that servers received."""
    options = KINDS[kind]
    backends = [ScriptedBackend(send_raw(response)) for _ in range(servers)]
    lines = () if kind == "order without a key" else (KEY,)
    async with asyncio.timeout(10):
        for backend in backends:
            await backend.__aenter__()
        async with DataPath(
            *backends,
            rule=options["rule"],
            orders=journal or FakeJournal(),
            dialect=dialect or StatusOnlyDialect(),
        ) as path:
            method, body = options["method"], b"x" * (options["method"] == "POST")
            responses = [
                await path.get("/", *lines, method=method, body=body)
                for _ in range(times)
            ]
        for backend in backends:
            await backend.__aexit__()
    return responses, sum(len(backend.received) for backend in backends)


class PromiseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that send an order again though it has run."""

    async def check_replaced(self, kind, status):
        (response,), received = await ask(kind, write_response(status))
        got, document = problem(response)
        self.assertEqual((got, document["run"], received), (502, "unknown", 1))
        self.assertNotIn("retry-after", response[1])

    async def test_failure_of_a_request_that_may_have_run_promises_nothing(self):
        for kind in KINDS:
            for status in PROMISES:
                if kind not in REPEATABLE:
                    with self.subTest(kind=kind, status=status):
                        await self.check_replaced(kind, status)

    async def test_failure_of_a_repeatable_request_is_passed_on(self):
        """Guards against another status than the server's beside its signature."""
        fields = b"Signature: s\r\n"
        for kind in REPEATABLE:
            for status in PROMISES:
                with self.subTest(kind=kind, status=status):
                    response = write_response(status, fields)
                    ((got, headers, body),), _ = await ask(kind, response)
                    self.assertEqual((got, headers["signature"]), (status, "s"))
                    self.assertEqual(body, BODY)

    async def test_other_statuses_are_passed_on(self):
        for kind in KINDS:
            for status in sorted(set(STATUSES) - set(PROMISES)):
                with self.subTest(kind=kind, status=status):
                    ((got, _, body),), _ = await ask(kind, write_response(status))
                    self.assertEqual((got, body), (status, BODY))

    async def test_promise_of_a_server_is_kept(self):
        """Guards against a caller that cannot send again what was not run."""
        response = write_response(503, b"Request-Not-Run: 1\r\n")
        for kind in KINDS:
            with self.subTest(kind):
                (answer,), _ = await ask(kind, response)
                got, document = problem(answer)
                self.assertEqual((got, document["run"]), (503, "not_run"))

    async def test_native_callers_get_the_server_s_status(self):
        """Guards against statuses that are changed though they promise nothing."""
        for kind in KINDS:
            for status in PROMISES:
                with self.subTest(kind=kind, status=status):
                    ((got, *_),), _ = await ask(
                        kind, write_response(status), dialect=StandardDialect()
                    )
                    self.assertEqual(got, status)

    async def test_retry_of_an_order_that_failed_promises_nothing(self):
        """Guards against a stored failure that is repeated as a promise."""
        journal = FakeJournal()
        responses, received = await ask(
            "order", write_response(503), journal=journal, times=2
        )
        runs = [
            (status, problem(response)[1]["run"])
            for response in responses
            for status in (response[0],)
        ]
        self.assertEqual(runs, [(502, "unknown"), (409, "unknown")])
        self.assertEqual((received, journal.ends), (1, ["unknown"]))

    async def test_failure_that_an_earlier_version_has_stored_promises_nothing(self):
        """Guards against a promise that outlives an update in the order journal."""
        stored = StoredResponse(503, "Status", [], BODY)

        class CompletedJournal(FakeJournal):
            async def claim(self, key, *unused):
                return Claim("completed", key, "t", msgspec.msgpack.encode(stored))

        (response,), received = await ask(
            "order", write_response(200), journal=CompletedJournal()
        )
        got, document = problem(response)
        self.assertEqual((got, document["run"], received), (502, "unknown", 0))

    async def test_body_of_a_failure_is_not_read_to_its_end(self):
        """Guards against a refusal that waits for a response without an end."""
        for kind in ("write", "order"):
            with self.subTest(kind):
                async with asyncio.timeout(1.0):
                    (response,), _ = await ask(kind, ENDLESS)
                self.assertEqual(problem(response)[0], 502)

    async def test_attempt_ends_with_the_refusal(self):
        """Guards against slots and connections that such a failure keeps."""
        async with (
            ScriptedBackend(send_raw(ENDLESS)) as backend,
            DataPath(backend, rule=make_rule(), dialect=StatusOnlyDialect()) as path,
        ):
            await path.get(method="POST")
            self.assertEqual(len(path.router.outcomes), path.router.started)
            self.assertEqual(path.admission.released, 1)
            self.assertEqual(path.quarantine.left, path.quarantine.entered)
            await asyncio.wait_for(backend.closed.wait(), 1)


class AnyFailureTest(unittest.TestCase):
    def test_no_status_promises_what_is_false(self):
        """Guards against combinations that the table leaves out."""
        check_any_response()


@fuzz(40)
@given(
    kind=st.sampled_from(sorted(KINDS)),
    status=st.sampled_from(STATUSES) | st.integers(200, 599),
    servers=st.integers(1, 3),
    promise=st.sampled_from(
        (b"", b"Request-Not-Run: 1\r\n", b"Request-Not-Run: 0\r\n")
    ),
    fields=st.lists(
        st.sampled_from(
            (b"Retry-After: 1\r\n", b"X-Request-Id: other\r\n", b"A: b\r\n")
        ),
        max_size=2,
        unique=True,
    ),
)
def check_any_response(kind, status, servers, promise, fields):
    bodiless = status in (204, 304)
    response = write_response(
        status, promise + b"".join(fields), b"" if bodiless else BODY
    )
    (answer,), received = asyncio.run(ask(kind, response, servers))
    was_refused = status == 503 and promise == b"Request-Not-Run: 1\r\n"
    if was_refused and b"X-Request-Id: other\r\n" not in fields:
        # Not run anywhere, so any status may be given.
        return
    if kind not in REPEATABLE:
        assert answer[0] not in PROMISES, answer
        assert received == 1, received
