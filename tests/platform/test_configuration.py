from __future__ import annotations

import json
import unittest

from geraniumbend.configuration import apply_operations, validate_operations
from geraniumbend.configuration._operator_files import plan_replacement
from geraniumbend.errors import GeraniumbendError
from geraniumbend.model import Configuration, SplitPart
from geraniumbend.platform._configuration import read_configuration
from geraniumbend.routing import policies

ROUTES = [
    "name",
    "host",
    "path-prefix",
    "kind",
    "timeout",
    "target-latency",
    "priority",
    "traffic-split",
    "max-attempts",
    "service",
]
SPLIT = [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]
SAFE = ["r1", "h.example", "/p/", "safe", "1200ms", "400ms", 2, SPLIT, 2, None]
UNSAFE = ["r2", "h.example", "/q/", "unsafe", "1.5s", "500ms", 1, None, 2, "one"]
SERVICES = ["name", "health-path", "max-connections", "protocol", "tls"]


def build_document(routes=(SAFE, UNSAFE), version="r7", **changes):
    document = {
        "version": version,
        "routes": {"columns": ROUTES, "rows": [list(row) for row in routes]},
        "services": {
            "columns": SERVICES,
            "rows": [[name, "/health", 220, "h1", False] for name in ("one", "two")],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1024,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
    }
    return document | changes


def apply_document(body):
    """Read and validate a body like a control host before it proposes the change."""
    configuration = read_configuration(body)
    steps = plan_replacement(configuration, Configuration())
    validate_operations(steps, policies.names())
    return apply_operations(Configuration(), steps, 1)


class ReadConfigurationTest(unittest.TestCase):
    def test_routes_and_services_become_rules_and_groups(self):
        configuration = apply_document(json.dumps(build_document()).encode())
        self.assertEqual(configuration.version, 7)
        safe, unsafe = configuration.rules["r1"], configuration.rules["r2"]
        self.assertEqual(safe.split, (SplitPart("one", 90), SplitPart("two", 10)))
        self.assertEqual((safe.idempotent, unsafe.idempotent), (True, False))
        self.assertEqual((safe.wait_limit_s, unsafe.wait_limit_s), (1.2, 1.5))
        self.assertEqual(unsafe.retry.attempts, 2)
        self.assertEqual((unsafe.importance, unsafe.objective_s), (1, 0.5))
        self.assertEqual(configuration.groups["one"].connection_limit, 220)
        self.assertEqual(configuration.limits.idle_timeout_s, 15.0)

    def check_refused(self, routes=(SAFE, UNSAFE), **changes):
        body = json.dumps(build_document(routes, **changes)).encode()
        with self.assertRaises(GeraniumbendError):
            apply_document(body)

    def change(self, row, **values):
        changed = list(row)
        for name, value in values.items():
            changed[ROUTES.index(name.replace("_", "-"))] = value
        return changed

    def test_invalid_values_are_refused(self):
        self.check_refused([self.change(UNSAFE, service="three")])
        self.check_refused([self.change(UNSAFE, timeout="0ms")])
        self.check_refused([self.change(UNSAFE, max_attempts=0)])
        self.check_refused([self.change(UNSAFE, path_prefix="q/")])
        self.check_refused([self.change(UNSAFE, kind="odd")])
        self.check_refused([self.change(UNSAFE, service=None)])
        empty = [{"service": "one", "weight": 0}, {"service": "two", "weight": 0}]
        self.check_refused([self.change(SAFE, traffic_split=empty)])
        unknown = [{"service": "three", "weight": 5}]
        self.check_refused([self.change(SAFE, traffic_split=unknown)])

    def test_malformed_or_truncated_document_is_refused(self):
        self.check_refused([SAFE[:-1]])
        self.check_refused([SAFE, SAFE])
        self.check_refused(version="7")
        body = json.dumps(build_document()).encode()
        for end in range(1, len(body), 17):
            with self.assertRaises(GeraniumbendError):
                apply_document(body[:end])
