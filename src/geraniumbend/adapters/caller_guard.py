"""Account of what callers hold, shared by all listeners of a process."""

from __future__ import annotations

from geraniumbend.adapters._caller_guard import CallerGuard

__all__ = ["CallerGuard"]
