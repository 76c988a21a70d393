"""At-most-once execution of orders."""

from __future__ import annotations

from geraniumbend.orders._client import Claim, OrderClient
from geraniumbend.orders._journal import OrderJournal
from geraniumbend.orders._service import OrderService, OrderShard
from geraniumbend.orders._shards import choose_shard

__all__ = [
    "Claim",
    "OrderClient",
    "OrderJournal",
    "OrderService",
    "OrderShard",
    "choose_shard",
]
