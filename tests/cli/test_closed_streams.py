"""Processes of both roles whose standard streams are closed."""

from __future__ import annotations

import asyncio
import os
import unittest

from tests.cli.test_address_space import LimitedProcesses


class ProcessesWithoutStreams(LimitedProcesses):
    """One control host and one gateway without standard streams."""

    def __init__(self):
        super().__init__({})

    def apply_limits(self):
        os.closerange(0, 3)


class ClosedStreamsTest(unittest.IsolatedAsyncioTestCase):
    # Sockets got the numbers of the closed streams, and libuv ended the process.
    async def test_both_roles_serve_and_stop_without_standard_streams(self):
        asyncio.get_running_loop().set_debug(False)
        processes = ProcessesWithoutStreams()
        try:
            await processes.serve(changes=1, requests=1)
            processes.check_running()
        finally:
            codes = await processes.stop()
        self.assertEqual(codes, [0, 0])
