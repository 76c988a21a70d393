from __future__ import annotations

import unittest
from types import SimpleNamespace

from geraniumbend.errors import RefusedError
from geraniumbend.model import BackendServer
from geraniumbend.platform import PlatformDialect

SERVER = BackendServer("i-1", "10.0.0.1", 80)


def build_response(status=200, **fields):
    headers = {
        f"Geraniumbend-{name.replace('_', '-')}": v for name, v in fields.items()
    }
    return SimpleNamespace(status=status, headers=headers)


class DialectTest(unittest.TestCase):
    dialect = PlatformDialect()

    def test_deadline_is_in_milliseconds_and_the_remaining_time_is_forwarded(self):
        headers = {"Geraniumbend-Deadline-Ms": "1200"}
        self.assertEqual(self.dialect.read_allowed_time(headers, 9.0), 1.2)
        self.assertEqual(self.dialect.read_allowed_time({}, 9.0), 9.0)
        lines = self.dialect.list_attempt_lines(SERVER, 0.7351)
        self.assertIn("Geraniumbend-Deadline-Ms: 735\r\n", lines)
        self.assertIn("Geraniumbend-Target-Instance: i-1\r\n", lines)

    def test_malformed_deadlines_are_refused(self):
        for text in ("", "0", "-5", "1.5", "x", "\u0663"):
            with self.assertRaises(RefusedError):
                self.dialect.read_allowed_time({"Geraniumbend-Deadline-Ms": text}, 1)

    def test_request_was_not_run_only_if_the_instance_states_so(self):
        self.assertTrue(self.dialect.was_not_run(build_response(503, Not_Executed="1")))
        self.assertTrue(self.dialect.was_not_run(build_response(421)))
        for status in (429, 500, 503, 504):
            self.assertFalse(self.dialect.was_not_run(build_response(status)))

    def test_statuses_that_promise_that_a_request_was_not_run(self):
        self.assertEqual(self.dialect.not_run_statuses, {408, 421, 429, 503})

    def test_defects_of_responses_are_found(self):
        signed = {"Response_Signature": "s", "Request_Id": "a"}
        self.assertEqual(self.dialect.find_defect(build_response(**signed), "a"), "")
        self.assertTrue(self.dialect.find_defect(build_response(**signed), "b"))
        self.assertTrue(self.dialect.find_defect(build_response(Request_Id="a"), "a"))
        self.assertEqual(
            self.dialect.find_defect(build_response(500, Request_Id="a"), "a"), ""
        )
        for status in (200, 421, 503):
            stray = build_response(status, Response_Signature="s", Not_Executed="1")
            self.assertTrue(self.dialect.find_defect(stray, "a"))
        encoded = build_response(**signed)
        encoded.headers["Content-Encoding"] = "gzip"
        self.assertTrue(self.dialect.find_defect(encoded, "a"))

    def test_response_to_a_probe_is_no_late_copy_and_names_the_instance(self):
        for fields, expected in (
            ({}, True),
            ({"Instance_Id": "i-1"}, True),
            ({"Instance_Id": "i-2"}, False),
            ({"Request_Id": "a", "Instance_Load": "0,0,6"}, False),
        ):
            defect = self.dialect.find_probe_defect(build_response(**fields), SERVER)
            self.assertEqual(not defect, expected, fields)

    def test_load_field_holds_running_and_queued_requests_slots_and_duration(self):
        report = self.dialect.read_report({"Geraniumbend-Instance-Load": "3,2,8,250"})
        self.assertEqual((report.in_flight, report.slots), (5, 8))
        self.assertEqual(report.slowdown, 2.5)
        report = self.dialect.read_report({"Geraniumbend-Instance-Load": "3,0,8"})
        self.assertIsNone(report.slowdown)
        for text in ("", "3", "a,b,c", "-1,0,8", "nan,0,8", "1e99,0,8"):
            fields = {"Geraniumbend-Instance-Load": text}
            self.assertIsNone(self.dialect.read_report(fields), text)

    def test_clients_honour_a_third_of_the_time_that_they_have_left(self):
        self.assertAlmostEqual(self.dialect.honoured_share, 1 / 3)

    def test_retry_after_keeps_fractions(self):
        self.assertEqual(self.dialect.write_retry_after(0.25), "0.250")
