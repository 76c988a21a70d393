from __future__ import annotations

import asyncio
import unittest

from bench._checks import ExperimentError, require_accepted, require_success
from bench._cluster import reserve_port
from bench._overhead import summarize
from bench._raw_client import RawClient, Sample


class ExperimentChecksTest(unittest.TestCase):
    def test_summary_of_failed_requests_raises(self):
        # Guards against latencies of error responses that pass for a measurement: with
        # 503 for all 7,020 requests, a latency goal was reported as met.
        failed = [Sample(503, 0.001)] * 10
        succeeded = [Sample(200, 0.001)] * 10
        with self.assertRaises(ExperimentError):
            summarize(failed, succeeded, 1.0)
        with self.assertRaises(ExperimentError):
            summarize(succeeded, failed, 1.0)
        self.assertEqual(summarize(succeeded, succeeded, 1.0)["failed"], 0)

    def test_too_few_samples_raise(self):
        with self.assertRaises(ExperimentError):
            require_success([200] * 90, 100)
        require_success([200] * 95, 100)

    def test_failures_beyond_the_allowed_number_raise(self):
        require_success([200, 503], 2, allowed_failures=1)
        with self.assertRaises(ExperimentError):
            require_success([503, 503], 2, allowed_failures=1)

    def test_refused_announcement_raises(self):
        require_accepted(200, "")
        with self.assertRaises(ExperimentError):
            require_accepted(400, "incarnation is missing")


class FailingServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_summary_raises_when_the_server_refuses_every_request(self):
        async def refuse(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")

        port = reserve_port()
        server = await asyncio.start_server(refuse, "127.0.0.1", port)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = RawClient(f"127.0.0.1:{port}")
        samples = [await client.measure("/") for _ in range(3)]
        client.close()
        with self.assertRaises(ExperimentError):
            summarize(samples, samples, 1.0)
