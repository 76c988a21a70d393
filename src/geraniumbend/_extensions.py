"""Packages that register further interfaces and formats of files."""

from __future__ import annotations

from importlib import import_module

EXTENSIONS = ("geraniumbend.platform",)


def load_extensions() -> None:
    """Import the packages that register interfaces and formats of files."""
    for name in EXTENSIONS:
        import_module(name)
