"""Reports of why a process ends."""

from __future__ import annotations

from geraniumbend._exits import describe_end, report_end, report_unhandled

__all__ = ["describe_end", "report_end", "report_unhandled"]
