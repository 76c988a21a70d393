"""Quotas of tenants, kept by all gateways together."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Any, Protocol

from geraniumbend.errors import GeraniumbendError
from geraniumbend.limits import Allocators
from geraniumbend.limits import MembershipPort as GatewaysPort
from geraniumbend.logs import declare_event, log_event
from geraniumbend.quotas._account import TenantAccount
from geraniumbend.quotas._allocation import QuotaAllocations, choose_allocator
from geraniumbend.quotas._messages import (
    QUOTA_REPORT,
    QUOTA_STATE,
    read_report,
    read_state,
    write_report,
    write_state,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.model import Configuration, Tenant
    from geraniumbend.quotas._account import QuotaTicket
    from geraniumbend.quotas._messages import QuotaReport, QuotaState
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

MAINTENANCE_PERIOD_S = 0.2
# A process that did not run for this long may have been told meanwhile that a tenant
# is restricted, and may hold permits of an earlier time.
PAUSE_S = 1.0
# Bytes a second by which the byte budget of a gateway is raised for messages about
# quotas, so that they do not delay gossip. An allocator of the largest tenant of 461
# requests a second sends 34 kB/s while it has 7 times its usual rate.
BYTES_PER_S = 40_000.0

QUOTA_METRICS = {
    "quota_left": (
        "Requests that a tenant may send now, by allocator; negative in debt. Only the "
        "allocators that are on this gateway.",
        ("tenant", "allocator"),
    ),
    "quota_restricted": (
        "1 for a tenant whose requests need permits at this gateway, else 0.",
        ("tenant",),
    ),
    "quota_requests": (
        "Requests of a tenant with a quota since it is known, by outcome: at_once, "
        "permit, alone (allocators are silent), refused_used and refused_silent.",
        ("tenant", "outcome"),
    ),
}

declare_event(
    421,
    "quota_message_rejected",
    "warning",
    "A message of a peer about the quota of a tenant was malformed.",
)
declare_event(
    422,
    "quota_state_forgotten",
    "info",
    "This process did not run for some time; requests of all tenants need permits "
    "until the allocators answer.",
)


class MembershipPort(GatewaysPort, Protocol):
    """Processes and messages of the cluster."""

    def reserve_bytes(self, bytes_per_second: float) -> None:
        """Raise the byte budget for a kind of message."""
        ...


class Refundable(Protocol):
    """What one request has used."""

    def refund(self) -> None:
        """Return it."""
        ...


def has_quotas(configuration: Configuration) -> bool:
    """Tell whether a configuration has a tenant with a rate."""
    return any(tenant.rate_per_s > 0 for tenant in configuration.tenants.values())


class TenantQuotas:
    """Admits the requests of tenants within their quotas.

    Two gateways, the allocators of a tenant, each keep a token bucket with half of its
    rate and burst. All gateways report to them what they admit.

    Parameters
    ----------
    membership : Membership
        Live gateways and messages.
    timers : TimerService
        Clock and periodic callbacks.
    rng : random.Random or None, default=None
        Source of randomness.
    minimum_gateways : int, default=1
        Minimum number of gateways to assume.
    """

    def __init__(
        self,
        membership: MembershipPort,
        timers: TimerService,
        rng: random.Random | None = None,
        minimum_gateways: int = 1,
    ) -> None:
        self._membership = membership
        self._timers = timers
        self._rng = rng or random.Random()
        self._allocators = Allocators(
            membership,
            timers,
            self._rng,
            minimum_gateways,
            restricts_minority=True,
            excludes_suspects=True,
        )
        self._allocations = QuotaAllocations(
            membership.name, self._allocators, timers, self._rng, self._send_state
        )
        self._tenants: Mapping[str, Tenant] = {}
        self._accounts: dict[str, TenantAccount] = {}
        self._maintenance: Subscription | None = None
        self._ran_at = timers.now()

    @classmethod
    def from_config(
        cls, settings: Settings, membership: MembershipPort, timers: TimerService
    ) -> TenantQuotas:
        """Build the quotas of a gateway from its settings."""
        minimum = settings.peer.minimum_gateways
        return cls(membership, timers, minimum_gateways=minimum)

    def start(self) -> None:
        """Begin to exchange messages with the other gateways."""
        self._allocators.refresh()
        self._ran_at = self._timers.now()
        self._membership.handle_messages(QUOTA_REPORT, self._handle_report)
        self._membership.handle_messages(QUOTA_STATE, self._handle_state)
        self._membership.reserve_bytes(BYTES_PER_S)
        self._maintenance = self._timers.every(
            MAINTENANCE_PERIOD_S, self._maintain, 0.2
        )

    def stop(self) -> None:
        """End what `start` began; requests that wait are refused."""
        if self._maintenance is not None:
            self._maintenance.cancel()
        self._membership.reserve_bytes(-BYTES_PER_S)
        for kind in (QUOTA_REPORT, QUOTA_STATE):
            self._membership.handle_messages(kind, _ignore_message)
        for account in self._accounts.values():
            account.close()
        self._accounts.clear()

    def update(self, configuration: Configuration) -> None:
        """Apply the rates of the tenants of a configuration."""
        self._tenants = {
            name: tenant
            for name, tenant in configuration.tenants.items()
            if tenant.rate_per_s > 0
        }
        self._allocations.update(self._tenants)
        for name, account in list(self._accounts.items()):
            if name in self._tenants:
                account.tenant = self._tenants[name]
            else:
                account.close()
                del self._accounts[name]

    async def admit(
        self, tenant: Tenant, max_wait_s: float = math.inf
    ) -> QuotaTicket | None:
        """Count a request of a tenant.

        Parameters
        ----------
        tenant : Tenant
            Tenant of the request.
        max_wait_s : float, default=inf
            Time for which the request can wait and be answered in its caller's time, in
            seconds.

        Returns
        -------
        QuotaTicket or None
            What the request has used; None if the tenant has no limit.

        Raises
        ------
        RefusedError
            If the tenant has used its quota; the status is 429.
        """
        limited = self._tenants.get(tenant.name)
        if limited is None:
            return None
        self._check_pause()
        account = self._accounts.get(tenant.name)
        if account is None:
            account = TenantAccount(limited, self, self._timers, self._rng)
            self._accounts[tenant.name] = account
        return await account.admit(max_wait_s)

    def refund(self, ticket: Refundable | None) -> None:
        """Return what a request has used that was never run."""
        if ticket is not None:
            ticket.refund()

    def choose_allocator(self, tenant: str, index: int) -> str:
        """Return the name of the gateway that allocates for a tenant."""
        return choose_allocator(self._allocators, tenant, index)

    def count_gateways(self) -> float:
        """Return the live gateways, divided by the part of the rate that they have."""
        return max(1.0, self._allocators.count_live() / self._allocators.fraction)

    def send_report(self, node: str, report: QuotaReport) -> None:
        """Send a report to an allocator, which may be this gateway."""
        if node != self._membership.name:
            self._membership.send_message(node, QUOTA_REPORT, write_report(report))
            return
        state = self._allocations.answer(node, report)
        if state is not None:
            self._send_state(node, state)

    def read_metrics(self) -> dict[str, dict[tuple[str, ...], float]]:
        """Return the values of the metrics by name and labels.

        Returns
        -------
        dict of str to dict
            ``quota_left`` by tenant and index, of the allocators on this gateway;
            ``quota_restricted`` by tenant; ``quota_requests`` by tenant and outcome.
        """
        return {
            "quota_left": self._allocations.read_left(),
            "quota_restricted": {
                (name,): float(account.is_restricted())
                for name, account in self._accounts.items()
            },
            "quota_requests": {
                (name, outcome): float(total)
                for name, account in self._accounts.items()
                for outcome, total in account.totals.items()
            },
        }

    def dump(self) -> dict[str, Any]:
        """Return the quotas as this gateway knows them, for operators."""
        return {
            "fraction": round(self._allocators.fraction, 3),
            "allocated": self._allocations.dump(),
            "tenants": {name: own.dump() for name, own in self._accounts.items()},
        }

    def _send_state(self, node: str, state: QuotaState) -> None:
        if node != self._membership.name:
            self._membership.send_message(node, QUOTA_STATE, write_state(state))
            return
        account = self._accounts.get(state.tenant)
        if account is not None:
            account.accept(node, state)

    def _handle_report(self, sender: str, value: bytes) -> None:
        try:
            report = read_report(value)
        except GeraniumbendError as error:
            log_event(421, sender=sender, error=str(error))
            return
        self._check_pause()
        state = self._allocations.answer(sender, report)
        if state is not None:
            self._send_state(sender, state)

    def _handle_state(self, sender: str, value: bytes) -> None:
        try:
            state = read_state(value)
        except GeraniumbendError as error:
            log_event(421, sender=sender, error=str(error))
            return
        self._check_pause()
        account = self._accounts.get(state.tenant)
        if account is not None:
            account.accept(sender, state)

    def _check_pause(self) -> None:
        """Forget what allocators said before this process was paused."""
        now = self._timers.now()
        if now - self._ran_at > PAUSE_S:
            log_event(422, paused_s=round(now - self._ran_at, 3))
            self._allocators.refresh()
            for account in self._accounts.values():
                account.forget_state()
        self._ran_at = now

    def _maintain(self) -> None:
        self._check_pause()
        self._allocators.refresh()
        self._allocations.maintain()
        for account in self._accounts.values():
            account.maintain()


def _ignore_message(sender: str, value: bytes) -> None:
    """Drop a message that arrives after the quotas were stopped."""
