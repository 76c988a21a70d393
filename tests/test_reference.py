from __future__ import annotations

import re
import unittest
from pathlib import Path

from tools.reference import FOLDER, PAGES

from geraniumbend._reference import import_all_modules, list_setting_keys
from geraniumbend.logs import declared_events
from geraniumbend.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = sorted((ROOT / "docs" / "examples").glob("*.toml"))


class ReferencePagesTest(unittest.TestCase):
    def test_pages_agree_with_the_code(self):
        for name, render in PAGES.items():
            with self.subTest(name):
                page = (FOLDER / name).read_text(encoding="utf-8")
                self.assertEqual(page, render(), "run make docs and commit the page")

    def test_every_logged_number_is_declared_and_every_declared_one_is_logged(self):
        import_all_modules()
        logged = set()
        for path in (ROOT / "src").rglob("*.py"):
            text = path.read_text(encoding="utf-8")
            logged |= {int(n) for n in re.findall(r"log_event\(\s*(\d+)", text)}
        self.assertEqual(logged, {event.number for event in declared_events()})

    def test_every_setting_has_a_description(self):
        for key in list_setting_keys():
            self.assertTrue(key.description, key.name)


class ExamplesTest(unittest.TestCase):
    def test_example_settings_are_valid(self):
        self.assertGreaterEqual(len(EXAMPLES), 4)
        for path in EXAMPLES:
            if not path.name.endswith("configuration.toml"):
                with self.subTest(path.name):
                    load_settings(path)
