from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.errors import ProtocolError
from geraniumbend.platform._instances import read_departure, read_heartbeat
from tests.fuzzing import fuzz

BEAT = {
    "address": "10.128.0.9:8080",
    "info": {"service": "one", "version": "v1", "zone": "a", "capacity": 4},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "0ms"},
    "born": 1790840073007,
}


class HeartbeatTest(unittest.TestCase):
    def read(self, **changes):
        return read_heartbeat("i-1", json.dumps(BEAT | changes).encode(), 12.0)

    def test_heartbeat_becomes_an_announcement(self):
        announcement = self.read()
        server = announcement.server
        self.assertEqual((server.host, server.port), ("10.128.0.9", 8080))
        self.assertEqual(server.labels, {"service": "one", "version": "v1"})
        self.assertEqual((server.slots, server.failure_domain), (4, "a"))
        self.assertEqual(server.incarnation, BEAT["born"])
        self.assertEqual(announcement.sequence, 4)
        # A heartbeat says nothing of the load; 0 would make each server look idle.
        self.assertIsNone(announcement.in_flight)
        self.assertFalse(server.draining)
        draining = self.read(status=BEAT["status"] | {"state": "draining"})
        self.assertTrue(draining.server.draining)

    def test_heartbeats_of_other_writers_name_no_server(self):
        bad = (
            {"status": BEAT["status"] | {"state": "resting"}},
            {"status": {"state": "ready"}},
            {"info": BEAT["info"] | {"capacity": "4"}},
            {"info": BEAT["info"] | {"capacity": 0}},
            {"info": None},
            {"address": "nowhere"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"born": "yesterday"},
            {"born": 1.5},
        )
        for changes in bad:
            with self.assertRaises(ProtocolError, msg=str(changes)):
                self.read(**changes)

    def test_departure_names_its_start_or_nothing(self):
        self.assertEqual(read_departure(b""), 0)
        self.assertEqual(read_departure(b'{"born": 5}'), 5)
        with self.assertRaises(ProtocolError):
            read_departure(b"{")

    @fuzz(200)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, body):
        for read in (
            lambda: read_heartbeat("i", body, 1.0),
            lambda: read_departure(body),
        ):
            try:
                read()
            except ProtocolError:
                continue
