"""At-most-once execution of orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.orders._client import Claim, OrderClient
    from geraniumbend.orders._journal import OrderJournal
    from geraniumbend.orders._service import OrderService, OrderShard
    from geraniumbend.orders._shards import choose_shard
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_client": (
                "Claim",
                "OrderClient",
            ),
            "_journal": ("OrderJournal",),
            "_service": (
                "OrderService",
                "OrderShard",
            ),
            "_shards": ("choose_shard",),
        },
    )

__all__ = [
    "Claim",
    "OrderClient",
    "OrderJournal",
    "OrderService",
    "OrderShard",
    "choose_shard",
]
