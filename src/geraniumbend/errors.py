"""Exception hierarchy of geraniumbend."""

from __future__ import annotations

from geraniumbend._errors import (
    AddressMissingError,
    AuthenticationError,
    ConfigurationError,
    ConflictError,
    GeraniumbendError,
    ListenError,
    NotLeaderError,
    PortDeniedError,
    PortTakenError,
    ProtocolError,
    RefusedError,
    SettingsError,
    StorageError,
    UnavailableError,
    UnknownDomainError,
)

__all__ = [
    "AddressMissingError",
    "AuthenticationError",
    "ConfigurationError",
    "ConflictError",
    "GeraniumbendError",
    "ListenError",
    "NotLeaderError",
    "PortDeniedError",
    "PortTakenError",
    "ProtocolError",
    "RefusedError",
    "SettingsError",
    "StorageError",
    "UnavailableError",
    "UnknownDomainError",
]
