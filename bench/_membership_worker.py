"""Hosts some gateways' memberships for the membership experiment."""

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

RENEW_S = 3.0
WATCH_PERIOD_S = 0.01
WATCH_LIMIT_S = 12.0


class Node:
    """One gateway's membership with its sockets."""

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
        """Join and begin to renew the leases of the node's backend servers."""
        await self.rpc.start()
        await self.membership.start()
        self.renew()
        self.timers.every(RENEW_S, self.renew, 0.3)

    def renew(self) -> None:
        """Announce all backend servers with a load that changes."""
        self._renewals += 1
        for number, server_id in enumerate(self.servers):
            self.announce(server_id, (self._renewals * (number + 3)) % 7)

    def announce(self, server_id: str, in_flight: int) -> None:
        """Announce one backend server."""
        labels = {"app": "classes", "tier": "a"}
        server = BackendServer(
            server_id, "127.0.0.1", 9, "domain-1", labels, 6, 220, incarnation=1
        )
        self.membership.announce(Announcement(server, in_flight))


def take_sample(nodes: list[Node]) -> dict[str, Any]:
    """Return processor time, bytes sent and clock of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "bytes": [node.membership.dump()["bytes_sent"] for node in nodes],
        "at": time.monotonic(),
    }


async def watch(nodes: list[Node], live: int, servers: int) -> dict[str, Any]:
    """Return when every node saw a number of live gateways and backend servers."""
    limit = time.monotonic() + WATCH_LIMIT_S
    waiting = list(nodes)
    while waiting and time.monotonic() < limit:
        waiting = [
            node
            for node in waiting
            if node.membership.live_gateways() != live
            or len(node.membership.servers()) != servers
        ]
        if waiting:
            await asyncio.sleep(WATCH_PERIOD_S)
    return {"at": time.monotonic(), "missing": len(waiting)}


async def serve() -> None:
    """Start the nodes of the first input line and answer commands."""
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
        answer: dict[str, Any] = {"at": time.monotonic()}
        if command["do"] == "sample":
            answer = take_sample(nodes)
        elif command["do"] == "watch":
            answer = await watch(nodes, command["live"], command["servers"])
        elif command["do"] == "announce":
            nodes[0].servers.append(command["server"])
            nodes[0].announce(command["server"], 0)
        elif command["do"] == "depart":
            nodes[0].servers.remove(command["server"])
            nodes[0].membership.deregister(command["server"])
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    uvloop.run(serve())
