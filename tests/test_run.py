from __future__ import annotations

import contextlib
import io
import unittest

from geraniumbend.errors import SettingsError
from geraniumbend.run import USAGE_EXIT_CODE, run


def run_quietly(*arguments):
    output = io.StringIO()
    with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
        code = run(arguments)
    return code, output.getvalue()


class RunTest(unittest.TestCase):
    def test_typed_error_gives_its_exit_code_and_one_line_with_remedy(self):
        code, output = run_quietly("gateway", "/nonexistent.toml")
        self.assertEqual(code, SettingsError.exit_code)
        self.assertEqual(len(output.strip().splitlines()), 1)
        self.assertIn("check the path", output)

    def test_wrong_usage_gives_exit_code_two(self):
        code, _ = run_quietly("no-such-command")
        self.assertEqual(code, USAGE_EXIT_CODE)

    def test_version_is_printed(self):
        code, output = run_quietly("--version")
        self.assertEqual((code, output.strip()), (0, "0.1.0"))
