"""Choice of the log that holds the key of an order."""

from __future__ import annotations

import xxhash


def choose_shard(key: str, shards: int) -> int:
    """Return the number of the order log that holds a key.

    Parameters
    ----------
    key : str
        Key of an order.
    shards : int
        Number of order logs, fixed when the cluster is bootstrapped.

    Returns
    -------
    int
        Number from 0 to ``shards - 1``.
    """
    return xxhash.xxh64_intdigest(key.encode()) % shards
