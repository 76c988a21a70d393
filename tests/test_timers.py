from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress

from geraniumbend.timers import ManualTimers


class ManualTimersTest(unittest.IsolatedAsyncioTestCase):
    async def test_periodic_callback_runs_once_a_period(self):
        timers = ManualTimers()
        calls = []
        timers.every(1.0, lambda: calls.append(timers.now()))
        await timers.advance(3.5)
        self.assertEqual(calls, [1001.0, 1002.0, 1003.0])

    async def test_failing_callback_does_not_stop_the_period(self):
        timers = ManualTimers()
        calls = []

        def fail():
            calls.append(1)
            raise RuntimeError("broken")

        timers.every(1.0, fail)
        await timers.advance(2.5)
        self.assertEqual(len(calls), 2)

    async def test_cancelled_subscription_is_not_called(self):
        timers = ManualTimers()
        calls = []
        subscription = timers.after(1.0, lambda: calls.append(1))
        subscription.cancel()
        await timers.advance(2.0)
        self.assertEqual(calls, [])

    async def test_callback_that_suppresses_cancellation_is_not_called_again(self):
        # Otherwise its task would keep running and the process would not exit.
        timers = ManualTimers()
        calls = []

        async def drop_cancellation():
            calls.append(1)
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(60)

        subscription = timers.every(1.0, drop_cancellation)
        await timers.advance(1.0)
        subscription.cancel()
        await timers.advance(3.0)
        self.assertEqual(calls, [1])
