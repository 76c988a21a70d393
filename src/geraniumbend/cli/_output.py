"""Tables and JSON output of the commands."""

from __future__ import annotations

import json
from typing import Any

from geraniumbend.errors import ConfigurationError

Row = dict[str, Any]
FORMATS = ("table", "json")


def print_rows(rows: list[Row], output: str) -> None:
    """Print rows as a table or as JSON.

    Parameters
    ----------
    rows : list of dict
        Rows with the same keys.
    output : {"table", "json"}
        Output format.

    Raises
    ------
    ConfigurationError
        If the output format is unknown.
    """
    if output not in FORMATS:
        raise ConfigurationError(
            f"unknown output format {output!r}", "use --output table or --output json"
        )
    if output == "json":
        print(json.dumps(rows, indent=2, default=str))
    else:
        print_table(rows)


def print_table(rows: list[Row]) -> None:
    """Print rows as a plain table.

    Parameters
    ----------
    rows : list of dict
        Rows with the same keys; values are shown as JSON unless they are strings.
    """
    from rich import box
    from rich.console import Console
    from rich.table import Table

    if not rows:
        print("none")
        return
    table = Table(box=box.SIMPLE)
    for name in rows[0]:
        table.add_column(name, overflow="fold")
    for row in rows:
        table.add_row(*(format_value(value) for value in row.values()))
    Console().print(table)


def format_value(value: Any) -> str:
    """Return the text of a table cell."""
    return value if isinstance(value, str) else json.dumps(value, default=str)
