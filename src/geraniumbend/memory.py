"""Bounds on the address space that threads reserve."""

from __future__ import annotations

from geraniumbend._memory import limit_address_space, limit_arenas

__all__ = ["limit_address_space", "limit_arenas"]
