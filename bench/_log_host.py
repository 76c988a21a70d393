"""One host of a replicated log, started as a process by the recovery experiment."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any, NamedTuple

import msgspec
import uvloop

from geraniumbend.adapters.rpc import RpcClients, RpcServer
from geraniumbend.keys import KeyRing
from geraniumbend.replication import Replica
from geraniumbend.settings import ControlSettings
from geraniumbend.timers import LoopTimers

SHARD = "config"
SECRET = b"loopback-experiments-only"


class HostOptions(NamedTuple):
    """Options of one log host.

    Parameters
    ----------
    node : str
        Node name of this host.
    folder : str
        Its data folder.
    voters : dict of str to str
        Peer addresses by node name.
    """

    node: str
    folder: str
    voters: dict[str, str]


class ChangeStateMachine:
    """State machine with a table of values and the numbers of all applied changes."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._applied: list[int] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one change, a JSON list of number, key and value."""
        number, key, value = msgspec.json.decode(command)
        self._values[key] = value
        self._applied.append(number)
        return b""

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.json.encode((self._values, self._applied))

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        self._values, self._applied = msgspec.json.decode(data)


async def _serve(options: HostOptions) -> None:
    keys = KeyRing([(1, SECRET)])
    host, _, port = options.voters[options.node].rpartition(":")
    server = RpcServer(host, int(port), keys)
    state_machine = ChangeStateMachine()
    replica = Replica(
        SHARD,
        options.node,
        options.folder,
        options.voters,
        state_machine,
        RpcClients(keys),
        LoopTimers(),
        ControlSettings(),
    )
    replica.register(server)
    started_s = time.perf_counter()
    await replica.start()
    load_s = time.perf_counter() - started_s

    @server.handle("bench.state")
    async def send_state(body: bytes) -> bytes:
        await replica.read_barrier()
        return state_machine.snapshot()

    @server.handle("bench.dump")
    async def send_dump(body: bytes) -> bytes:
        state: dict[str, Any] = replica.dump()
        return json.dumps({**state, "load_s": load_s}).encode()

    await server.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_serve(msgspec.json.decode(sys.argv[1], type=HostOptions)))
