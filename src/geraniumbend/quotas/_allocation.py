"""Buckets of the tenants that this gateway allocates."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.logs import declare_event, log_event
from geraniumbend.quotas._bucket import QuotaBucket
from geraniumbend.quotas._messages import (
    ALLOCATORS_PER_TENANT,
    QuotaReport,
    QuotaState,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from geraniumbend.limits import Allocators
    from geraniumbend.model import Tenant
    from geraniumbend.timers import TimerService

# Requests that the buckets of a tenant hold together beyond its burst. With a burst
# near 0 random arrivals below the rate would be refused often. The bound allows 20
# requests more than rate and burst; this is half of them.
EXTRA_TOKENS = 10.0
# Time after a pause in which nothing is granted, in seconds: the other gateways may
# have chosen another allocator, and this one may not know it yet.
SETTLE_S = 0.5
# Time for which the bucket of a removed tenant is kept, in seconds: the window of the
# bound. A tenant that comes back within it does not begin with new tokens.
KEEP_S = 5.0

declare_event(
    420,
    "tenant_restricted",
    "info",
    "Requests of a tenant need permits, since much of its quota is used. "
    "Logged by the allocator.",
)


def name_allocator(tenant: str, index: int) -> str:
    """Return the key by which an allocator of a tenant is chosen."""
    return f"tenant/{tenant}/{index}"


def choose_allocator(allocators: Allocators, tenant: str, index: int) -> str:
    """Return the gateway that allocates for a tenant.

    The second allocator is in another failure domain than the first, so that one is
    left when a domain is lost.
    """
    first = allocators.choose(name_allocator(tenant, 0))
    if not index:
        return first
    return allocators.choose(name_allocator(tenant, index), apart_from=first)


class _Sender(NamedTuple):
    """Count of one gateway at one allocator, as last reported."""

    session: int
    number: int
    used: int


class _Allocation:
    """Bucket of one key, and what the gateways have reported and been told."""

    def __init__(self, bucket: QuotaBucket, settled_pause: float) -> None:
        self.bucket = bucket
        # End of the last pause after which the bucket began without tokens.
        self.settled_pause = settled_pause
        self.senders: dict[str, _Sender] = {}
        self.former_sessions: dict[str, int] = {}
        # Gateways that have been told that the tenant is unrestricted.
        self.unrestricted: set[str] = set()


class QuotaAllocations:
    """Keeps the buckets of the tenants that this gateway allocates.

    Parameters
    ----------
    node : str
        Name of this gateway.
    allocators : Allocators
        Choice of the allocators.
    timers : TimerService
        Clock.
    rng : random.Random
        Spreads the times at which gateways ask again.
    send_state : callable
        Sends a state to a gateway, by name.
    """

    def __init__(
        self,
        node: str,
        allocators: Allocators,
        timers: TimerService,
        rng: random.Random,
        send_state: Callable[[str, QuotaState], None],
    ) -> None:
        self._node = node
        self._allocators = allocators
        self._timers = timers
        self._rng = rng
        self._send_state = send_state
        self._tenants: Mapping[str, Tenant] = {}
        self._allocations: dict[tuple[str, int], _Allocation] = {}
        # Buckets of removed tenants, and the clock's reading at the removal.
        self._removed: dict[tuple[str, int], tuple[_Allocation, float]] = {}

    def update(self, tenants: Mapping[str, Tenant]) -> None:
        """Set the tenants that have a rate; the buckets of others are not used."""
        self._tenants = tenants
        now = self._timers.now()
        self._forget_removed(now)
        for key in [key for key in self._allocations if key[0] not in tenants]:
            self._removed[key] = self._allocations.pop(key), now

    def answer(self, node: str, report: QuotaReport) -> QuotaState | None:
        """Count what a gateway reports, and grant permits.

        Returns
        -------
        QuotaState or None
            Answer; None for a message that is late or repeated.
        """
        now = self._timers.now()
        allocation = self._find(report.tenant, report.allocator, now)
        if allocation is None:
            # The sender knows other live gateways or another configuration.
            return _refuse(report)
        bucket = allocation.bucket
        count = self._count(allocation, node, report)
        if count is None:
            return None
        bucket.count_refused(report.refused)
        became_restricted = bool(count) and bucket.use(now, count)
        permits = bucket.grant(now, node, report.wanted) if report.wanted else 0
        bucket.count_refused(report.wanted - permits)
        if became_restricted:
            self._notify(report.tenant, report.allocator, allocation, node)
        if bucket.restricted:
            allocation.unrestricted.discard(node)
        else:
            allocation.unrestricted.add(node)
        is_short = permits < report.wanted
        return QuotaState(
            report.tenant,
            report.allocator,
            report.session,
            report.number,
            report.used,
            permits,
            bucket.restricted,
            bucket.find_hold_off_s(now) if is_short else 0.0,
            bucket.estimate_wait_s() if is_short else 0.0,
        )

    def maintain(self) -> None:
        """Begin to fill the buckets that are due here; forget those that are not."""
        now = self._timers.now()
        self._forget_removed(now)
        for key in itertools.product(self._tenants, range(ALLOCATORS_PER_TENANT)):
            if self._is_own(*key) != (key in self._allocations):
                self._find(*key, now)

    def read_left(self) -> dict[tuple[str, ...], float]:
        """Return the tokens of this gateway's buckets, by tenant and index."""
        return {
            (tenant, str(index)): allocation.bucket.level
            for (tenant, index), allocation in self._allocations.items()
        }

    def dump(self) -> dict[str, Any]:
        """Return the buckets by key, for operators."""
        return {
            name_allocator(*key): {
                "left": round(allocation.bucket.level, 2),
                "capacity": round(allocation.bucket.capacity, 2),
                "restricted": allocation.bucket.restricted,
                "gateways": len(allocation.senders),
            }
            for key, allocation in self._allocations.items()
        }

    def _find(self, tenant: str, index: int, now: float) -> _Allocation | None:
        """Return a bucket that this gateway keeps, with its present level."""
        configured = self._tenants.get(tenant)
        if configured is None:
            return None
        if not self._is_own(tenant, index):
            self._allocations.pop((tenant, index), None)
            return None
        fraction = self._allocators.fraction
        part = fraction / ALLOCATORS_PER_TENANT
        rate = configured.rate_per_s * part
        capacity = max(1.0, (configured.burst + EXTRA_TOKENS) * part)
        paused_at = self._allocators.paused_at
        allocation = self._allocations.get((tenant, index))
        if allocation is None and (tenant, index) in self._removed:
            allocation, _ = self._removed.pop((tenant, index))
            self._allocations[tenant, index] = allocation
        if allocation is None:
            bucket = QuotaBucket(now, rate, capacity, self._rng, fraction)
            allocation = _Allocation(
                bucket, paused_at if now > paused_at else -math.inf
            )
            self._allocations[tenant, index] = allocation
        else:
            allocation.bucket.refill(now, rate, capacity)
        if allocation.settled_pause < paused_at:
            # Also long after the pause, when the first report arrives only then.
            allocation.settled_pause = paused_at
            allocation.bucket.settle(now, paused_at + SETTLE_S)
        return allocation

    def _forget_removed(self, now: float) -> None:
        for key, (_, removed_at) in list(self._removed.items()):
            if now - removed_at > KEEP_S:
                del self._removed[key]

    def _is_own(self, tenant: str, index: int) -> bool:
        return choose_allocator(self._allocators, tenant, index) == self._node

    @staticmethod
    def _count(allocation: _Allocation, node: str, report: QuotaReport) -> int | None:
        """Return the uses since the last report of a gateway; None if it is old."""
        known = allocation.senders.get(node)
        if known is None or known.session != report.session:
            if allocation.former_sessions.get(node) == report.session:
                return None
            if known is not None:
                allocation.former_sessions[node] = known.session
            counted = report.acknowledged
        elif report.number <= known.number:
            return None
        else:
            counted = known.used
        allocation.senders[node] = _Sender(report.session, report.number, report.used)
        return report.used - counted

    def _notify(
        self, tenant: str, index: int, allocation: _Allocation, sender: str
    ) -> None:
        """Tell all gateways that believe a tenant to be unrestricted that it is not."""
        bucket = allocation.bucket
        log_event(
            420,
            tenant=tenant,
            index=index,
            left=round(bucket.level, 1),
            capacity=round(bucket.capacity, 1),
            per_s=round(bucket.rate_per_s, 3),
        )
        for node in allocation.unrestricted - {sender}:
            self._send_state(node, QuotaState(tenant, index))
        allocation.unrestricted.clear()


def _refuse(report: QuotaReport) -> QuotaState:
    """Return the answer of a gateway that is not the allocator, or not yet."""
    return QuotaState(
        report.tenant,
        report.allocator,
        report.session,
        report.number,
        report.acknowledged,
        hold_off_s=0.25 if report.wanted else 0.0,
    )
