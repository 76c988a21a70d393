from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from geraniumbend.errors import SettingsError
from geraniumbend.platform import read_settings
from geraniumbend.settings import load_settings

KEY_ENVIRONMENT = {"GERANIUMBEND_CLUSTER_KEY": "0123456789abcdef"}
GIVEN = {
    "node-name": "core-a-1",
    "ip": "10.1.0.37",
    "zone": "a",
    "region": "r",
    "listen": {"control": "10.1.0.37:8544"},
    "internal-ports": [7540, 7555],
    "seeds": ["10.1.0.37:8544", "10.2.0.37:8544"],
    "bootstrap": True,
    "data-dir": "/data/core",
    "heartbeat": "1500ms",
    "fault-tolerance": {"machines": 2, "zones": 0},
    "bounds": {
        "grace": "6s",
        "retry-budget-ratio": 0.2,
        "retry-window": "10s",
        "retry-budget-slack": 56,
        "probes-per-s": 60,
    },
    "field-of-a-later-release": [1],
}


@mock.patch.dict(os.environ, KEY_ENVIRONMENT)
class SettingsTest(unittest.TestCase):
    def test_settings_of_a_control_host_are_translated(self):
        settings = read_settings(json.dumps(GIVEN))
        self.assertEqual(settings.node.failure_domain, "a")
        self.assertEqual(settings.peer.seeds, ["10.1.0.37:7540", "10.2.0.37:7540"])
        control = settings.control
        self.assertEqual(control.founders, settings.peer.seeds)
        self.assertEqual((control.operators.host, control.operators.port)[1], 8544)
        self.assertTrue(control.may_found)
        self.assertTrue(control.is_first_start)
        self.assertEqual(control.tolerated_losses, 2)
        self.assertEqual(control.data_folder, "/data/core")

    def test_gateway_stops_within_the_grace_period_and_stays_below_limits(self):
        listen = {"front": "10.1.0.34:8548", "ready": "10.1.0.34:8542"}
        given = GIVEN | {"listen": listen, "data-dir": None, "bootstrap": False}
        settings = read_settings(json.dumps(given))
        gateway = settings.gateway
        self.assertEqual((gateway.caller.port, gateway.announce.port), (8548, 8542))
        self.assertLess(gateway.drain_delay_s + gateway.drain_limit_s, 6.0)
        self.assertGreater(gateway.drain_delay_s, 2.0)
        self.assertLessEqual(gateway.retry_ratio, 0.2)
        self.assertLessEqual(gateway.retry_allowance, 56)
        self.assertLessEqual(gateway.probe_limit, 60)
        self.assertFalse(settings.control.may_found)
        self.assertFalse(settings.control.is_first_start)

    def test_open_requests_may_take_until_the_last_sixth_of_the_grace_period(self):
        """Guards against a planned stop that cuts off requests which may still end."""
        for grace_s in (2, 6, 30):
            bounds = GIVEN["bounds"] | {"grace": f"{grace_s}s"}
            given = GIVEN | {"bounds": bounds, "data-dir": None}
            gateway = read_settings(json.dumps(given)).gateway
            end_s = gateway.drain_delay_s + gateway.drain_limit_s
            self.assertGreater(end_s, 5 / 6 * grace_s)
            # A twelfth or half a second remains for leaving the cluster.
            self.assertLessEqual(end_s, grace_s - min(0.5, grace_s / 12) + 1e-9)

    def test_missing_or_malformed_fields_are_settings_errors(self):
        for field, value in (("ip", None), ("internal-ports", 7540), ("seeds", "x")):
            with self.assertRaises(SettingsError):
                read_settings(json.dumps(GIVEN | {field: value}))
        with self.assertRaises(SettingsError):
            read_settings(json.dumps(GIVEN)[:-9])
        with self.assertRaises(SettingsError):
            read_settings(json.dumps(GIVEN | {"listen": {"control": "10.1.0.37"}}))

    def test_format_of_a_settings_file_is_chosen_by_its_suffix(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.json"
            path.write_text(json.dumps(GIVEN))
            self.assertEqual(load_settings(path).node.name, "core-a-1")
