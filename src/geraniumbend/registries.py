"""Registries that decorators fill."""

from __future__ import annotations

from geraniumbend._registries import Registry

__all__ = ["Registry"]
