from __future__ import annotations

import unittest

from geraniumbend.errors import SettingsError
from geraniumbend.settings import load_settings, parse_settings


class ParseSettingsTest(unittest.TestCase):
    def test_defaults_fill_a_minimal_document(self):
        settings = parse_settings('[node]\nname = "g1"\n')
        self.assertEqual(settings.gateway.sheet_header, "Sheet-Open")

    def test_unknown_key_names_line_and_nearest_key(self):
        text = '[node]\nname = "g1"\n\n[gateway]\nque_limit = 3\n'
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text, "x.toml")
        self.assertIn("x.toml:5", str(caught.exception))
        self.assertIn("queue_limit", str(caught.exception))

    def test_value_out_of_range_names_line_and_key(self):
        text = '[node]\nname = "g1"\n[gateway.caller]\nport = 70000\n'
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text, "x.toml")
        self.assertIn("x.toml:4: gateway.caller.port", str(caught.exception))

    def test_syntax_error_is_typed(self):
        with self.assertRaises(SettingsError):
            parse_settings("[node\n")

    def test_missing_file_is_typed(self):
        with self.assertRaises(SettingsError):
            load_settings("/nonexistent/x.toml")
