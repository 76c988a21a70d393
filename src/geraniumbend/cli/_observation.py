from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any

from cyclopts import Parameter

from geraniumbend.cli._application import commands
from geraniumbend.cli._client import request
from geraniumbend.cli._output import Row, print_rows
from geraniumbend.errors import UnavailableError

FETCH_TIMEOUT_S = 2.0
Hosts = Annotated[
    list[str], Parameter(help="Announce listeners of gateways, ip:port each.")
]


@commands.register("state")
def show_state(gateway: str = "", *, part: str = "", api: str | None = None) -> int:
    """Print the state of a process as JSON.

    Parameters
    ----------
    gateway : str
        Announce listener of a gateway, ip:port; a control host when empty.
    part : str
        Only this part, with dots, for example membership.members.
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
                f"gateway {gateway} does not answer: {state}",
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
    gateways: Hosts, *, once: bool = False, period_s: float = 1.0, output: str = "table"
) -> int:
    """Show what all gateways do, once a second.

    Parameters
    ----------
    gateways : list of str
        Announce listeners, ip:port each.
    once : bool
        Print once and end.
    period_s : float
        Seconds between two reads.
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
    asyncio.run(_watch(gateways, period_s))
    return 0


async def fetch_states(gateways: list[str]) -> dict[str, Any]:
    """Read the state of several gateways at the same time.

    Parameters
    ----------
    gateways : list of str
        Announce listeners, ip:port each.

    Returns
    -------
    dict of str to dict or Exception
        State by address, or why it could not be read.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def fetch(address: str) -> Any:
            async with session.get(f"http://{address}/state") as answer:
                answer.raise_for_status()
                return await answer.json()

        states = await asyncio.gather(
            *(fetch(address) for address in gateways), return_exceptions=True
        )
    return dict(zip(gateways, states, strict=True))


def summarize_gateway(address: str, state: Any) -> Row:
    """Return one row of the live view.

    Parameters
    ----------
    address : str
        Announce listener.
    state : dict or Exception
        State from `fetch_states`.

    Returns
    -------
    dict
        Row with the same columns for reachable and unreachable gateways.
    """
    if isinstance(state, Exception):
        state = {}
    lanes = state.get("admission", {}).values()
    members = state.get("membership", {}).get("members", [])
    return Row(
        {
            "gateway": address,
            "ready": state.get("ready", "no answer"),
            "revision": state.get("configuration", {}).get("revision", "-"),
            "in flight": state.get("requests_in_flight", "-"),
            "queued": sum(lane["queued"] for lane in lanes),
            "refused": sum(lane["refused"] for lane in lanes),
            "members alive": sum(member["state"] == "alive" for member in members),
            "servers": len(state.get("membership", {}).get("servers", [])),
        }
    )


async def _watch(gateways: list[str], period_s: float) -> None:
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
