"""Commands that read and change the configuration."""

from __future__ import annotations

import json
import tomllib
import uuid
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import Parameter

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import request
from geraniumbend.cli._output import print_rows
from geraniumbend.errors import ConfigurationError, UnavailableError

Api = Annotated[str | None, Parameter(help="URLs of control hosts, comma-separated.")]
Table = Literal["groups", "rules", "labels", "tenants"]
ListedTable = Literal["groups", "rules", "labels", "tenants", "evacuations"]
# Longest time that a control host holds a watch request open, in seconds.
WATCH_WAIT_S = 20


@commands.register("apply")
def apply(
    file: Path,
    *,
    prune: bool = False,
    expect: int | None = None,
    wait: bool = False,
    timeout_s: float = 30.0,
    change_id: str = "",
    api: Api = None,
) -> int:
    """Apply the groups, rules, labels and tenants of a TOML file as one change.

    Example: geraniumbend apply classes.toml --wait

    Parameters
    ----------
    file : Path
        TOML file with [groups.NAME], [rules.NAME], [labels.SERVER] and
        [tenants.NAME] tables; keys of tenants are sent as digests.
    prune : bool
        Delete existing entries that are missing from the tables in the file.
    expect : int
        Refuse the change unless this is the revision in force.
    wait : bool
        Wait until the revision is in force on all live gateways.
    timeout_s : float
        Maximum wait in seconds.
    change_id : str
        UUID of the change; resending the same UUID returns the first outcome.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code; 6 if the revision is not in force on all gateways after the wait.
    """
    body: dict[str, Any] = {"document": read_configuration(file), "prune": prune}
    if expect is not None:
        body["expected_revision"] = expect
    return send_change(
        "POST", "/v1/configuration", body, wait, timeout_s, change_id, api
    )


@commands.register("label")
def label(
    server: str,
    labels: Annotated[
        list[str], Parameter(help="NAME=VALUE sets a label, NAME- hides it.")
    ],
    *,
    wait: bool = False,
    timeout_s: float = 30.0,
    change_id: str = "",
    api: Api = None,
) -> int:
    """Set labels of a backend server; they override the announced labels.

    Example: geraniumbend label classes-3 wave=2 canary-

    Parameters
    ----------
    server : str
        ID of the backend server.
    labels : list of str
        NAME=VALUE sets a label, NAME- hides an announced label.
    wait : bool
        Wait until the revision is in force on all live gateways.
    timeout_s : float
        Maximum wait in seconds.
    change_id : str
        UUID of the change; resending the same UUID returns the first outcome.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    body = {
        "labels": parse_labels(labels),
        "expected_revision": read_revision(api),
    }
    path = f"/v1/labels/{server}"
    return send_change("PUT", path, body, wait, timeout_s, change_id, api)


@commands.register("delete")
def delete(table: Table, name: str, *, change_id: str = "", api: Api = None) -> int:
    """Delete a group, a rule, a tenant, or the labels set on a server.

    Example: geraniumbend delete rules class-lists

    Parameters
    ----------
    table : str
        groups, rules, labels or tenants.
    name : str
        Name of the entry.
    change_id : str
        UUID of the change; resending the same UUID returns the first outcome.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    revision = read_revision(api)
    query = f"expected_revision={revision}&change_id={change_id or uuid.uuid4()}"
    outcome = request("DELETE", f"/v1/{table}/{name}?{query}", api)
    print(f"revision {outcome['revision']} accepted")
    return 0


@commands.register("get")
def get(table: Table, name: str, *, api: Api = None) -> int:
    """Print one entry of the configuration as JSON.

    Parameters
    ----------
    table : str
        groups, rules, labels or tenants.
    name : str
        Name of the entry.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    print(json.dumps(request("GET", f"/v1/{table}/{name}", api), indent=2))
    return 0


@commands.register("list")
def list_entries(table: ListedTable, *, output: str = "table", api: Api = None) -> int:
    """List the groups, rules, labels, tenants or evacuations in force.

    Parameters
    ----------
    table : str
        groups, rules, labels, tenants or evacuations.
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    entries = request("GET", f"/v1/{table}", api)[table]
    if table == "labels":
        rows = [{"server": name, "labels": value} for name, value in entries.items()]
    elif table == "tenants":
        rows = [summarize_tenant(entry) for entry in entries.values()]
    else:
        rows = list(entries.values())
    print_rows(rows, output)
    return 0


