"""Types of configuration and of backend servers that all parts share."""

from __future__ import annotations

from geraniumbend._model import (
    BackendServer,
    Configuration,
    Group,
    OrderSettings,
    RetrySettings,
    Rule,
    RuleMatch,
)

__all__ = [
    "BackendServer",
    "Configuration",
    "Group",
    "OrderSettings",
    "RetrySettings",
    "Rule",
    "RuleMatch",
]
