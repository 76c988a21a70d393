from __future__ import annotations

import unittest

from geraniumbend.model import Configuration, Rule, RuleMatch
from geraniumbend.routing import RequestFacts, RuleTable


def find(rules, path="/", host="h", method="GET", headers=None):
    table = RuleTable(Configuration(rules={rule.name: rule for rule in rules}))
    rule = table.find(RequestFacts(host, path, method, headers or {}))
    return rule and rule.name


class RuleTableTest(unittest.TestCase):
    def test_priority_then_longer_prefix_then_name_decides(self):
        rules = [
            Rule("z", "g", RuleMatch(path_prefix="/a/")),
            Rule("long", "g", RuleMatch(path_prefix="/a/b/")),
            Rule("also-long", "g", RuleMatch(path_prefix="/a/b/")),
            Rule("urgent", "g", RuleMatch(methods=("PUT",)), priority=1),
        ]
        self.assertEqual(find(rules, "/a/x"), "z")
        self.assertEqual(find(rules, "/a/b/x"), "also-long")
        self.assertEqual(find(rules, "/a/b/x", method="PUT"), "urgent")
        self.assertIsNone(find(rules, "/c"))

    def test_pattern_star_spans_one_segment_and_double_star_the_rest(self):
        rules = [Rule("r", "g", RuleMatch(path_pattern="/shows/*/files/**"))]
        self.assertEqual(find(rules, "/shows/7/files/a/b"), "r")
        self.assertIsNone(find(rules, "/shows/7/8/files/a"))

    def test_host_ignores_port_and_case_and_allows_subdomains(self):
        rules = [Rule("r", "g", RuleMatch(host="*.Example"))]
        self.assertEqual(find(rules, host="a.example:8080"), "r")
        self.assertIsNone(find(rules, host="example"))

    def test_header_value_or_presence_is_required(self):
        rules = [Rule("r", "g", RuleMatch(headers={"x-kind": "file", "x-any": "*"}))]
        self.assertEqual(find(rules, headers={"x-kind": "file", "x-any": "1"}), "r")
        self.assertIsNone(find(rules, headers={"x-kind": "file"}))
