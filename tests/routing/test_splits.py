from __future__ import annotations

import unittest
from collections import Counter

from geraniumbend.model import Rule, SplitPart
from geraniumbend.routing import GroupSplitter


def split(*parts):
    return Rule("r", "a", split=tuple(SplitPart(*part) for part in parts))


class GroupSplitterTest(unittest.TestCase):
    def test_every_window_of_requests_keeps_the_weights(self):
        rule = split(("a", 70), ("b", 25), ("c", 5))
        splitter = GroupSplitter()
        chosen = [splitter.choose(rule) for _ in range(1000)]
        for start in range(0, 1000, 20):
            counts = Counter(chosen[start : start + 20])
            self.assertAlmostEqual(counts["a"], 14, delta=1)
            self.assertAlmostEqual(counts["b"], 5, delta=1)
            self.assertAlmostEqual(counts["c"], 1, delta=1)

    def test_part_with_weight_zero_gets_no_requests(self):
        splitter = GroupSplitter()
        rule = split(("a", 0), ("b", 3))
        self.assertEqual({splitter.choose(rule) for _ in range(10)}, {"b"})

    def test_changed_weights_reset_the_state(self):
        splitter = GroupSplitter()
        for _ in range(5):
            splitter.choose(split(("a", 1), ("b", 99)))
        chosen = [splitter.choose(split(("a", 1), ("b", 1))) for _ in range(10)]
        self.assertEqual(Counter(chosen), {"a": 5, "b": 5})

    def test_rule_without_split_keeps_its_group(self):
        self.assertEqual(GroupSplitter().choose(Rule("r", "a")), "a")
