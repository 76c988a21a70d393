"""Exception hierarchy of geraniumbend."""

from __future__ import annotations

from geraniumbend._errors import (
    AuthenticationError,
    ConfigurationError,
    ConflictError,
    GeraniumbendError,
    NotLeaderError,
    ProtocolError,
    RefusedError,
    SettingsError,
    StorageError,
    UnavailableError,
)

__all__ = [
    "AuthenticationError",
    "ConfigurationError",
    "ConflictError",
    "GeraniumbendError",
    "NotLeaderError",
    "ProtocolError",
    "RefusedError",
    "SettingsError",
    "StorageError",
    "UnavailableError",
]
