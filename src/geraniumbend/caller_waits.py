"""How long a request waits, and when a refused caller returns."""

from __future__ import annotations

from geraniumbend._caller_waits import (
    compute_max_wait,
    estimate_wait,
    limit_return,
    may_begin_to_wait,
    spread_return,
)

__all__ = [
    "compute_max_wait",
    "estimate_wait",
    "limit_return",
    "may_begin_to_wait",
    "spread_return",
]
