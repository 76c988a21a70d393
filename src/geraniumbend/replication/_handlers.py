"""RPC methods of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.replication._messages import method_name
from geraniumbend.tasks import spawn_task
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.replication._core import Core
    from geraniumbend.replication._elections import Elections
    from geraniumbend.replication._follower import FollowerRole
    from geraniumbend.replication._leader import LeaderRole
    from geraniumbend.replication._voter import Voter


class Handlers:
    """RPC methods of one replica.

    Parameters
    ----------
    core, leading, elections, voter, following : object
        State, leader part, election part, votes and follower part of the replica.
    require_running : callable
        Raises UnavailableError unless the replica is running.
    """

    def __init__(
        self,
        core: Core,
        leading: LeaderRole,
        elections: Elections,
        voter: Voter,
        following: FollowerRole,
        require_running: Callable[[], None],
    ) -> None:
        self.tasks: list[asyncio.Task[None]] = []
        self._core = core
        self._leading = leading
        self._elections = elections
        self._voter = voter
        self._following = following
        self._require_running = require_running

    def register(self, server: RpcServer) -> None:
        """Register all methods with an RPC server."""
        structs = load_structs("replication")
        methods: dict[str, tuple[Any, Callable[[Any], Awaitable[Any]]]] = {
            "append": (structs.AppendRequest, self._following.append),
            "snapshot": (structs.SnapshotRequest, self._following.receive_snapshot),
            "vote": (structs.VoteRequest, self._voter.handle_vote_request),
            "transfer": (structs.TransferRequest, self._handle_transfer),
        }
        for action, (request_type, respond) in methods.items():
            self._register_struct(server, action, request_type, respond)

        @server.handle(method_name(self._core.shard, "status"))
        async def handle_status(body: bytes) -> bytes:
            self._require_running()
            return encode(self._status())

        @server.handle(method_name(self._core.shard, "propose"))
        async def handle_proposal(body: bytes) -> bytes:
            self._require_running()
            return await self._leading.propose(body)

        @server.handle(method_name(self._core.shard, "barrier"))
        async def handle_barrier(body: bytes) -> bytes:
            self._require_running()
            index = await self._leading.read_barrier()
            return encode(structs.BarrierResponse(index=index))

    async def _handle_transfer(self, request: Any) -> Any:
        core = self._core
        core.check_request(request)
        if request.term == core.term and core.can_vote() and not core.is_leader:
            campaign = self._elections.campaign(is_transfer=True)
            self.tasks = [task for task in self.tasks if not task.done()]
            self.tasks.append(spawn_task(campaign))
        return self._status()

    def _status(self) -> Any:
        core = self._core
        return load_structs("replication").StatusResponse(
            node=core.node,
            term=core.term,
            leader_address=core.leader_address,
            is_leader=self._leading.has_lease(),
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            is_empty=core.is_empty,
            cluster_id=core.members.cluster_id,
        )

    def _register_struct(
        self,
        server: RpcServer,
        action: str,
        request_type: Any,
        respond: Callable[[Any], Awaitable[Any]],
    ) -> None:
        @server.handle(method_name(self._core.shard, action))
        async def handle(body: bytes) -> bytes:
            self._require_running()
            return encode(await respond(decode(request_type, body)))
