from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
import unittest

from geraniumbend.errors import StorageError
from geraniumbend.exits import describe_end

SCRIPT = """
import asyncio, os, resource, signal, sys, threading
from geraniumbend.cli import processes
from geraniumbend.exits import report_unhandled
from geraniumbend.logs import configure_logs, log_event
from geraniumbend.run import PROCESS_COMMANDS, run

async def fail_task():
    raise ValueError("of a task")

def fail_thread():
    raise ValueError("of a thread")

async def serve(action):
    report_unhandled(asyncio.get_running_loop())
    if action == "task":
        asyncio.create_task(fail_task())
    elif action == "thread":
        thread = threading.Thread(target=fail_thread)
        thread.start()
        thread.join()
    elif action == "signal":
        os.kill(os.getpid(), signal.SIGXCPU)
        await asyncio.sleep(10)
    elif action == "memory":
        raise MemoryError()
    elif action == "threads":
        raise RuntimeError("can't start new thread")
    else:
        raise ValueError("two\\nlines")
    await asyncio.sleep(0.1)

def main(*paths):
    configure_logs("n1")
    asyncio.run(serve(sys.argv[1]))
    return 0

processes._entries[PROCESS_COMMANDS[0]] = main
sys.exit(run([PROCESS_COMMANDS[0]]))
"""


def run_script(action, **environment):
    completed = subprocess.run(
        [sys.executable, "-c", SCRIPT, action],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **environment},
    )
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    return completed.returncode, lines, completed.stderr


class ProcessEndTest(unittest.TestCase):
    def check_end(self, action, exit_code, kind):
        code, lines, errors = run_script(action)
        self.assertEqual(code, exit_code, errors)
        self.assertEqual([line["event"] for line in lines], [907])
        self.assertEqual((lines[0]["kind"], lines[0]["exit_code"]), (kind, code))
        self.assertTrue(lines[0]["remedy"])
        self.assertEqual(len(errors.splitlines()), 1, errors)
        return lines[0]

    # A process that ended by an unexpected exception left no line that names it.
    def test_unexpected_exception_ends_with_one_line_and_event(self):
        end = self.check_end("value", os.EX_SOFTWARE, "ValueError")
        self.assertIn("two lines", end["message"])
        self.assertIn("in serve", end["where"])

    def test_lack_of_memory_or_threads_has_an_exit_code_of_its_own(self):
        self.check_end("memory", os.EX_OSERR, "MemoryError")
        self.check_end("threads", os.EX_OSERR, "RuntimeError")

    def test_traceback_is_printed_on_request_only(self):
        code, _, errors = run_script("value", GERANIUMBEND_TRACEBACK="1")
        self.assertEqual(code, os.EX_SOFTWARE)
        self.assertIn("Traceback", errors)

    def test_signal_that_ends_the_process_is_logged(self):
        code, lines, _ = run_script("signal")
        self.assertLess(code, 0)
        self.assertEqual([line["kind"] for line in lines], ["SIGXCPU"])

    def test_exceptions_of_tasks_and_threads_are_logged(self):
        for action in ("task", "thread"):
            code, lines, errors = run_script(action)
            self.assertEqual((code, errors), (0, ""))
            self.assertEqual([line["event"] for line in lines], [908])
            self.assertIn(f"of a {action}", lines[0]["error"])
            self.assertIn(f"fail_{action}", lines[0]["where"])


class DescribeEndTest(unittest.TestCase):
    def test_typed_error_keeps_its_code_and_remedy(self):
        end = describe_end(StorageError("the disk is full", "make space"))
        self.assertEqual(end.exit_code, StorageError.exit_code)
        self.assertEqual(str(end), "the disk is full; make space")

    def test_used_up_descriptors_name_the_limits(self):
        end = describe_end(OSError(errno.EMFILE, "Too many open files"))
        self.assertEqual(end.exit_code, os.EX_OSERR)
        self.assertIn("limits", end.remedy)
