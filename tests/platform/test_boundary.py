from __future__ import annotations

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "geraniumbend"
# Names of the platform's protocol and settings, which only the adapter may contain.
NAMES = re.compile(
    r"Geraniumbend-[A-Z]|/-/|path-prefix|max-attempts|traffic-split|node-name"
    r"|internal-ports|heartbeat-url|target-latency|probes-per-s|warmup-left"
)
# Limit on the adapter's lines of code without documentation, since it only translates.
MAX_LINES = 600


class BoundaryTest(unittest.TestCase):
    def test_only_the_adapter_contains_names_of_the_platform(self):
        for path in SOURCE.rglob("*.py"):
            if path.parent.name != "platform":
                found = NAMES.findall(path.read_text())
                self.assertEqual(found, [], str(path))

    def test_adapter_stays_small(self):
        folder = SOURCE / "platform"
        lines = sum(count_code(path) for path in folder.glob("*.py"))
        self.assertLess(lines, MAX_LINES)


def count_code(path):
    """Return the lines that hold code, without comments and docstrings."""
    text = re.sub(r'"""(?:.|\n)*?"""', "", path.read_text())
    lines = (line.strip() for line in text.splitlines())
    return sum(bool(line) and not line.startswith("#") for line in lines)
