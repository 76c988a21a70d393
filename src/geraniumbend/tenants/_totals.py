"""Counts of authenticated and refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Reasons for which requests are not accepted; their number bounds the metric.
REASONS = ("missing", "several", "scheme", "unknown", "removed", "revision")


class TenantTotals:
    """Counts requests by tenant and outcome, and refusals by reason.

    Only the configured tenants are counted, so that the number of series is bounded.
    """

    def __init__(self) -> None:
        self._requests: dict[tuple[str, ...], float] = {}
        self._refusals: dict[tuple[str, ...], float] = {}

    def count_request(self, tenant: str, outcome: str) -> None:
        """Count a request as `answered`, `refused` or `aborted`."""
        key = (tenant, outcome)
        self._requests[key] = self._requests.get(key, 0) + 1

    def count_refusal(self, reason: str) -> None:
        """Count a request that was not accepted, by one of `REASONS`."""
        self._refusals[(reason,)] = self._refusals.get((reason,), 0) + 1

    def retain(self, tenants: Collection[str]) -> None:
        """Forget the counts of tenants that are not configured any more."""
        self._requests = {
            key: count for key, count in self._requests.items() if key[0] in tenants
        }

    def read_requests(self) -> dict[tuple[str, ...], float]:
        """Return the number of requests by tenant and outcome."""
        return self._requests

    def read_refusals(self) -> dict[tuple[str, ...], float]:
        """Return the number of refused requests by reason."""
        return self._refusals
