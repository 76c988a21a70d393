from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from bench._goals import GOALS, evaluate_goals
from bench._report import write_page

RESULTS = {
    "crest": {
        "whole_sheets": {"default": 0.3, "random": 0.1, "round_robin": 0.12},
        "capacity_share": 0.33,
    },
    "blocking": {"short_p99_ms": {"default": {"alone": 10.0, "mixed": 16.0}}},
    "load_cost": {"calm": 0.001, "crest": 0.02, "budget": 0.01},
    "orders": {"error": "no result"},
}


class GoalsTest(unittest.TestCase):
    def setUp(self):
        self.states = {v.goal.text: v.state for v in evaluate_goals(RESULTS)}

    def test_each_goal_is_met_missed_or_not_measured(self):
        self.assertEqual(len(self.states), len(GOALS))
        expected = {
            "whole sheets against the best baseline, at least 2 times": "met",
            "short p99 with long work against without, at most 1.5 times": "missed",
            "cost at the crest as a share of the budget, at most 1": "missed",
            "cost in calm times as a share of the budget, at most 1": "met",
            "orders run twice, 0": "not measured",
        }
        self.assertEqual({text: self.states[text] for text in expected}, expected)

    def test_page_lists_every_goal_and_has_charts_of_measured_experiments(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            write_page(folder, RESULTS, evaluate_goals(RESULTS), 7)
            page = (folder / "report.md").read_text()
            self.assertIn("Seed 7", page)
            self.assertIn("![crest](crest.png)", page)
            self.assertGreater((folder / "crest.png").stat().st_size, 1000)
            self.assertEqual(page.count("not measured"), 15)
