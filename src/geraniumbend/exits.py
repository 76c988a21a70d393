"""Reports of why a process ends."""

from __future__ import annotations

from geraniumbend._exits import (
    EXHAUSTED_ERRORS,
    describe_end,
    report_end,
    report_unhandled,
)

__all__ = [
    "EXHAUSTED_ERRORS",
    "describe_end",
    "report_end",
    "report_unhandled",
]
