"""Admission threshold under overload: demand exceeds the capacity of the servers."""

from __future__ import annotations

import unittest

from geraniumbend.admission._threshold import UPDATE_PERIOD_S, AdmissionThreshold
from geraniumbend.routing import LoadReport, ServerTable
from tests.fakes import StepTimers, build_configuration, build_servers


class UtilizationCapTest(unittest.TestCase):
    def setUp(self):
        self.threshold = AdmissionThreshold()
        self.now = 0.0

    def run_for(self, seconds, utilization):
        """Return the threshold after a period of little demand on this gateway."""
        for _ in range(round(seconds / UPDATE_PERIOD_S)):
            self.now += UPDATE_PERIOD_S
            self.threshold.demand.record(0.1, self.now)
            self.threshold.update(100.0, utilization, 1, self.now, utilization)
        return self.threshold.value_for("")

    def test_overloaded_servers_lower_the_threshold_within_half_a_second(self):
        """Guards against an overload that ends before the threshold has followed."""
        self.run_for(5.0, 0.6)
        self.assertLessEqual(self.run_for(0.5, 2.0), 0.5)

    def test_threshold_recovers_with_the_spare_capacity_of_the_servers(self):
        """Guards against refusals that continue after the overload has ended."""
        self.run_for(3.0, 2.0)
        self.assertGreaterEqual(self.run_for(1.5, 0.5), 1.0)

    def test_servers_with_all_slots_busy_and_no_queue_do_not_lower_the_threshold(self):
        self.assertGreaterEqual(self.run_for(10.0, 1.0), 1.0)

    def test_some_requests_are_admitted_at_any_reported_utilization(self):
        """Guards against false reports that make a group refuse all requests."""
        self.assertGreater(self.run_for(10.0, 4.0), 0.25)

    def test_utilization_cap_does_not_apply_to_sheet_opens(self):
        """Guards against sheet opens that some gateways admit and others refuse."""
        self.run_for(5.0, 2.0)
        self.assertGreaterEqual(self.threshold.value_for("open-1"), 1.0)

    def test_unknown_utilization_refuses_nothing(self):
        self.run_for(3.0, 3.0)
        self.assertGreaterEqual(self.run_for(0.2, 0.0), 1.0)


class RobustUtilizationTest(unittest.TestCase):
    def test_false_report_of_one_server_does_not_raise_robust_utilization(self):
        """Guards against one false report that makes a group refuse requests."""
        timers = StepTimers()
        table = ServerTable(timers)
        table.update(build_servers(5, 4), build_configuration())
        for index in range(5):
            report = LoadReport(40 if index == 0 else 2, 4)
            table.view(f"s{index}").observe_report(report, timers.now())
        self.assertGreater(table.utilization("g"), 1.0)
        self.assertEqual(table.robust_utilization("g"), 0.5)
