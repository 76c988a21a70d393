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
    handlers = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGHUP)}
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            code = run(arguments)
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
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


LOAD_SCRIPT = """
import os, signal, sys, time
from geraniumbend.cli import processes
from geraniumbend.run import PROCESS_COMMANDS, run

def load(*paths):
    os.kill(os.getpid(), signal.Signals[sys.argv[1]])
    time.sleep(float(sys.argv[2]))
    return 0

processes._entries[PROCESS_COMMANDS[0]] = load
sys.exit(run([PROCESS_COMMANDS[0]]))
"""


class SignalWhileLoadingTest(unittest.TestCase):
    def run_with_signal(self, name, seconds):
        command = [sys.executable, "-c", LOAD_SCRIPT, name, str(seconds)]
        completed = subprocess.run(command, capture_output=True, timeout=30)
        self.assertEqual((completed.returncode, completed.stderr), (0, b""))

    def test_sigterm_while_libraries_load_ends_with_code_zero(self):
        """Guards against an early stop that looks like a crash."""
        self.run_with_signal("SIGTERM", 10)

    def test_sighup_while_libraries_load_changes_nothing(self):
        """Guards against a reload signal that ends a process during its start.

        Found by `bench soak --seed 2021 --scale 0.4`.
        """
        self.run_with_signal("SIGHUP", 0.1)
