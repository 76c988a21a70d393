"""Reference pages generated from the declarations in the code."""

from __future__ import annotations

import pkgutil
from importlib import import_module
from typing import Any, NamedTuple

import msgspec

import geraniumbend
from geraniumbend import errors
from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import declared_events
from geraniumbend.settings import Settings


class SettingKey(NamedTuple):
    """One key of the settings file.

    Parameters
    ----------
    name : str
        Dotted name from the root of the file.
    kind : str
        Name of the type.
    default : object
        Default value; `msgspec.NODEFAULT` when the key is required.
    description : str
        Help text.
    """

    name: str
    kind: str
    default: Any
    description: str


def list_setting_keys(kind: Any = Settings, prefix: str = "") -> list[SettingKey]:
    """Return all keys of the settings file, in order of declaration.

    Parameters
    ----------
    kind : type, default=Settings
        Settings table to list.
    prefix : str, default=""
        Name of the table with a trailing dot.

    Returns
    -------
    list of SettingKey
        Keys of the table and of the tables below it.
    """
    keys: list[SettingKey] = []
    for field in msgspec.structs.fields(kind):
        plain, description = _strip_annotation(field.type)
        name = prefix + field.encode_name
        tables = _find_tables(plain)
        if tables:
            suffix = "[]." if _is_list(plain) else "."
            for table in tables:
                keys.extend(list_setting_keys(table, name + suffix))
            continue
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        keys.append(SettingKey(name, _name_type(plain), default, description))
    return keys


def render_settings() -> str:
    """Return the reference page of the settings file."""
    lines = [
        "# Settings",
        "",
        "Made by `python tools/reference.py` from `geraniumbend.settings`.",
        "",
        "| key | type | default | meaning |",
        "|---|---|---|---|",
    ]
    for key in list_setting_keys():
        required = key.default is msgspec.NODEFAULT
        default = "required" if required else f"`{_format_default(key.default)}`"
        lines.append(f"| `{key.name}` | {key.kind} | {default} | {key.description} |")
    return "\n".join(lines) + "\n"


def render_events() -> str:
    """Return the catalogue of log events."""
    import_all_modules()
    lines = [
        "# Log events",
        "",
        "Made by `python tools/reference.py` from the declarations in the code. Each",
        "log line is a JSON object with `time`, `level`, `node`, `event` (the number),",
        "`name` and the fields of the event.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {event.number} | `{event.name}` | {event.level} | {event.description} |"
        for event in declared_events()
    ]
    return "\n".join(lines) + "\n"


def render_errors() -> str:
    """Return the reference page of error kinds and exit codes."""
    kinds = [
        kind
        for kind in vars(errors).values()
        if isinstance(kind, type) and issubclass(kind, GeraniumbendError)
    ]
    lines = [
        "# Errors and exit codes",
        "",
        "Made by `python tools/reference.py` from `geraniumbend.errors`. Exit code 0",
        "means success, 2 wrong usage, 130 interrupted by the operator, 70 an error",
        "of the program itself, 71 that the system refused memory, threads,",
        "descriptors or another resource.",
        "",
        "| exit code | kind | status in the operators' API | meaning |",
        "|---|---|---|---|",
    ]
    for kind in sorted(kinds, key=lambda kind: (kind.exit_code, kind.__name__)):
        summary = (kind.__doc__ or "").strip().splitlines()[0]
        row = (
            f"| {kind.exit_code} | `{kind.__name__}` | {kind.http_status} | {summary} |"
        )
        lines.append(row)
    return "\n".join(lines) + "\n"


def import_all_modules() -> None:
    """Import every module of the package, so that all declarations are known."""
    for module in pkgutil.walk_packages(geraniumbend.__path__, "geraniumbend."):
        if not module.name.endswith("__main__"):
            import_module(module.name)


def _strip_annotation(kind: Any) -> tuple[Any, str]:
    description = ""
    for item in getattr(kind, "__metadata__", ()):
        description = getattr(item, "description", None) or description
    while hasattr(kind, "__metadata__"):
        kind = kind.__origin__
    return kind, description


def _find_tables(kind: Any) -> list[Any]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return [kind]
    tables: list[Any] = []
    for part in getattr(kind, "__args__", ()):
        tables.extend(_find_tables(part))
    return tables


def _is_list(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is list


def _name_type(kind: Any) -> str:
    return (
        kind.__name__ if isinstance(kind, type) and not _is_generic(kind) else str(kind)
    )


def _is_generic(kind: Any) -> bool:
    return bool(getattr(kind, "__args__", ()))


def _format_default(value: Any) -> str:
    return msgspec.json.encode(value).decode()
