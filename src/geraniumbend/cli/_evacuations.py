"""Command that evacuates a failure domain."""

from __future__ import annotations

from typing import Any

from geraniumbend.cli._application import commands
from geraniumbend.cli._configuration import Api, send_change


@commands.register("evacuate")
def evacuate(
    domain: str,
    *,
    end: bool = False,
    wait: bool = False,
    timeout_s: float = 30.0,
    api: Api = None,
) -> int:
    """Send no more requests to the backend servers of a failure domain.

    The servers keep running and get requests again with --end. Repetition has no
    effect.

    Example: geraniumbend evacuate rack-3 --wait

    Parameters
    ----------
    domain : str
        Failure domain.
    end : bool
        End the evacuation.
    wait : bool
        Wait until the revision is in force on all live gateways.
    timeout_s : float
        Maximum wait in seconds.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code; 6 if the revision is not in force on all gateways after the wait.
    """
    body: dict[str, Any] = {"domain": domain, "active": not end}
    return send_change("POST", "/v1/evacuations", body, wait, timeout_s, "", api)
