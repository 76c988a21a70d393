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
Table = Literal["groups", "rules", "labels"]
POLL_S = 20


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
    """Apply groups, rules and labels of a TOML file as one change.

    Example: geraniumbend apply classes.toml --wait

    Parameters
    ----------
    file : Path
        TOML file with [groups.NAME], [rules.NAME] and [labels.SERVER] tables.
    prune : bool
        Delete entries of the file's tables that the file does not have.
    expect : int
        Refuse the change unless this revision is in force.
    wait : bool
        Wait until all live gateways have the revision in force.
    timeout_s : float
        Seconds to wait at most.
    change_id : str
        UUID of the change; the same one gives the first outcome again.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code; 6 when gateways are missing after the wait.
    """
    body: dict[str, Any] = {"document": read_document(file), "prune": prune}
    if expect is not None:
        body["expected_revision"] = expect
    return send_change(
        "POST", "/v1/configuration", body, wait, timeout_s, change_id, api
    )


@commands.register("label")
def label(
    server: str,
    labels: Annotated[list[str], Parameter(help="NAME=VALUE sets, NAME- hides.")],
    *,
    wait: bool = False,
    timeout_s: float = 30.0,
    change_id: str = "",
    api: Api = None,
) -> int:
    """Set labels of a backend server; they win over announced ones.

    Example: geraniumbend label classes-3 wave=2 canary-

    Parameters
    ----------
    server : str
        Id of the backend server.
    labels : list of str
        NAME=VALUE sets a label, NAME- hides an announced one.
    wait : bool
        Wait until all live gateways have the revision in force.
    timeout_s : float
        Seconds to wait at most.
    change_id : str
        UUID of the change; the same one gives the first outcome again.
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
    """Delete a group, a rule, or the labels that operators set on a server.

    Example: geraniumbend delete rules class-lists

    Parameters
    ----------
    table : str
        groups, rules or labels.
    name : str
        Name of the entry.
    change_id : str
        UUID of the change; the same one gives the first outcome again.
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
        groups, rules or labels.
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
def list_entries(table: Table, *, output: str = "table", api: Api = None) -> int:
    """List groups, rules or labels in force.

    Parameters
    ----------
    table : str
        groups, rules or labels.
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
        Count entries of the file's tables that the file does not have as deleted.
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    body = {"document": read_document(file), "prune": prune}
    print_rows(request("POST", "/v1/diff", api, body)["changes"], output)
    return 0


@commands.register("history")
def show_history(*, limit: int = 20, output: str = "table", api: Api = None) -> int:
    """List accepted changes, newest first.

    Parameters
    ----------
    limit : int
        Changes to list at most.
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
        Start after this revision; 0 starts with the present one.
    count : int
        End after this many changes; 0 never ends.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    known = revision or read_revision(api)
    printed = 0
    while not count or printed < count:
        path = f"/v1/watch?revision={known}&wait_s={POLL_S}"
        answer = request("GET", path, api)
        if not answer["complete"]:
            raise UnavailableError(
                f"changes after revision {known} are no longer kept",
                "start again from the revision that geraniumbend history shows",
            )
        for change in answer["changes"]:
            print(json.dumps(change), flush=True)
            printed += 1
        known = max(known, answer["revision"])
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

    The change id is chosen once, so that a second control host that is asked after a
    lost answer gives the first outcome.

    Parameters
    ----------
    method, path : str
        Method and path of the operators' API.
    body : dict
        Body without change id.
    wait : bool
        Whether to wait until all gateways have it in force.
    timeout_s : float
        Seconds to wait at most.
    change_id : str
        UUID, or empty for a new one.
    api : str or None
        Control hosts.

    Returns
    -------
    int
        Exit code.

    Raises
    ------
    UnavailableError
        If gateways are missing after the wait.
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
            "they catch up by themselves; look at their state and log",
        )
    print(f"revision {outcome['revision']} in force on all gateways")
    return 0


def read_revision(api: str | None) -> int:
    """Return the revision in force, confirmed by a majority."""
    revision: int = request("GET", "/v1/configuration", api)["revision"]
    return revision


def read_text(file: Path) -> str:
    """Return the text of an operator's file.

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
    """Return the tables of an operator's TOML file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is no TOML; names the line.
    """
    try:
        return tomllib.loads(read_text(file))
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            f"{file} is no TOML: {error}", "correct the syntax at that place"
        ) from error


def parse_labels(words: list[str]) -> dict[str, str]:
    """Parse labels of the command line.

    Parameters
    ----------
    words : list of str
        NAME=VALUE or NAME-.

    Returns
    -------
    dict of str to str
        Values by name; an empty value hides the announced label.

    Raises
    ------
    ConfigurationError
        If a word has neither form.
    """
    labels: dict[str, str] = {}
    for word in words:
        name, sign, value = word.partition("=")
        if sign and name and value:
            labels[name] = value
        elif not sign and word.endswith("-") and len(word) > 1:
            labels[word[:-1]] = ""
        else:
            raise ConfigurationError(
                f"label {word!r} is malformed", "write NAME=VALUE, or NAME- to hide it"
            )
    return labels
