"""Tasks that run beside their caller."""

from __future__ import annotations

from geraniumbend._tasks import spawn_task

__all__ = ["spawn_task"]
