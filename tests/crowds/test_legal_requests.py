"""Requests inside the limits, in calm and beside each other, against real processes."""

from __future__ import annotations

import asyncio

from tests.crowds import _callers as callers
from tests.crowds._case import CrowdCase

ANSWER_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 64 * 1024 * 1024
# Callers that upload at the same time, what each sends, and how fast.
UPLOADERS = 60
UPLOAD_BYTES = 512 * 1024
PIECE_BYTES = 16 * 1024
PIECE_PAUSE_S = 0.25


async def read_status(reader):
    """Return the status of a response that has arrived whole; 0 if it has not."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.partition(b":")[2])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return 0
    return int(head.split()[1])


class LegalRequestsTest(CrowdCase):
    async def request(self, *pieces, pause_s=0.0):
        """Send one request on a connection of its own and return its status."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.hosts.front)
            # A response may come before the end of the body.
            reading = asyncio.ensure_future(read_status(reader))
            try:
                for piece in pieces:
                    if reading.done():
                        break
                    writer.write(piece)
                    await writer.drain()
                    if pause_s:
                        await asyncio.sleep(pause_s)
            except OSError:
                pass
            status = await reading
            writer.close()
            return status

    async def test_very_many_short_fields(self):
        """Guards against a limit on the number of fields below that on their bytes."""
        for count in (101, 500, 2000):
            head = callers.write_head(b"GET", b"/p/x", *([b"a: b"] * count))
            self.assertLess(len(head), MAX_HEADER_BYTES)
            self.assertEqual(await self.request(head), 200, count)

    async def test_very_many_trailers(self):
        """Guards against a limit on the number of trailers."""
        head = callers.write_head(b"POST", b"/q/x", b"Transfer-Encoding: chunked")
        body = b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 1000 + b"\r\n"
        self.assertEqual(await self.request(head + body), 200)

    async def test_one_long_field_and_one_long_target(self):
        """Guards against limits on a field or the target below that on the head."""
        head = callers.write_head(b"GET", b"/p/x", b"X: " + b"y" * 16_000)
        self.assertEqual(await self.request(head), 200)
        head = callers.write_head(b"GET", b"/p/" + b"y" * 15_000)
        self.assertEqual(await self.request(head), 200)

    async def test_longest_body_in_one_piece(self):
        """Guards against a window or an account that is too small for one body."""
        length = b"Content-Length: %d" % MAX_BODY_BYTES
        head = callers.write_head(b"POST", b"/q/x", length)
        pieces = [b"x" * 65_536] * (MAX_BODY_BYTES // 65_536)
        self.assertEqual(await self.request(head, *pieces), 200)

    async def test_long_body_in_small_chunks(self):
        """Guards against a body whose chunks cost more than its deadline allows."""
        head = callers.write_head(b"POST", b"/q/x", b"Transfer-Encoding: chunked")
        pieces = [(b"400\r\n" + b"x" * 1024 + b"\r\n") * 64] * 256
        self.assertEqual(await self.request(head, *pieces, b"0\r\n\r\n"), 200)

    async def test_uploads_at_the_same_time_are_answered(self):
        """Guards against resets of callers inside the limits that upload slowly.

        Each of them is served, or refused with a promise that nothing has run.
        """
        length = b"Content-Length: %d" % UPLOAD_BYTES
        head = callers.write_head(b"POST", b"/q/x", length)
        pieces = [b"x" * PIECE_BYTES] * (UPLOAD_BYTES // PIECE_BYTES)
        statuses = await asyncio.gather(
            *(
                self.request(head, *pieces, pause_s=PIECE_PAUSE_S)
                for _ in range(UPLOADERS)
            )
        )
        self.assertLessEqual(set(statuses), {200, 503}, statuses)
        await self.check()
