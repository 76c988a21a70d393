from __future__ import annotations

import unittest

from geraniumbend.errors import ConfigurationError
from geraniumbend.routing import parse_selector


class SelectorTest(unittest.TestCase):
    def test_all_terms_must_hold(self):
        selector = parse_selector(
            "app=classes, tier in (a, b), zone notin (x), gpu,!old"
        )
        labels = {"app": "classes", "tier": "b", "gpu": "1"}
        self.assertTrue(selector.matches(labels))
        for change in ({"app": "files"}, {"tier": "c"}, {"zone": "x"}, {"old": ""}):
            self.assertFalse(selector.matches(labels | change))
        self.assertFalse(selector.matches({"app": "classes", "tier": "b"}))

    def test_inequality_also_selects_servers_without_the_label(self):
        self.assertTrue(parse_selector("app!=x").matches({}))

    def test_empty_selector_matches_everything(self):
        self.assertTrue(parse_selector("").matches({}))

    def test_malformed_terms_raise_configuration_errors(self):
        for text in ("=x", "a in x", "a in ()", "a,,b", "a=b=c", "!", "a b"):
            with self.subTest(text), self.assertRaises(ConfigurationError):
                parse_selector(text)
