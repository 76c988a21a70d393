"""Level of admission at a crest: demand above what the servers can take at once."""

from __future__ import annotations

import unittest

from geraniumbend.admission._levels import PERIOD_S, AdmissionLevel
from geraniumbend.routing import LoadReport, ServerTable
from tests.fakes import StepTimers, build_configuration, build_servers


class GuardTest(unittest.TestCase):
    def setUp(self):
        self.level = AdmissionLevel()
        self.now = 0.0

    def run_for(self, seconds, utilization):
        """Return the level after some time of little demand at this gateway."""
        for _ in range(round(seconds / PERIOD_S)):
            self.now += PERIOD_S
            self.level.demand.record(0.1, self.now)
            self.level.update(100.0, utilization, 1, self.now, utilization)
        return self.level.choose("")

    def test_overfilled_servers_lower_the_level_within_half_a_second(self):
        """Guards against a crest that is over before the level has moved."""
        self.run_for(5.0, 0.6)
        self.assertLessEqual(self.run_for(0.5, 2.0), 0.5)

    def test_level_returns_with_the_room_on_the_servers(self):
        """Guards against refusals that outlast the crest."""
        self.run_for(3.0, 2.0)
        self.assertGreaterEqual(self.run_for(1.5, 0.5), 1.0)

    def test_servers_with_all_slots_busy_and_no_queue_are_not_relieved(self):
        self.assertGreaterEqual(self.run_for(10.0, 1.0), 1.0)

    def test_some_requests_are_admitted_however_full_servers_claim_to_be(self):
        """Guards against false reports that would close a group."""
        self.assertGreater(self.run_for(10.0, 4.0), 0.25)

    def test_guard_does_not_rank_the_opens_of_sheets(self):
        """Guards against opens that some gateways serve and others refuse."""
        self.run_for(5.0, 2.0)
        self.assertGreaterEqual(self.level.choose("open-1"), 1.0)

    def test_unknown_utilization_refuses_nothing(self):
        self.run_for(3.0, 3.0)
        self.assertGreaterEqual(self.run_for(0.2, 0.0), 1.0)


class CrowdingTest(unittest.TestCase):
    def test_false_report_of_one_server_crowds_no_group(self):
        """Guards against a group that is closed by one server's false report."""
        timers = StepTimers()
        table = ServerTable(timers)
        table.update(build_servers(5, 4), build_configuration())
        for index in range(5):
            report = LoadReport(40 if index == 0 else 2, 4)
            table.view(f"s{index}").observe_report(report, timers.now())
        self.assertGreater(table.utilization("g"), 1.0)
        self.assertEqual(table.robust_utilization("g"), 0.5)
