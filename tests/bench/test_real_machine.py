"""Short soak of real processes on conditions of real machines, and its checks."""

from __future__ import annotations

import json
import random
import signal
import unittest
from unittest import mock

from bench._experiments import Options
from bench._real_callers import KEPT_CHANGES, Callers, build_change
from bench._real_checks import Observations
from bench._real_cluster import RECOVERY_S, STABLE_WINDOW_S, START_S, RealCluster, Size
from bench._real_faults import endings, faults, formation_faults
from bench._real_machine import FULL_SIZE, choose_size, run_real_machine
from bench._real_process import CATCH_UP_S, HostProcess

from geraniumbend.errors import SettingsError

SEED = 1
SCALE = 0.15
# One fault of the start, a kill of all processes, and a loss of disks at the end.
FAULTS = ("limits", "kill_all", "lose_disks_and_all")


class RealMachineTest(unittest.IsolatedAsyncioTestCase):
    """A small cluster keeps its promises when all processes and a disk are lost."""

    async def test_cluster_recovers_under_limits_and_losses(self):
        result = await run_real_machine(Options(SEED, SCALE, FAULTS))
        self.assertEqual(set(result["faults"]), set(FAULTS))
        self.assertGreater(result["statuses"].get("200 unsafe", 0), 50)
        self.assertGreater(result["changes"], 3)

    async def test_unknown_name_of_a_fault_is_refused(self):
        with self.assertRaisesRegex(SettingsError, "unknown faults kil; choose from"):
            await run_real_machine(Options(SEED, SCALE, ("kil",)))


class SizeTest(unittest.TestCase):
    def test_full_scale_is_the_size_of_the_users(self):
        self.assertEqual(choose_size(1.0), FULL_SIZE)

    def test_number_of_gateways_follows_the_scale(self):
        sizes = [choose_size(scale).gateways for scale in (0.05, 0.15, 0.5, 1.0, 4.0)]
        self.assertEqual(sizes, [2, 2, 6, 13, 13])

    def test_all_tables_of_faults_have_distinct_names(self):
        names = [*formation_faults.names(), *faults.names(), *endings.names()]
        self.assertEqual(len(names), len(set(names)))


class ChangeTest(unittest.TestCase):
    def test_change_has_routes_of_the_changes_before_it(self):
        names = [row[0] for row in build_change(20)["routes"]["rows"]]
        added = [f"a{number}" for number in range(20 - KEPT_CHANGES, 21)]
        self.assertEqual(names, ["safe", "unsafe", *added])


