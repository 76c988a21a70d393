"""Lost links that other gateways publish."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from geraniumbend.errors import ProtocolError
from geraniumbend.reachability._reachability import ALL_SERVERS
from geraniumbend.wire import decode_document

if TYPE_CHECKING:
    from collections.abc import Sequence

# Kind of the published records.
LOST_LINKS = "lost-links"
# Lifetime of a record, in seconds. It is published again after half of it.
LIFETIME_S = 10.0
MAX_VALUE_BYTES = 800


class RecordsPort(Protocol):
    """Published records of the cluster."""

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes; a lifetime of 0 withdraws it."""
        ...

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the published records of a kind by node and key."""
        ...

    def spread_now(self) -> None:
        """Send queued changes to some peers at once."""
        ...


class LostLinks:
    """Groups whose servers other gateways do not reach, as they publish it.

    A gateway that reaches its servers publishes nothing.

    Parameters
    ----------
    records : RecordsPort
        Published records of the cluster.
    """

    def __init__(self, records: RecordsPort) -> None:
        self._records = records

    def publish(self, groups: Sequence[str]) -> None:
        """Publish the groups that this gateway does not reach; none withdraws them."""
        value = msgspec.json.encode(list(groups))
        if len(value) > MAX_VALUE_BYTES:
            value = msgspec.json.encode([ALL_SERVERS])
        lifetime_s = LIFETIME_S if groups else 0.0
        if self._records.publish(LOST_LINKS, "", value, lifetime_s):
            self._records.spread_now()

    def list_cut_off(self, group: str) -> set[str]:
        """Return the names of the gateways that do not reach a group."""
        cut_off = set()
        for (node, _), value in self._records.records(LOST_LINKS).items():
            try:
                groups = decode_document(value, list[str])
            except ProtocolError:
                continue
            if group in groups or ALL_SERVERS in groups:
                cut_off.add(node)
        return cut_off
