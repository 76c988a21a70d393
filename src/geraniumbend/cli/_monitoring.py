"""Commands that show the state of running processes."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any

from cyclopts import Parameter

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import read_document, request
from geraniumbend.cli._output import Row, print_rows
from geraniumbend.errors import UnavailableError

# Timeout for reading the state of one gateway, in seconds.
FETCH_TIMEOUT_S = 2.0
GatewayAddresses = Annotated[
    list[str], Parameter(help="Addresses of gateways' announce listeners, ip:port.")
]


@commands.register("state")
def show_state(gateway: str = "", *, part: str = "", api: str | None = None) -> int:
    """Print the state of a process as JSON.

    Parameters
    ----------
    gateway : str
        Announce listener of a gateway, ip:port; empty reads from a control host.
    part : str
        Dotted path of the part to print, for example membership.members.
    api : str
        Control hosts.

    Returns
    -------
    int
        Exit code.
    """
    if gateway:
        state = asyncio.run(fetch_states([gateway]))[gateway]
        if isinstance(state, Exception):
            raise UnavailableError(
                f"gateway {gateway} does not respond: {state}",
                "check the address of its announce listener",
            )
    else:
        state = request("GET", "/v1/state", api)
    for name in filter(None, part.split(".")):
        if not isinstance(state, dict) or name not in state:
            names = ", ".join(state) if isinstance(state, dict) else "none"
            raise UnavailableError(f"state has no part {name!r}", f"use one of {names}")
        state = state[name]
    print(json.dumps(state, indent=2, default=str))
    return 0


@commands.register("top")
def show_top(
    gateways: GatewayAddresses,
    *,
    once: bool = False,
    period_s: float = 1.0,
    output: str = "table",
) -> int:
    """Show the state and traffic of all gateways, refreshed periodically.

    Parameters
    ----------
    gateways : list of str
        Addresses of announce listeners, ip:port.
    once : bool
        Print once and exit.
    period_s : float
        Refresh period in seconds.
    output : str
        table or json.

    Returns
    -------
    int
        Exit code.
    """
    if once:
        states = asyncio.run(fetch_states(gateways))
        print_rows([summarize_gateway(name, s) for name, s in states.items()], output)
        return 0
    asyncio.run(_show_live(gateways, period_s))
    return 0


@commands.register("limits")
def list_limits(gateways: GatewayAddresses, *, output: str = "table") -> int:
    """List the limits that backend servers name, as each gateway knows them.

    Parameters
    ----------
    gateways : list of str
        Addresses of announce listeners, ip:port.
    output : str
        table or json.

    Returns
    -------
    int
        Exit code.
    """
    states = asyncio.run(fetch_states(gateways))
    rows = [
        row for name, state in states.items() for row in list_limit_rows(name, state)
    ]
    print_rows(rows, output)
    return 0


async def fetch_states(gateways: list[str]) -> dict[str, Any]:
    """Read the state of several gateways concurrently.

    Parameters
    ----------
    gateways : list of str
        Addresses of announce listeners, ip:port.

    Returns
    -------
    dict of str to dict or Exception
        State, or the error of reading it, by address.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def fetch(address: str) -> Any:
            async with session.get(f"http://{address}/state") as response:
                response.raise_for_status()
                return await read_document(response)

        states = await asyncio.gather(
            *(fetch(address) for address in gateways), return_exceptions=True
        )
    return dict(zip(gateways, states, strict=True))


def summarize_gateway(address: str, state: Any) -> Row:
    """Return the row of one gateway in the table of ``top``.

    Parameters
    ----------
    address : str
        Address of the announce listener.
    state : dict or Exception
        State from `fetch_states`.

    Returns
    -------
    dict
        Row with the same columns for reachable and unreachable gateways.
    """
    if isinstance(state, Exception):
        state = {}
    pools = state.get("admission", {}).values()
    members = state.get("membership", {}).get("members", [])
    return Row(
        {
            "gateway": address,
            "ready": state.get("ready", "no answer"),
            "revision": state.get("configuration", {}).get("revision", "-"),
            "in flight": state.get("requests_in_flight", "-"),
            "queued": sum(pool["queued"] for pool in pools),
            "refused": sum(pool["refused"] for pool in pools),
            "members alive": sum(member["state"] == "alive" for member in members),
            "servers": len(state.get("membership", {}).get("servers", [])),
            "limited": len(state.get("server_limits", {})),
        }
    )


def list_limit_rows(address: str, state: Any) -> list[Row]:
    """Return the rows of one gateway in the table of ``limits``.

    Parameters
    ----------
    address : str
        Address of the announce listener.
    state : dict or Exception
        State from `fetch_states`.

    Returns
    -------
    list of dict
        One row for each limited server. A gateway that does not respond has one row.
    """
    if isinstance(state, Exception):
        return [_build_limit_row(address, "no answer", {})]
    limits = state.get("server_limits", {})
    return [_build_limit_row(address, name, limits[name]) for name in sorted(limits)]


def _build_limit_row(address: str, server: str, known: dict[str, Any]) -> Row:
    requests = dict(known.get("requests", {}))
    refused = requests.pop("refused", 0)
    return Row(
        {
            "gateway": address,
            "server": server,
            "limit per s": known.get("limit", "-"),
            "cold s": known.get("cold_s", "-"),
            "allocator": known.get("allocator", "-"),
            "heard s ago": known.get("heard_s_ago", "-"),
            "permits": known.get("permits", "-"),
            "sent": sum(requests.values()),
            "refused": refused,
        }
    )


async def _show_live(gateways: list[str], period_s: float) -> None:
    from rich.live import Live
    from rich.table import Table

    with Live(auto_refresh=False, screen=False) as live:
        while True:
            states = await fetch_states(gateways)
            rows = [summarize_gateway(name, state) for name, state in states.items()]
            table = Table(*rows[0])
            for row in rows:
                table.add_row(*(str(value) for value in row.values()))
            live.update(table, refresh=True)
            await asyncio.sleep(period_s)
