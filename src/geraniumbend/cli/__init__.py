"""Command line interface; commands are registered by decorators."""

from __future__ import annotations

from geraniumbend.cli._application import build_application, commands
from geraniumbend.cli._processes import processes

__all__ = ["build_application", "commands", "processes"]
