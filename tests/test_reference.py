from __future__ import annotations

import ast
import unittest
from pathlib import Path

from tools.reference import FOLDER, PAGES

from geraniumbend._reference import import_all_modules, list_setting_keys
from geraniumbend.logs import declared_events
from geraniumbend.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = sorted((ROOT / "docs" / "examples").glob("*.toml"))


class EventNumbers(ast.NodeVisitor):
    """Event numbers that a module logs, and all integers in it.

    A number counts as used if it is passed to log_event directly or stands in a table
    or condition.
    """

    def __init__(self, path):
        self.logged = set()
        self.used = set()
        tree = ast.parse(path.read_text(encoding="utf-8"))
        logs = any(
            isinstance(n, ast.Name) and n.id == "log_event" for n in ast.walk(tree)
        )
        if logs:
            self.visit(tree)

    def visit_Call(self, node):
        name = getattr(node.func, "id", "")
        if name == "declare_event":
            return
        if name == "log_event" and isinstance(node.args[0], ast.Constant):
            self.logged.add(node.args[0].value)
        self.generic_visit(node)

    def visit_Constant(self, node):
        if type(node.value) is int:
            self.used.add(node.value)


class ReferencePagesTest(unittest.TestCase):
    def test_pages_agree_with_the_code(self):
        for name, render in PAGES.items():
            with self.subTest(name):
                page = (FOLDER / name).read_text(encoding="utf-8")
                self.assertEqual(page, render(), "run make docs and commit the page")

    def test_every_logged_number_is_declared_and_every_declared_one_is_used(self):
        import_all_modules()
        declared = {event.number for event in declared_events()}
        logged, used = set(), set()
        for path in (ROOT / "src").rglob("*.py"):
            numbers = EventNumbers(path)
            logged |= numbers.logged
            used |= numbers.used
        self.assertEqual(logged - declared, set())
        self.assertEqual(declared - used, set())

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
