"""What the quarantine uses and returns."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.model import BackendServer


class QuarantineEntry(NamedTuple):
    """A suspected or quarantined request.

    Parameters
    ----------
    fingerprint : str
        Digest of method, path, query and body.
    losses : tuple of str
        Servers lost while they ran the request, as ``server_id/incarnation``.
    quarantined : bool
        Whether all gateways refuse the request.
    remaining_s : float
        Seconds until the entry expires.
    """

    fingerprint: str
    losses: tuple[str, ...]
    quarantined: bool
    remaining_s: float


class MembershipPort(Protocol):
    """Part of membership that quarantine uses."""

    def servers(self) -> Mapping[str, BackendServer]:
        """Return announced backend servers by id."""
        ...

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes."""
        ...

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
        ...

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Register a callback for node, key and value of records and notices."""
        ...

    async def notify_peers(
        self, kind: str, value: bytes, timeout_s: float
    ) -> list[str]:
        """Send a notice to all live gateways and wait for their acknowledgements."""
        ...
