"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from geraniumbend._registries import Registry

__all__ = ["Registry"]