@commands.register("diff")
def diff(
    file: Path, *, prune: bool = False, output: str = "table", api: Api = None
) -> int:
    """Show what applying a file would change.

    Parameters
    ----------
    file : Path
        TOML file as for apply.
    prune : bool
        Show existing entries that are missing from the tables in the file as deleted.
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    body = {"document": read_configuration(file), "prune": prune}
    print_rows(request("POST", "/v1/diff", api, body)["changes"], output)
    return 0


@commands.register("history")
def show_history(*, limit: int = 20, output: str = "table", api: Api = None) -> int:
    """List accepted changes, newest first.

    Parameters
    ----------
    limit : int
        Maximum number of changes.
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    print_rows(request("GET", f"/v1/history?limit={limit}", api)["history"], output)
    return 0


@commands.register("watch")
def watch(*, revision: int = 0, count: int = 0, api: Api = None) -> int:
    """Print each accepted change as one line of JSON, as it happens.

    Parameters
    ----------
    revision : int
        Start after this revision; 0 starts after the revision in force.
    count : int
        Exit after this many changes; 0 runs until interrupted.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    last_revision = revision or read_revision(api)
    printed = 0
    while not count or printed < count:
        path = f"/v1/watch?revision={last_revision}&wait_s={WATCH_WAIT_S}"
        response = request("GET", path, api)
        if not response["complete"]:
            raise UnavailableError(
                f"changes after revision {last_revision} are no longer kept",
                "restart from a revision that geraniumbend history lists",
            )
        for change in response["changes"]:
            print(json.dumps(change), flush=True)
            printed += 1
        last_revision = max(last_revision, response["revision"])
    return 0


def send_change(
    method: str,
    path: str,
    body: dict[str, Any],
    wait: bool,
    timeout_s: float,
    change_id: str,
    api: str | None,
) -> int:
    """Send a change and print its outcome.

    All control hosts that are tried get the same change id. If the response of one is
    lost, the next returns the outcome of the first request.

    Parameters
    ----------
    method, path : str
        Method and path of the operators' API.
    body : dict
        Request body without the change id; the function adds it.
    wait : bool
        Whether to wait until the change is in force on all live gateways.
    timeout_s : float
        Maximum wait in seconds.
    change_id : str
        UUID of the change; empty creates a new one.
    api : str or None
        Control hosts.

    Returns
    -------
    int
        Exit code.

    Raises
    ------
    UnavailableError
        If the change is not in force on all gateways after the wait.
    """
    body["change_id"] = change_id or str(uuid.uuid4())
    if wait:
        body["wait_s"] = timeout_s
    outcome = request(method, path, api, body)
    print(f"revision {outcome['revision']} accepted")
    if not wait:
        return 0
    if outcome["missing"]:
        raise UnavailableError(
            f"not in force after {timeout_s:g} s on {', '.join(outcome['missing'])}",
            "they catch up automatically; check their state and log",
        )
    print(f"revision {outcome['revision']} in force on all gateways")
    return 0


def read_revision(api: str | None) -> int:
    """Return the revision in force, as confirmed by a majority of control hosts."""
    revision: int = request("GET", "/v1/configuration", api)["revision"]
    return revision


def read_text(file: Path) -> str:
    """Return the text of a UTF-8 file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read.
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            f"{file} cannot be read: {error}", "check the path and its permissions"
        ) from error


def read_document(file: Path) -> dict[str, Any]:
    """Return the tables of a TOML file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not valid TOML; the message names the line.
    """
    try:
        return tomllib.loads(read_text(file))
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            f"{file} is not valid TOML: {error}", "correct the syntax at that line"
        ) from error


def read_configuration(file: Path) -> dict[str, Any]:
    """Return the tables of a TOML file with digests in place of tenants' keys.

    Raises
    ------
    ConfigurationError
        If the file cannot be read, is not valid TOML, or a key is unusable.
    """
    from geraniumbend.configuration import replace_keys

    return replace_keys(read_document(file), str(file))


def summarize_tenant(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the row of a tenant, with the number of its keys."""
    return {
        "name": entry["name"],
        "keys": len(entry.get("key_digests", ())),
        "importance": entry.get("importance"),
        "rate_per_s": entry.get("rate_per_s", 0.0),
        "burst": entry.get("burst", 0.0),
    }


def parse_labels(arguments: list[str]) -> dict[str, str]:
    """Parse label arguments of the command line.

    Parameters
    ----------
    arguments : list of str
        NAME=VALUE or NAME-.

    Returns
    -------
    dict of str to str
        Values by name; an empty value hides the announced label.

    Raises
    ------
    ConfigurationError
        If an argument has neither form.
    """
    labels: dict[str, str] = {}
    for argument in arguments:
        name, separator, value = argument.partition("=")
        if separator and name and value:
            labels[name] = value
        elif not separator and argument.endswith("-") and len(argument) > 1:
            labels[argument[:-1]] = ""
        else:
            raise ConfigurationError(
                f"label {argument!r} is malformed",
                "write NAME=VALUE, or NAME- to hide it",
            )
    return labels
