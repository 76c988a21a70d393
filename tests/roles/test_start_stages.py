from __future__ import annotations

import itertools
import unittest
from unittest import mock

from geraniumbend.roles import _start_stages
from geraniumbend.roles._start_stages import StartStages
from geraniumbend.timers import PROCESS_START_S, ManualTimers


class StartStagesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.logged = []
        patch = mock.patch.object(_start_stages, "log_event", self.record)
        patch.start()
        self.addCleanup(patch.stop)
        self.timers = ManualTimers(PROCESS_START_S)
        self.reached = set()
        self.stages = StartStages("control", self.timers)
        self.stages.add("settings_read")
        for name in ("formed", "committed"):
            self.stages.add(name, lambda n=name: n in self.reached, lambda: {"c1": "x"})

    def record(self, number, **fields):
        self.logged.append((number, fields))

    def list_stages(self):
        return [fields["stage"] for number, fields in self.logged if number == 930]

    def list_waits(self):
        return [fields for number, fields in self.logged if number == 931]

    async def test_each_stage_is_logged_once_when_it_is_reached(self):
        self.stages.start()
        self.stages.reach("settings_read")
        self.stages.reach("settings_read")
        await self.timers.advance(1)
        self.reached = {"formed", "committed"}
        await self.timers.advance(1)
        self.assertEqual(self.list_stages(), ["settings_read", "formed", "committed"])
        self.assertEqual(self.stages.dump()["waits_for"], {})
        self.assertEqual(self.list_waits(), [])

    # A start that never ended left no line that tells what it waited for.
    async def test_wait_is_reported_after_two_seconds_and_then_less_often(self):
        self.stages.start()
        self.addCleanup(self.stages.stop)
        self.stages.reach("settings_read")
        await self.timers.advance(1.9)
        self.assertEqual(self.list_waits(), [])
        await self.timers.advance(98.1)
        waits = self.list_waits()
        self.assertEqual(waits[0]["stage"], "formed")
        self.assertEqual(waits[0]["waits_for"], {"c1": "x"})
        self.assertEqual(waits[0]["not_reached"], ["formed", "committed"])
        gaps = [
            round(after["waited_s"] - before["waited_s"])
            for before, after in itertools.pairwise(waits)
        ]
        self.assertEqual(gaps, [4, 8, 16, 32])
        self.assertEqual(
            self.stages.dump()["waits_for"],
            {"formed": {"c1": "x"}, "committed": {"c1": "x"}},
        )
