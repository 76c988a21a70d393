"""Responses that callers do not read, on a host of many descriptors.

Each test checks the life of both processes, resident memory, resident memory with the
unread bytes, descriptors and one ordinary request for each address. Crowds and bounds
are those of the table in docs/design/caller-limits.md.
"""

from __future__ import annotations

from tests.crowds import _callers as callers
from tests.crowds._case import CrowdCase

# Bytes that a slow caller reads at once, the pause before the next ones, and how long
# it goes on, in seconds.
SLOW_READ_BYTES = 4096
SLOW_READ_PAUSE_S = 0.3
SLOW_READING_S = 4.0


class UnreadResponsesTest(CrowdCase):
    """Guards against responses that wait in the process and in its receive buffers."""

    gateway_mb = 100
    control_mb = 100
    max_fds = 2000

    async def test_pipelined_downloads_that_are_not_read(self):
        targets = [(self.hosts.front, b"/r/x")]
        await self.crowd.gather(targets, 1200, callers.send_pipelined_downloads)
        await self.check()

    async def test_pipelined_downloads_after_the_end_of_sending(self):
        targets = [(self.hosts.front, b"/r/x")]
        build = callers.send_pipelined_downloads
        await self.crowd.gather(targets, 1200, build, ends=True)
        await self.check()

    async def test_pipelined_downloads_that_are_read_slowly(self):
        targets = [(self.hosts.front, b"/r/x")]
        await self.crowd.gather(targets, 600, callers.send_pipelined_downloads)
        await self.crowd.read(SLOW_READ_BYTES, SLOW_READ_PAUSE_S, SLOW_READING_S)
        await self.check()
