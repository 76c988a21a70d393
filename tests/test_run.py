from __future__ import annotations

import contextlib
import io
import signal
import subprocess
import sys
import unittest

from geraniumbend.errors import SettingsError
from geraniumbend.run import USAGE_EXIT_CODE, run


def run_quietly(*arguments):
    output = io.StringIO()
    handler = signal.getsignal(signal.SIGTERM)
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            code = run(arguments)
    finally:
        signal.signal(signal.SIGTERM, handler)
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


LOADING = """
import os, signal, time
from geraniumbend.cli import processes
from geraniumbend.run import PROCESS_COMMANDS, run

def load(*paths):
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(10)

processes._entries[PROCESS_COMMANDS[0]] = load
run([PROCESS_COMMANDS[0]])
"""


class StopWhileLoadingTest(unittest.TestCase):
    """Guards against a process that counts as crashed when it is stopped early."""

    def test_sigterm_while_libraries_load_ends_with_code_zero(self):
        ended = subprocess.run(
            [sys.executable, "-c", LOADING], capture_output=True, timeout=30
        )
        self.assertEqual((ended.returncode, ended.stderr), (0, b""))
