"""Authenticated RPC over TCP between the processes of a cluster."""

from __future__ import annotations

from geraniumbend.adapters._rpc_client import RpcClient, RpcClients
from geraniumbend.adapters._rpc_server import RpcServer

__all__ = ["RpcClient", "RpcClients", "RpcServer"]
