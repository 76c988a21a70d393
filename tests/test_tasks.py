from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from geraniumbend import _exits
from geraniumbend.tasks import spawn_task


async def fail():
    raise KeyError("lost")


class SpawnTaskTest(unittest.IsolatedAsyncioTestCase):
    # An election or subscription that ended by an exception left no line.
    async def test_exception_of_a_task_that_is_kept_is_logged(self):
        with mock.patch.object(_exits, "log_event") as log_event:
            kept = spawn_task(fail())
            await asyncio.wait([kept])
            await asyncio.sleep(0)
        self.assertEqual(log_event.call_args.args, (908,))
        fields = log_event.call_args.kwargs
        self.assertEqual(fields["origin"], "fail")
        self.assertIn("lost", fields["error"])

    async def test_cancelled_task_is_not_logged(self):
        with mock.patch.object(_exits, "log_event") as log_event:
            task = spawn_task(asyncio.sleep(60))
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0)
        log_event.assert_not_called()
