"""Protocols between a cluster and its callers, backend servers and operators."""

from __future__ import annotations

from geraniumbend._extensions import load_extensions
from geraniumbend._interfaces import (
    ControlServices,
    Interface,
    Listener,
    configuration_formats,
    find_interface,
    interfaces,
)

__all__ = [
    "ControlServices",
    "Interface",
    "Listener",
    "configuration_formats",
    "find_interface",
    "interfaces",
    "load_extensions",
]
