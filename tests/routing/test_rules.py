from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.model import Configuration, Rule, RuleMatch
from geraniumbend.routing import RequestProperties, RuleTable
from geraniumbend.routing._rules import _compile
from tests.fuzzing import fuzz


def find(rules, path="/", host="h", method="GET", headers=None):
    table = RuleTable(Configuration(rules={rule.name: rule for rule in rules}))
    rule = table.find(RequestProperties(host, path, method, headers or {}))
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

    def test_star_matches_one_segment_and_double_star_any_text(self):
        rules = [Rule("r", "g", RuleMatch(path_pattern="/shows/*/files/**"))]
        self.assertEqual(find(rules, "/shows/7/files/a/b"), "r")
        self.assertIsNone(find(rules, "/shows/7/8/files/a"))

    def test_pattern_that_starts_with_a_star_is_found_in_the_index(self):
        rules = [Rule("r", "g", RuleMatch(path_pattern="/*/files"))]
        self.assertEqual(find(rules, "/7/files"), "r")

    def test_host_ignores_port_and_case_and_allows_subdomains(self):
        rules = [Rule("r", "g", RuleMatch(host="*.Example"))]
        self.assertEqual(find(rules, host="a.example:8080"), "r")
        self.assertIsNone(find(rules, host="example"))

    def test_header_value_or_presence_is_required(self):
        rules = [Rule("r", "g", RuleMatch(headers={"x-kind": "file", "x-any": "*"}))]
        self.assertEqual(find(rules, headers={"x-kind": "file", "x-any": "1"}), "r")
        self.assertIsNone(find(rules, headers={"x-kind": "file"}))


SEGMENTS = st.sampled_from(["a", "b", "ab"])
PATHS = st.lists(SEGMENTS, max_size=3).map(lambda parts: "/" + "/".join(parts))
PREFIXES = st.one_of(st.just(""), PATHS, PATHS.map(lambda path: path + "/"))
PATTERNS = st.sampled_from(["", "/a/*", "/*/b", "/a/**", "/**", "/ab"])
HOSTS = st.sampled_from(["", "x.example", "*.example", "X.Example"])
MATCHES = st.builds(RuleMatch, host=HOSTS, path_prefix=PREFIXES, path_pattern=PATTERNS)


class RuleIndexTest(unittest.TestCase):
    @fuzz(max_examples=400)
    @given(
        st.lists(st.tuples(MATCHES, st.integers(0, 2)), max_size=6),
        PATHS,
        st.sampled_from(["x.example", "y.example:80", "other", "X.EXAMPLE"]),
    )
    def test_index_finds_the_same_rule_as_a_scan_of_all_rules(self, drawn, path, host):
        rules = [
            Rule(f"r{number}", "g", match, priority=priority)
            for number, (match, priority) in enumerate(drawn)
        ]
        request = RequestProperties(host, path, "GET", {})
        ordered = sorted(rules, key=sort_key)
        scan = [rule.name for rule in ordered if _compile(rule)(request)]
        self.assertEqual(find(rules, path, host), scan[0] if scan else None)


def sort_key(rule):
    return (-rule.priority, -len(rule.match.path_prefix), rule.name)
