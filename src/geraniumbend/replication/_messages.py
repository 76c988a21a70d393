"""Calls between replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.replication._core import MESSAGE_VERSION
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.replication._core import Core


def method_name(shard: str, action: str) -> str:
    """Return the RPC method of an action on a log."""
    return f"replication.{shard}.{action}"


async def call_peer(
    core: Core,
    address: str,
    action: str,
    request: Any,
    response_type: str,
    timeout_s: float,
) -> Any:
    """Call an action on a peer and return its decoded response.

    Raises
    ------
    GeraniumbendError
        If the peer cannot be reached or refuses the request.
    """
    method = method_name(core.shard, action)
    body = encode(request) if request is not None else b""
    data = await core.clients.call(address, method, body, timeout_s)
    return decode(getattr(load_structs("replication"), response_type), data)


def build_request(core: Core, request_type: str, **fields: object) -> Any:
    """Return a request with its version, cluster id and term set."""
    struct = getattr(load_structs("replication"), request_type)
    return struct(
        version=MESSAGE_VERSION,
        cluster_id=core.members.cluster_id,
        **{"term": core.term, **fields},
    )


async def cancel_tasks(tasks: list[asyncio.Task[Any]]) -> None:
    """Cancel tasks other than the current one and wait until they have ended."""
    own = asyncio.current_task()
    tasks = [task for task in tasks if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
