"""Settings files of all formats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.interfaces import load_extensions
from geraniumbend.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from geraniumbend.settings import Settings


def load_settings_file(path: Path) -> Settings:
    """Read and check a settings file, also one of another interface.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; names file, line and key.
    """
    # Deployments with TOML files do not import the extensions.
    if path.suffix != ".toml":
        load_extensions()
    return load_settings(path)
