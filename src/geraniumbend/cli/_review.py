"""Command that checks a configuration file before it is sent."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from cyclopts import Parameter

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import request
from geraniumbend.cli._configuration import Api, read_document, read_text
from geraniumbend.errors import ConfigurationError, ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.configuration import Review
    from geraniumbend.model import Configuration

# Exit codes besides 0 and those of errors that end the command.
WARNINGS_EXIT_CODE = 11
CHANGES_EXIT_CODE = 12
LIVE = "live"


@commands.register("check-config")
def check_configuration(
    file: Path,
    *,
    against: str = "",
    prune: bool = False,
    servers: Path | None = None,
    strict: bool = False,
    fail_on_change: bool = False,
    output_json: Annotated[bool, Parameter(name="--json")] = False,
    api: Api = None,
) -> int:
    """Check a configuration file without sending it.

    Example: geraniumbend check-config classes.toml --against live --strict

    Parameters
    ----------
    file : Path
        TOML file as for apply, or the JSON document of the platform.
    against : str
        "live" compares with the configuration in force, a path with another file.
    prune : bool
        Treat entries that are missing from the tables in the file as deleted.
    servers : Path
        JSON file with the state of a gateway, or a list of servers with server_id and
        labels; selectors are checked against them.
    strict : bool
        Exit with 11 if there are warnings.
    fail_on_change : bool
        Exit with 12 if the file differs from what it is compared with.
    output_json : bool
        Print JSON.
    api : str
        Control hosts, for --against live.

    Returns
    -------
    int
        Exit code; 4 for errors, 11 for warnings with --strict, 12 for differences with
        --fail-on-change.
    """
    if fail_on_change and not against:
        raise ConfigurationError(
            "--fail-on-change has nothing to compare with",
            "add --against live or --against FILE",
        )
    current = read_compared(against, api) if against else None
    known = read_servers(servers) if servers is not None else None
    review = review_file(file, current, prune, known)
    if output_json:
        print_json(review)
    else:
        print_text(review, bool(against))
    if review.errors:
        return ConfigurationError.exit_code
    if strict and review.warnings:
        return WARNINGS_EXIT_CODE
    return CHANGES_EXIT_CODE if fail_on_change and review.changes else 0


def review_file(
    file: Path,
    current: Configuration | None,
    prune: bool,
    servers: dict[str, dict[str, str]] | None,
) -> Review:
    """Return the review of a TOML file, or of a document of another interface.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not valid TOML.
    """
    from geraniumbend.configuration import (
        Finding,
        Review,
        review_document,
        review_replacement,
    )
    from geraniumbend.routing import policies

    names = policies.names()
    read = find_reader(file)
    if read is None:
        document = read_document(file)
        return review_document(document, str(file), names, current, prune, servers)
    try:
        desired = read(read_text(file).encode())
    except (ConfigurationError, ProtocolError) as error:
        return Review([Finding("error", "", error.message, error.remedy)], [], [])
    return review_replacement(desired, names, current, servers)


def find_reader(file: Path) -> Callable[[bytes], Configuration] | None:
    """Return the reader of a document of another interface, None for TOML."""
    from geraniumbend.interfaces import configuration_formats, load_extensions

    load_extensions()
    if file.suffix not in configuration_formats.names():
        return None
    return configuration_formats.get(file.suffix)


def read_compared(against: str, api: str | None) -> Configuration:
    """Return the configuration in force, or that of a file.

    Raises
    ------
    ConfigurationError, ProtocolError
        If the file is invalid.
    UnavailableError
        If no control host answers.
    """
    from geraniumbend.configuration import (
        parse_configuration,
        parse_file,
        perform_operations,
        plan_operations,
    )
    from geraniumbend.model import Configuration

    if against == LIVE:
        return parse_configuration(request("GET", "/v1/configuration", api))
    read = find_reader(Path(against))
    if read is not None:
        return read(read_text(Path(against)).encode())
    content = parse_file(read_text(Path(against)), against)
    # Rules may name groups that only the configuration in force has.
    steps = plan_operations(content, Configuration())
    return perform_operations(Configuration(), steps, 1)


def read_servers(file: Path) -> dict[str, dict[str, str]]:
    """Return labels by server id from a state dump or a list of servers.

    Raises
    ------
    ConfigurationError
        If the file is neither.
    """
    try:
        document: Any = json.loads(read_text(file))
        if isinstance(document, dict) and "membership" in document:
            document = document["membership"]
        if isinstance(document, dict) and "servers" in document:
            document = document["servers"]
        if not isinstance(document, list):
            raise TypeError
        return {
            str(server["server_id"]): {
                str(name): str(value) for name, value in server["labels"].items()
            }
            for server in document
        }
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ConfigurationError(
            f"{file} has no list of servers with server_id and labels",
            "use the output of: geraniumbend state GATEWAY",
        ) from error


def print_json(review: Review) -> None:
    """Print errors, warnings and changes as one JSON document."""
    document = {
        "errors": [finding._asdict() for finding in review.errors],
        "warnings": [finding._asdict() for finding in review.warnings],
        "changes": review.changes,
    }
    print(json.dumps(document, indent=2))


def print_text(review: Review, compared: bool) -> None:
    """Print one line for each finding and each change, then their numbers."""
    for finding in (*review.errors, *review.warnings):
        place = f"{finding.place}: " if finding.place else ""
        print(f"{finding.severity}: {place}{finding.message}; {finding.remedy}")
    for change in review.changes:
        print(describe_change(change))
    numbers = f"{len(review.errors)} errors, {len(review.warnings)} warnings"
    print(numbers + (f", {len(review.changes)} differences" if compared else ""))


def describe_change(change: dict[str, Any]) -> str:
    """Return a line with the fields of an entry that differ."""
    before, after = change["before"], change["after"]
    name = f"{change['kind']} {change['name']}"
    if before is None:
        return f"new: {name} {json.dumps(after)}"
    if after is None:
        return f"deleted: {name}"
    fields = [
        f"{key} {json.dumps(before.get(key))} -> {json.dumps(after.get(key))}"
        for key in dict.fromkeys((*before, *after))
        if before.get(key) != after.get(key)
    ]
    return f"changed: {name} {', '.join(fields)}"
