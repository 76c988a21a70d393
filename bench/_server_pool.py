from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import uvloop

from bench._backend_server import BackendServerStandIn
from geraniumbend.errors import UnavailableError
from geraniumbend.model import BackendServer

# Stand-ins of one process; more would wait for its core at a few hundred requests/s.
SERVERS_PER_PROCESS = 5
START_TIMEOUT_S = 15.0


class ServerPool:
    """Stand-in backend servers in a few processes.

    Parameters
    ----------
    count : int
        Number of servers.
    slots : int
        Slots of each.
    domains : int, default=3
        Failure domains that they are spread over.
    """

    def __init__(self, count: int, slots: int, domains: int = 3) -> None:
        self.count = count
        self.slots = slots
        self.domains = domains
        self.servers: dict[str, BackendServer] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._owners: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> ServerPool:
        """Start the servers."""
        starts = range(0, self.count, SERVERS_PER_PROCESS)
        try:
            await asyncio.gather(*(self._start(first) for first in starts))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the processes; each ends when its input is closed."""
        for process in self._processes:
            assert process.stdin is not None
            process.stdin.close()
        for process in self._processes:
            try:
                await asyncio.wait_for(process.wait(), 3)
            except TimeoutError:
                process.kill()
                await process.wait()

    async def set(self, server_id: str, **values: Any) -> None:
        """Change attributes of one stand-in."""
        await self._ask(server_id, {"set": values})

    async def read(self, server_id: str) -> dict[str, Any]:
        """Return the counters of one stand-in."""
        return await self._ask(server_id, {})

    async def _start(self, first: int) -> None:
        last = min(self.count, first + SERVERS_PER_PROCESS)
        names = [f"server-{number}" for number in range(first, last)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench._server_pool",
            str(self.slots),
            *names,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes.append(process)
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise UnavailableError("stand-in servers did not start", "see their output")
        for number, (name, port) in enumerate(json.loads(line).items(), start=first):
            domain = f"domain-{number % self.domains}"
            self.servers[name] = BackendServer(
                name, "127.0.0.1", port, domain, {"app": "load"}, self.slots
            )
            self._owners[name] = process

    async def _ask(self, server_id: str, message: dict[str, Any]) -> dict[str, Any]:
        process = self._owners[server_id]
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps({"server": server_id, **message}).encode())
        process.stdin.write(b"\n")
        answer: dict[str, Any] = json.loads(await process.stdout.readline())
        return answer


async def _serve(slots: int, names: list[str]) -> None:
    servers = {name: BackendServerStandIn(name, {}, slots) for name in names}
    for server in servers.values():
        await server.start()
    print(json.dumps({name: server.port for name, server in servers.items()}))
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        message = json.loads(line)
        server = servers[message["server"]]
        for name, value in message.get("set", {}).items():
            setattr(server, name, value)
        counters = {
            "runs": len(server.runs),
            "probes": server.probes,
            "in_flight": server.in_flight,
        }
        print(json.dumps(counters))
        sys.stdout.flush()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1]), sys.argv[2:]))
