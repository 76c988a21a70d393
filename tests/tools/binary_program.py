"""Tests of the one-file program; run by ``make test-binary``, which builds it."""

from __future__ import annotations

import os
import subprocess
import tempfile
import time
import unittest
import urllib.error
import urllib.request
from contextlib import contextmanager
from pathlib import Path

from bench._cluster import Cluster

from tests.cli.test_address_space import ADDRESS_SPACE_MB, read_peak_mb

PROGRAM = Path(os.environ["GERANIUMBEND_PROGRAM"])


class BinaryProgramTest(unittest.TestCase):
    def setUp(self):
        self.cache = tempfile.TemporaryDirectory()
        # Without PATH and Python variables the program cannot use an installed Python.
        self.environment = {"GERANIUMBEND_CACHE": self.cache.name}

    def tearDown(self):
        self.cache.cleanup()

    def run_program(self, *arguments):
        return subprocess.run(
            [PROGRAM, *arguments],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_version_is_printed_without_any_installed_python(self):
        self.assertEqual(self.run_program("--version").stdout.strip(), "0.1.0")

    def test_shared_cache_folder_is_refused(self):
        os.chmod(self.cache.name, 0o777)
        completed = self.run_program("--version")
        self.assertEqual(completed.returncode, 7)
        self.assertIn("not private", completed.stderr)

    def test_each_role_runs_as_one_process(self):
        cluster = Cluster(gateways=1, controls=1)
        for process in cluster.controls + cluster.gateways:
            with self.subTest(process.role), self.run_role(process) as started:
                tasks = Path(f"/proc/{started.pid}/task")
                children = [(task / "children").read_text() for task in tasks.iterdir()]
                self.assertEqual("".join(children).strip(), "")
                self.assertEqual(
                    Path(f"/proc/{started.pid}/exe").resolve().parent.parent,
                    Path(self.cache.name).resolve(),
                )

    def test_each_role_reserves_few_addresses(self):
        """Guards against threads that reserve most of a limit on address space."""
        cluster = Cluster(gateways=1, controls=1)
        for process in cluster.controls + cluster.gateways:
            with self.subTest(process.role), self.run_role(process) as started:
                self.assertLessEqual(read_peak_mb(started.pid), ADDRESS_SPACE_MB)

    @contextmanager
    def run_role(self, process):
        """Run one role until the block ends; yield its process once it listens."""
        path = process.folder / f"{process.name}.toml"
        process.write_settings(path)
        command = [PROGRAM, process.role, str(path)]
        started = subprocess.Popen(
            command, env=self.environment, stderr=subprocess.DEVNULL
        )
        try:
            self.wait_for_listener(process.settings[process.role])
            yield started
        finally:
            started.terminate()
            self.assertEqual(started.wait(timeout=20), 0)

    def wait_for_listener(self, settings):
        port = settings.get("operators", settings.get("announce"))["port"]
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=1)
            except urllib.error.HTTPError:
                return
            except OSError:
                time.sleep(0.1)
            else:
                return
        self.fail(f"no listener on port {port}")
