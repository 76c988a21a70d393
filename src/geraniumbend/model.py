"""Types of the configuration and of backend servers, shared by all packages."""

from __future__ import annotations

from geraniumbend._model import (
    BackendServer,
    CallerLimits,
    Configuration,
    Group,
    OrderSettings,
    RetrySettings,
    Rule,
    RuleMatch,
    SplitPart,
    Tenant,
    digest_key,
)

__all__ = [
    "BackendServer",
    "CallerLimits",
    "Configuration",
    "Group",
    "OrderSettings",
    "RetrySettings",
    "Rule",
    "RuleMatch",
    "SplitPart",
    "Tenant",
    "digest_key",
]
