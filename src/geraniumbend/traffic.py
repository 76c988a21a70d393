"""Bytes exchanged with other hosts, by purpose and failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    # Purpose, whether the peer is in the failure domain of this host, and bytes.
    CountBytes = Callable[[str, bool, int], None]

__all__ = ["TrafficCounters", "TrafficRow", "ignore_traffic"]


class TrafficRow(NamedTuple):
    """Bytes of one purpose.

    Parameters
    ----------
    purpose : str
        ``requests``, ``probes``, ``gossip``, or the first part of an RPC method.
    is_local : bool
        Whether the peer is in the failure domain of this host.
    """

    purpose: str
    is_local: bool


class TrafficCounters:
    """Counts payload bytes, sent and received, of the exchanges a host starts.

    Bytes of the headers of lower layers are not counted, so the figures are shares of
    the traffic and not a bill.
    """

    def __init__(self) -> None:
        self._bytes: dict[TrafficRow, int] = {}

    def count(self, purpose: str, is_local: bool, size: int) -> None:
        """Add bytes to a purpose.

        Parameters
        ----------
        purpose : str
            What the bytes were exchanged for.
        is_local : bool
            Whether the peer is in the failure domain of this host.
        size : int
            Bytes, sent and received.
        """
        row = TrafficRow(purpose, is_local)
        self._bytes[row] = self._bytes.get(row, 0) + size

    def read_gauge(self) -> dict[tuple[str, ...], float]:
        """Return the bytes by the labels ``purpose`` and ``scope``."""
        return {
            (row.purpose, _name_scope(row)): float(size)
            for row, size in self._bytes.items()
        }

    def dump(self) -> dict[str, int]:
        """Return the bytes by ``purpose/scope``, for the state dump."""
        return {
            f"{row.purpose}/{_name_scope(row)}": size
            for row, size in sorted(self._bytes.items())
        }


def ignore_traffic(purpose: str, is_local: bool, size: int) -> None:
    """Count nothing."""


def _name_scope(row: TrafficRow) -> str:
    return "local" if row.is_local else "remote"
