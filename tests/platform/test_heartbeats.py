from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.errors import ProtocolError
from geraniumbend.platform._heartbeats import read_deregistration, read_heartbeat
from tests.fuzzing import fuzz

HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "info": {"service": "one", "version": "v1", "zone": "a", "capacity": 4},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "0ms"},
    "born": 1790840073007,
}


class HeartbeatTest(unittest.TestCase):
    def read(self, **changes):
        return read_heartbeat("i-1", json.dumps(HEARTBEAT | changes).encode(), 12.0)

    def test_heartbeat_is_translated_to_an_announcement(self):
        announcement = self.read()
        server = announcement.server
        self.assertEqual((server.host, server.port), ("10.128.0.9", 8080))
        self.assertEqual(server.labels, {"service": "one", "version": "v1"})
        self.assertEqual((server.slots, server.failure_domain), (4, "a"))
        self.assertEqual(server.incarnation, HEARTBEAT["born"])
        self.assertEqual(announcement.sequence, 4)
        # A heartbeat has no load; a load of 0 would make each server look idle.
        self.assertIsNone(announcement.in_flight)
        self.assertFalse(server.draining)
        draining = self.read(status=HEARTBEAT["status"] | {"state": "draining"})
        self.assertTrue(draining.server.draining)

    def test_invalid_heartbeats_are_refused(self):
        bad = (
            {"status": HEARTBEAT["status"] | {"state": "resting"}},
            {"status": {"state": "ready"}},
            {"info": HEARTBEAT["info"] | {"capacity": "4"}},
            {"info": HEARTBEAT["info"] | {"capacity": 0}},
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

    # Another writer's entry ended the call with an exception that nobody expected.
    def test_deeply_nested_bodies_are_refused(self):
        nested = "[" * 100_000 + "]" * 100_000
        body = json.dumps(HEARTBEAT)[:-1] + f', "other": {nested}}}'
        for read in (
            lambda: read_heartbeat("i-1", body.encode(), 12.0),
            lambda: read_deregistration(f'{{"other": {nested}}}'.encode()),
        ):
            with self.assertRaises(ProtocolError):
                read()

    def test_deregistration_may_omit_its_incarnation(self):
        self.assertEqual(read_deregistration(b""), 0)
        self.assertEqual(read_deregistration(b'{"born": 5}'), 5)
        with self.assertRaises(ProtocolError):
            read_deregistration(b"{")

    @fuzz(200)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, body):
        for read in (
            lambda: read_heartbeat("i", body, 1.0),
            lambda: read_deregistration(body),
        ):
            try:
                read()
            except ProtocolError:
                continue
