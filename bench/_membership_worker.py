"""Worker process of the membership experiment: runs the membership of some gateways.

It reads JSON commands from standard input, one a line, and writes one response each.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from typing import Any

import uvloop

from geraniumbend.adapters.rpc import RpcClients, RpcServer
from geraniumbend.keys import KeyRing
from geraniumbend.membership import Announcement, Membership
from geraniumbend.model import BackendServer
from geraniumbend.settings import Settings, parse_settings
from geraniumbend.timers import LoopTimers

RENEWAL_PERIOD_S = 3.0
POLL_PERIOD_S = 0.01
WATCH_TIMEOUT_S = 12.0


class Node:
    """Membership of one gateway with its sockets."""

    def __init__(self, settings: Settings, servers: list[str]) -> None:
        keys = KeyRing.from_config(settings.keys)
        listen = settings.peer.listen
        self.rpc = RpcServer(listen.host, listen.port, keys)
        self.timers = LoopTimers()
        self.clients = RpcClients(keys)
        self.membership = Membership.from_config(
            settings, "gateway", self.clients, self.timers
        )
        self.membership.register(self.rpc)
        self.servers = servers
        self._renewals = 0

    async def start(self) -> None:
        """Join the cluster and start to renew the leases of the backend servers."""
        await self.rpc.start()
        await self.membership.start()
        self.renew_leases()
        self.timers.every(RENEWAL_PERIOD_S, self.renew_leases, 0.3)

    def renew_leases(self) -> None:
        """Announce all backend servers, with loads that vary from call to call."""
        self._renewals += 1
        for number, server_id in enumerate(self.servers):
            self.announce(server_id, (self._renewals * (number + 3)) % 7)

    def announce(self, server_id: str, in_flight: int) -> None:
        """Announce one backend server with a number of requests in flight."""
        labels = {"app": "classes", "tier": "a"}
        server = BackendServer(
            server_id, "127.0.0.1", 9, "domain-1", labels, 6, 220, incarnation=1
        )
        self.membership.announce(Announcement(server, in_flight))


def take_sample(nodes: list[Node]) -> dict[str, Any]:
    """Return CPU time of this process, bytes sent by each node, and the time."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "bytes": [node.membership.dump()["bytes_sent"] for node in nodes],
        "at": time.monotonic(),
    }


async def wait_for_view(nodes: list[Node], live: int, servers: int) -> dict[str, Any]:
    """Wait until every node sees the given numbers of live gateways and servers.

    Returns
    -------
    dict
        Time of the end, and number of nodes that still saw other numbers after
        `WATCH_TIMEOUT_S`.
    """
    end_s = time.monotonic() + WATCH_TIMEOUT_S
    waiting = list(nodes)
    while waiting and time.monotonic() < end_s:
        waiting = [
            node
            for node in waiting
            if node.membership.live_gateways() != live
            or len(node.membership.servers()) != servers
        ]
        if waiting:
            await asyncio.sleep(POLL_PERIOD_S)
    return {"at": time.monotonic(), "missing": len(waiting)}


async def serve() -> None:
    """Start the nodes of the first input line, then run a command for each line."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    plan = json.loads(await reader.readline())
    nodes = [
        Node(parse_settings(one["settings"]), one["servers"]) for one in plan["nodes"]
    ]
    for node in nodes:
        await node.start()
    print(json.dumps({"started": len(nodes)}), flush=True)
    while line := await reader.readline():
        command = json.loads(line)
        response: dict[str, Any] = {"at": time.monotonic()}
        if command["do"] == "sample":
            response = take_sample(nodes)
        elif command["do"] == "watch":
            response = await wait_for_view(nodes, command["live"], command["servers"])
        elif command["do"] == "announce":
            nodes[0].servers.append(command["server"])
            nodes[0].announce(command["server"], 0)
        elif command["do"] == "deregister":
            nodes[0].servers.remove(command["server"])
            nodes[0].membership.deregister(command["server"])
        print(json.dumps(response), flush=True)


if __name__ == "__main__":
    uvloop.run(serve())
