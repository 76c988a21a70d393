"""Commands on settings files."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from geraniumbend._reference import list_setting_keys, render_settings
from geraniumbend.cli._application import commands
from geraniumbend.cli._output import Row, print_rows
from geraniumbend.cli._settings_files import load_settings_file
from geraniumbend.settings import Settings

SECRET_KEYS = ("secret", "hash")
HIDDEN = "(hidden)"


@commands.register("check")
def check(settings: Path) -> int:
    """Validate a settings file without starting a process.

    Parameters
    ----------
    settings : Path
        TOML file with the settings.

    Returns
    -------
    int
        Exit code; 3 when the file is invalid.
    """
    loaded = load_settings_file(settings)
    print(f"{settings}: valid settings of {loaded.node.name}")
    return 0


@commands.register("config show")
def show_config(settings: Path, *, output: str = "table") -> int:
    """Print the effective settings and the source of each value.

    Parameters
    ----------
    settings : Path
        TOML file with the settings.
    output : str
        table or json.

    Returns
    -------
    int
        Exit code.
    """
    loaded = load_settings_file(settings)
    document = tomllib.loads(settings.read_text(encoding="utf-8"))
    rows = [
        Row({"key": name, "value": value, "source": _find_source(document, name)})
        for name, value in list_effective_settings(loaded)
    ]
    print_rows(rows, output)
    return 0


@commands.register("config reference")
def print_reference() -> int:
    """Print every settings key with type, default and meaning.

    Returns
    -------
    int
        Exit code.
    """
    print(render_settings(), end="")
    return 0


def list_effective_settings(settings: Settings) -> list[tuple[str, Any]]:
    """Return all effective settings; secrets are masked.

    Parameters
    ----------
    settings : Settings
        Loaded settings.

    Returns
    -------
    list of (str, object)
        Full key and value.
    """
    document = msgspec.to_builtins(settings)
    return [
        (key.name, _look_up(document, key.name))
        for key in list_setting_keys()
        if "[]" not in key.name
    ] + _list_array_tables(document)


def _list_array_tables(document: dict[str, Any]) -> list[tuple[str, Any]]:
    rows: list[tuple[str, Any]] = []
    tables = {"keys": document["keys"], "control.tokens": document["control"]["tokens"]}
    for name, entries in tables.items():
        for number, entry in enumerate(entries):
            for key, value in entry.items():
                shown = HIDDEN if key in SECRET_KEYS else value
                rows.append((f"{name}[{number}].{key}", shown))
    return rows


def _look_up(document: Any, name: str) -> Any:
    for part in name.split("."):
        if document is None:
            return None
        document = document[part]
    return document


def _find_source(document: Any, name: str) -> str:
    if "[" in name:
        return "file"
    for part in name.split("."):
        if not isinstance(document, dict) or part not in document:
            return "default"
        document = document[part]
    return "file"
