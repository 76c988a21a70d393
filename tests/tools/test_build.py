from __future__ import annotations

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parents[2] / "deploy/build.sh"
# Stands in for Python: names the machine's kind and records what is installed.
PYTHON = """\
#!/bin/sh
case "$*" in
    *EXT_SUFFIX*) echo "$KIND" ;;
    *"pip install"*) echo "$KIND" >> installed ;;
esac
"""


class BuildTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "deploy").mkdir()
        shutil.copy(SCRIPT, self.folder / "deploy/build.sh")
        (self.folder / "src/geraniumbend").mkdir(parents=True)
        (self.folder / "src/geraniumbend/__init__.py").write_text("")
        (self.folder / "pyproject.toml").write_text("")
        os.utime(self.folder / "pyproject.toml", (1, 1))
        (self.folder / "bin").mkdir()
        (self.folder / "bin/python3").write_text(PYTHON)
        (self.folder / "bin/python3").chmod(0o755)

    def build(self, kind):
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=self.folder,
            env={"PATH": path, "KIND": kind},
            check=True,
        )
        return (self.folder / "installed").read_text().split()

    def test_libraries_of_another_kind_of_machine_are_replaced(self):
        """Guards against processes that end because their libraries are foreign."""
        self.assertEqual(self.build(".aarch64.so"), [".aarch64.so"])
        (self.folder / "target/deps/foreign.so").write_text("")
        self.assertEqual(self.build(".aarch64.so"), [".aarch64.so"])
        self.assertEqual(self.build(".x86_64.so"), [".aarch64.so", ".x86_64.so"])
        self.assertFalse((self.folder / "target/deps/foreign.so").exists())
        package = self.folder / "target/deps/geraniumbend/__init__.py"
        self.assertTrue(package.exists())