class ObservationsTest(unittest.TestCase):
    """Shares and times are those of the requests that callers sent."""

    def setUp(self):
        self.seen = Observations()
        patcher = mock.patch("bench._real_checks.time.monotonic")
        self.clock = patcher.start()
        self.addCleanup(patcher.stop)

    def send(self, time_s, is_served):
        self.clock.return_value = time_s
        number = round(time_s * 100)
        self.seen.record_sent(number)
        self.seen.record_answer(number, is_served)

    def test_time_back_is_that_of_the_first_good_second(self):
        for step in range(60):
            self.send(10.0 + step / 20, step >= 20)
        self.clock.return_value = 13.0
        self.assertAlmostEqual(self.seen.is_back(10.0), 11.0, delta=0.06)

    def test_requests_that_fail_do_not_count_as_back(self):
        for step in range(60):
            self.send(10.0 + step / 20, step % 2 == 0)
        self.clock.return_value = 13.0
        self.assertIsNone(self.seen.is_back(10.0))

    def test_requests_without_an_answer_do_not_count_as_back(self):
        for step in range(60):
            self.send(10.0 + step / 20, True)
        self.clock.return_value = 10.0
        self.seen.record_sent(1)
        self.clock.return_value = 13.0
        self.assertIsNone(self.seen.is_back(10.0))

    def test_worst_share_is_that_of_the_worst_ten_seconds(self):
        for step in range(600):
            self.send(step / 20, not 200 <= step < 300)
        self.assertAlmostEqual(self.seen.measure_worst_share(), 0.5, delta=0.02)

    def test_only_changes_acknowledged_by_a_time_count(self):
        for time_s, change in ((1.0, 1), (2.0, 3), (3.0, 2)):
            self.clock.return_value = time_s
            self.seen.record_acknowledgement(change)
        newest = [self.seen.get_acknowledged(time_s) for time_s in (0.5, 1.5, 9.0)]
        self.assertEqual(newest, [0, 1, 3])

    def test_process_that_ends_by_itself_is_reported(self):
        host = mock.Mock(read_last_lines=lambda: ["last line"])
        host.name = "control-1"
        self.seen.record_end(host, -signal.SIGSEGV)
        self.assertEqual(self.seen.counts["ended_by_themselves"], 1)
        self.assertEqual(self.seen.ends, ["control-1 code -11: ['last line']"])


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Each check of a configuration reports the violation that it is for."""

    def setUp(self):
        self.seen = Observations()
        self.cluster = mock.Mock(controls=["control-1"])
        self.cluster.get_calm_since.return_value = 0.0
        self.callers = Callers(self.cluster, self.seen, 1)

    def answer(self, status, document):
        body = json.dumps(document).encode()
        answer = mock.AsyncMock(return_value=(status, body))
        self.callers._call_control = answer

    def violated(self):
        return [violation.invariant for violation in self.seen.invariants.violations]

    async def test_read_that_is_older_than_acknowledged_is_reported(self):
        self.seen.record_acknowledgement(3)
        self.answer(200, build_change(3))
        self.assertEqual(await self.callers.read(), 3)
        self.assertEqual(self.violated(), [])
        self.answer(200, build_change(2))
        await self.callers.read()
        self.assertEqual(self.violated(), ["reverted"])

    async def test_read_with_other_routes_than_sent_is_reported(self):
        self.answer(200, {**build_change(4), "version": "r30"})
        await self.callers.read()
        self.assertEqual(self.violated(), ["reverted"])

    async def test_invalid_document_that_is_accepted_or_in_force_is_reported(self):
        self.seen.sent_changes = 2
        self.answer(400, {})
        await self.callers._send_invalid()
        self.assertEqual(self.violated(), [])
        self.answer(200, {})
        await self.callers._send_invalid()
        self.answer(200, {**build_change(2), "version": "r25"})
        await self.callers.read()
        self.assertEqual(self.violated(), ["invalid_accepted", "invalid_accepted"])

    async def test_valid_change_that_is_refused_is_reported(self):
        self.answer(400, {})
        self.assertFalse(await self.callers.change())
        self.assertEqual(self.violated(), ["refused_change"])

    def test_change_that_a_calm_core_acknowledges_late_is_reported(self):
        with mock.patch("bench._real_callers.time.monotonic") as clock:
            clock.return_value = 103.9
            self.callers._check_time(1, 100.0)
            self.assertEqual(self.violated(), [])
            clock.return_value = 104.1
            self.callers._check_time(2, 100.0)
            self.assertEqual(self.violated(), ["late_acknowledgements"])

    def test_change_beside_a_fault_or_slow_disks_is_not_late(self):
        with mock.patch("bench._real_callers.time.monotonic") as clock:
            clock.return_value = 100.0
            self.callers.allow_late(12.0)
            clock.return_value = 111.0
            self.callers._check_time(1, 101.0)
            self.callers.end_late()
            self.cluster.get_calm_since.return_value = 108.0
            self.callers._check_time(2, 101.0)
            self.assertEqual(self.violated(), [])
            clock.return_value = 112.1
            self.callers._check_time(3, 101.0)
            self.assertEqual(self.violated(), ["late_acknowledgements"])

    def test_route_that_is_not_in_force_in_time_is_reported(self):
        self.seen.sent_changes = 20
        host = mock.Mock()
        kept, dropped = 20 - KEPT_CHANGES, 18 - KEPT_CHANGES
        for change, status in ((18, 200), (18, 503), (20, 404), (dropped, 404)):
            self.callers._check_in_force(host, change, 19, status)
        self.assertEqual(self.violated(), [])
        for change, status in ((19, 404), (kept, 404), (dropped, 200)):
            self.callers._check_in_force(host, change, 19, status)
        self.assertEqual(self.violated(), ["not_in_force"] * 3)


class LossesTest(unittest.TestCase):
    """No more control hosts are lost at once than the settings tolerate."""

    def setUp(self):
        self.cluster = RealCluster(Size(5, 2, 2), 1, Observations())
        self.addCleanup(self.cluster.remove_folder)
        running = mock.PropertyMock(return_value=True)
        patches = (
            mock.patch.object(HostProcess, "is_running", running),
            mock.patch("time.monotonic"),
        )
        _, self.clock = [patch.start() for patch in patches]
        for patch in patches:
            self.addCleanup(patch.stop)
        self.clock.return_value = 100.0

    def choose(self, role):
        return self.cluster.choose(random.Random(1), role, 5)

    def test_hosts_that_a_fault_holds_are_not_chosen(self):
        with self.cluster.disturb(self.cluster.controls[:2]):
            self.assertEqual(self.choose("control"), [])
            self.assertEqual(len(self.choose("gateway")), 2)

    def test_hosts_count_as_lost_until_they_caught_up(self):
        lost = self.cluster.controls[:2]
        with self.cluster.disturb(lost):
            pass
        self.clock.return_value += CATCH_UP_S - 0.1
        self.assertCountEqual(self.choose("control"), lost)
        self.clock.return_value += 0.2
        self.assertEqual(len(self.choose("control")), 2)

    def test_core_is_calm_once_all_control_hosts_listen(self):
        with self.cluster.disturb(self.cluster.controls[:1]):
            self.assertEqual(self.cluster.get_calm_since(), float("inf"))
        self.assertEqual(self.cluster.get_calm_since(), 100.0 + STABLE_WINDOW_S)
        self.cluster.controls[0].listening_pid = 1
        self.assertEqual(self.cluster.get_calm_since(), float("inf"))

    def test_gateway_is_in_touch_once_it_and_the_core_were_stable(self):
        gateway = self.cluster.gateways[0]
        with self.cluster.disturb([self.cluster.controls[0]]):
            self.assertFalse(self.cluster.is_in_touch(gateway))
        self.clock.return_value += STABLE_WINDOW_S + 0.1
        self.assertTrue(self.cluster.is_in_touch(gateway))
        self.cluster.stable_window_s = 2 * STABLE_WINDOW_S
        self.assertFalse(self.cluster.is_in_touch(gateway))
        self.clock.return_value += STABLE_WINDOW_S
        self.assertTrue(self.cluster.is_in_touch(gateway))
        with self.cluster.disturb([gateway]):
            self.assertFalse(self.cluster.is_in_touch(gateway))

    def test_hosts_may_be_ready_later_if_control_hosts_listen_late(self):
        self.assertEqual(self.cluster.get_ready_by(90.0), 90.0 + RECOVERY_S)
        self.cluster._listening_at_s = 104.0
        self.assertEqual(self.cluster.get_ready_by(90.0), 104.0 + START_S)

    def test_hosts_with_slow_disks_count_as_lost(self):
        slow = self.cluster.controls[3:]
        for host in slow:
            host.set_sync_delays([0.5])
        self.assertCountEqual(self.choose("control"), slow)
        self.assertEqual(self.cluster.choose_fresh(random.Random(1)), [])


if __name__ == "__main__":
    unittest.main()
