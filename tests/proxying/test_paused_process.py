from __future__ import annotations

import unittest

from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath

setUpModule = use_uvloop
tearDownModule = use_default_loop


class PausedProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a choice among servers that left while the process was paused."""

    async def test_server_is_chosen_after_the_synchronisation(self):
        async with (
            ScriptedBackend(reply(b"old")) as old,
            ScriptedBackend(reply(b"new")) as new,
        ):
            path = DataPath(old, new)

            async def synchronise():
                path.router.views.pop(0)

            path.wait_synchronised = synchronise
            async with path:
                status, _, body = await path.get()
        self.assertEqual((status, body), (200, b"new"))
        self.assertEqual(old.received, [])
