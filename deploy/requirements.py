"""Prints the dependencies of the program, one per line."""

from __future__ import annotations

import tomllib
from pathlib import Path

project = tomllib.loads(Path("pyproject.toml").read_text(encoding="utf-8"))
print("\n".join(project["project"]["dependencies"]))
