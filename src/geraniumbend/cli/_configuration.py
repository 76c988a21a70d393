from __future__ import annotations

import tomllib
import uuid
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import request
from geraniumbend.errors import ConfigurationError

Api = Annotated[str | None, Parameter(help="URLs of control hosts, comma-separated.")]


@commands.register("apply")
def apply(file: Path, *, api: Api = None) -> int:
    """Apply groups and rules of a TOML file.

    Parameters
    ----------
    file : Path
        TOML file with [groups.NAME] and [rules.NAME] tables.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            f"{file} cannot be read: {error}", "correct the file"
        ) from error
    body: dict[str, Any] = {"document": document, "change_id": str(uuid.uuid4())}
    outcome = request("POST", "/v1/configuration", api, body)
    print(f"revision {outcome['revision']} accepted")
    return 0
