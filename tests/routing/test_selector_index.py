from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.routing import parse_selector
from geraniumbend.routing._selector_index import SelectorIndex
from tests.fuzzing import fuzz

TERMS = st.sampled_from(
    ["app=a", "app in (a,b)", "app!=a", "tier=x", "tier in (x,y)", "tier", "!tier", ""]
)
SELECTORS = st.lists(TERMS.filter(bool), max_size=3).map(",".join)
LABELS = st.dictionaries(st.sampled_from(["app", "tier"]), st.sampled_from("abxy"))


class SelectorIndexTest(unittest.TestCase):
    @fuzz(max_examples=200)
    @given(st.lists(SELECTORS, max_size=5), st.lists(SELECTORS, max_size=5), LABELS)
    def test_candidates_include_all_matching_groups_after_replacements(
        self, first, second, labels
    ):
        index = SelectorIndex()
        selectors = {}
        for texts in (first, second):
            for number, text in enumerate(texts):
                selectors[f"g{number}"] = parse_selector(text)
                index.add(f"g{number}", selectors[f"g{number}"])
        index.remove("g0")
        selectors.pop("g0", None)
        matching = {name for name, s in selectors.items() if s.matches(labels)}
        candidates = index.find_candidates(labels)
        self.assertLessEqual(matching, set(candidates))
        self.assertLessEqual(set(candidates), set(selectors))

    def test_only_groups_that_list_the_label_value_are_candidates(self):
        index = SelectorIndex()
        for number in range(100):
            index.add(f"g{number}", parse_selector(f"app=s{number},tier"))
        self.assertEqual(list(index.find_candidates({"app": "s7"})), ["g7"])
