"""Changes of the members of all logs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from geraniumbend.errors import ConfigurationError, NotLeaderError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.ports import RpcCaller
    from geraniumbend.replication import Replica

CHANGE_TIMEOUT_S = 20.0


class LogMembers:
    """Adds and removes members of all logs; each change is made by the log's leader.

    Parameters
    ----------
    replicas : sequence of Replica
        Replicas of this process.
    clients : RpcCaller
        Client for RPCs to other control hosts.
    """

    def __init__(self, replicas: Sequence[Replica], clients: RpcCaller) -> None:
        self._replicas = {replica.shard: replica for replica in replicas}
        self._clients = clients

    def register(self, server: RpcServer) -> None:
        """Register the RPC handler for changes that other control hosts forward."""
        server.handle("control.change_member")(self._serve)

    def describe(self) -> dict[str, Any]:
        """Return the members of each log according to the local replicas."""
        return {
            shard: [member._asdict() for member in replica.members()]
            for shard, replica in self._replicas.items()
        }

    async def add(self, name: str, address: str) -> None:
        """Add a control host to all logs that do not have it at this address yet."""
        for shard, replica in self._replicas.items():
            known = {member.name: member.address for member in replica.members()}
            if known.get(name) != address:
                await self._change([shard, name, address])

    async def remove(self, name: str) -> None:
        """Remove a control host from all logs that have it.

        Raises
        ------
        ConfigurationError
            If no log has a member of this name.
        """
        found = False
        for shard, replica in self._replicas.items():
            if any(member.name == name for member in replica.members()):
                found = True
                await self._change([shard, name, ""])
        if not found:
            raise ConfigurationError(
                f"no log has a member {name!r}", "list the members and correct the name"
            )

    async def _change(self, change: list[str]) -> None:
        body = msgspec.json.encode(change)
        try:
            await self._serve(body)
        except NotLeaderError as error:
            if not error.leader:
                raise
            await self._clients.call(
                error.leader, "control.change_member", body, CHANGE_TIMEOUT_S
            )

    async def _serve(self, body: bytes) -> bytes:
        shard, name, address = msgspec.json.decode(body, type=tuple[str, str, str])
        replica = self._replicas[shard]
        if address:
            await replica.add_member(name, address)
        else:
            await replica.remove_member(name)
        return b""
