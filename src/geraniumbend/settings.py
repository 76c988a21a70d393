"""Settings of all roles, read from TOML."""

from __future__ import annotations

from geraniumbend._settings import (
    ControlSettings,
    GatewaySettings,
    KeySettings,
    ListenSettings,
    NodeSettings,
    PeerSettings,
    Settings,
    TlsSettings,
    TokenSettings,
    load_settings,
    parse_settings,
    read_share,
    settings_formats,
)

__all__ = [
    "ControlSettings",
    "GatewaySettings",
    "KeySettings",
    "ListenSettings",
    "NodeSettings",
    "PeerSettings",
    "Settings",
    "TlsSettings",
    "TokenSettings",
    "load_settings",
    "parse_settings",
    "read_share",
    "settings_formats",
]
