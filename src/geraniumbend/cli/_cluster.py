"""Commands on members, backups and restores."""

from __future__ import annotations

import json
import uuid
from pathlib import Path

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import request
from geraniumbend.cli._configuration import Api, read_text
from geraniumbend.cli._output import print_rows
from geraniumbend.errors import ConfigurationError


@commands.register("member list")
def list_members(*, output: str = "table", api: Api = None) -> int:
    """List all processes and the members of each log.

    Parameters
    ----------
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    response = request("GET", "/v1/members", api)
    if output == "json":
        print(json.dumps(response, indent=2))
        return 0
    print_rows(response["processes"], output)
    rows = [
        {"log": log, **member}
        for log, members in response["logs"].items()
        for member in members
    ]
    print_rows(rows, output)
    return 0


@commands.register("member add")
def add_member(name: str, address: str, *, api: Api = None) -> int:
    """Add a control host to all logs; it becomes a voter once it has caught up.

    Example: geraniumbend member add control-4 10.20.1.11:7400

    Parameters
    ----------
    name : str
        Node name of the control host.
    address : str
        Peer address of the control host, ip:port.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    request("POST", "/v1/members", api, {"name": name, "address": address})
    print(f"{name} is a member of all logs")
    return 0


@commands.register("member remove")
def remove_member(name: str, *, api: Api = None) -> int:
    """Remove a control host from all logs.

    Parameters
    ----------
    name : str
        Node name of the control host.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    request("DELETE", f"/v1/members/{name}", api)
    print(f"{name} is not a member of any log")
    return 0


@commands.register("backup")
def backup(file: Path, *, api: Api = None) -> int:
    """Write the configuration to a new backup file.

    Parameters
    ----------
    file : Path
        File to create.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    document = request("GET", "/v1/backup", api)
    try:
        with file.open("x", encoding="utf-8") as target:
            json.dump(document, target, indent=2)
    except OSError as error:
        raise ConfigurationError(
            f"{file} cannot be written: {error}", "use a path where no file exists"
        ) from error
    print(f"backup written to {file}")
    return 0


@commands.register("restore")
def restore(file: Path, *, api: Api = None) -> int:
    """Restore a backup into a new, empty cluster.

    Parameters
    ----------
    file : Path
        Backup file.
    api : str
        Control hosts of the new cluster.

    Returns
    -------
    int
        Exit code.
    """
    try:
        document = json.loads(read_text(file))
    except ValueError as error:
        raise ConfigurationError(
            f"{file} is not a backup: {error}",
            "use a file that geraniumbend backup wrote",
        ) from error
    body = {"backup": document, "change_id": str(uuid.uuid4())}
    outcome = request("POST", "/v1/restore", api, body)
    print(f"restored as revision {outcome['revision']}")
    return 0


@commands.register("quarantine list")
def list_quarantine(*, output: str = "table", api: Api = None) -> int:
    """List the requests in quarantine, which crashed backend servers.

    Parameters
    ----------
    output : str
        table or json.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    print_rows(request("GET", "/v1/quarantine", api)["quarantine"], output)
    return 0


@commands.register("quarantine clear")
def clear_quarantine(fingerprint: str, *, api: Api = None) -> int:
    """Remove a request from quarantine on all gateways.

    Parameters
    ----------
    fingerprint : str
        Fingerprint as shown by quarantine list.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    request("DELETE", f"/v1/quarantine/{fingerprint}", api)
    print(f"{fingerprint} cleared")
    return 0
