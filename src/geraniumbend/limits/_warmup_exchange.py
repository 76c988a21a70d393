"""Exchange of statements about cold servers between gateways."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError
from geraniumbend.limits._allocators import ABSENCE_S
from geraniumbend.limits._messages import (
    PERMIT_REQUEST,
    WARMUP_RECORD,
    PermitRequest,
    WarmupStatement,
    read_warmup,
    write_request,
    write_warmup,
)
from geraniumbend.logs import log_event

if TYPE_CHECKING:
    from geraniumbend.limits._allocators import Allocators, MembershipPort
    from geraniumbend.limits._limit_table import LimitTable
    from geraniumbend.timers import TimerService

# Lifetime of the record of a warm-up in seconds, if the server is not cold for longer.
WARMUP_RECORD_S = 5.0


class WarmupExchange:
    """Exchanges statements about cold servers with the other gateways.

    Parameters
    ----------
    membership : Membership
        Messages and records.
    allocators : Allocators
        Allocators of all servers.
    table : LimitTable
        Known limits.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        membership: MembershipPort,
        allocators: Allocators,
        table: LimitTable,
        timers: TimerService,
    ) -> None:
        self._membership = membership
        self._allocators = allocators
        self._table = table
        self._timers = timers
        self._last_live: dict[str, float] = {}
        membership.subscribe_records(WARMUP_RECORD, self._handle_record)

    def report(self, server_id: str, incarnation: int) -> None:
        """Tell all gateways what a server has just stated about its warm-up.

        The allocator publishes it, so that not every gateway that probed the server
        publishes a record.
        """
        if self._allocators.is_own(server_id):
            self._publish(server_id, incarnation)
            return
        warmup = self.describe(server_id, incarnation)
        request = PermitRequest(server_id, incarnation, 0, 0, False, None, 0.0, warmup)
        allocator = self._allocators.choose(server_id)
        self._membership.send_message(allocator, PERMIT_REQUEST, write_request(request))

    def handle_report(
        self, sender: str, server_id: str, warmup: WarmupStatement
    ) -> None:
        """Take over what another gateway sent to this one, the allocator."""
        is_changed = self.apply(sender, server_id, warmup)
        if is_changed and warmup.is_exact and self._allocators.is_own(server_id):
            self._publish(server_id, warmup.incarnation)

    def apply(self, sender: str, server_id: str, warmup: WarmupStatement) -> bool:
        """Take over a statement about a warm-up; return whether it changes anything.

        An announcement reaches each gateway at another time, so what others know from
        one is used only while nothing is known here. Otherwise a late announcement at
        one gateway would replace the latest one at all others.
        """
        if not warmup.is_exact:
            known = self._table.get(server_id)
            is_known = (
                known is not None
                and known.warmup is not None
                and known.incarnation >= warmup.incarnation
            )
            if is_known or self._table.warm_since(server_id) > -math.inf:
                return False
        return self._table.set_warmup(
            server_id,
            warmup.incarnation,
            warmup.left_s,
            warmup.per_s,
            self._timers.now() - warmup.age_s,
            warmup.is_exact,
            sender,
        )

    def measure_share(self) -> float:
        """Return the part of a cold server's rate that this side of a cut may grant.

        Gateways that disappeared in the last `ABSENCE_S` seconds are counted by the
        allocators for all limits. Those lost for longer may be cut off just as well: a
        limit that a server names is then granted twice, but a cold server would crash.

        Returns
        -------
        float
            Live gateways, divided by these and the ones lost for longer that have not
            said that they leave.
        """
        now = self._timers.now()
        live = {member.name for member in self._membership.list_live_gateways()}
        self._last_live.update(dict.fromkeys(live, now))
        lost = sum(
            member.role == "gateway"
            and member.state != "left"
            and member.name not in live
            and now - self._last_live.get(member.name, -math.inf) > ABSENCE_S
            for member in self._membership.known_members()
        )
        return len(live) / (len(live) + lost) if live else 1.0

    def describe(self, server_id: str, incarnation: int) -> WarmupStatement | None:
        """Return the last statement about the warm-up of a server, if there is one."""
        now = self._timers.now()
        known = self._table.get(server_id)
        if known is not None and known.warmup is not None:
            warmup = known.warmup
            left_s = warmup.warm_at - warmup.stated_at
            age_s = now - warmup.stated_at
            return WarmupStatement(
                known.incarnation, left_s, warmup.per_s, age_s, warmup.is_exact
            )
        if not self._table.is_warm_exactly(server_id):
            return None
        warm_since = self._table.warm_since(server_id)
        return WarmupStatement(incarnation, 0.0, 0.0, now - warm_since, True)

    def _publish(self, server_id: str, incarnation: int) -> None:
        warmup = self.describe(server_id, incarnation)
        if warmup is None:
            return
        lifetime_s = max(WARMUP_RECORD_S, warmup.left_s - warmup.age_s)
        value = write_warmup(warmup)
        self._membership.publish(WARMUP_RECORD, server_id, value, lifetime_s)
        self._membership.spread_now()

    def _handle_record(self, node: str, server_id: str, value: bytes | None) -> None:
        """Apply what the allocator of a server published about its warm-up.

        The own record counts only while no warm-up of the server is known: then an
        earlier process of this gateway has published it, and its peers have kept it.
        """
        if value is None:
            return
        known = self._table.get(server_id)
        is_known = known is not None and known.warmup is not None
        if node == self._membership.name and is_known:
            return
        try:
            warmup = read_warmup(value)
        except GeraniumbendError as error:
            log_event(314, sender=node, error=str(error))
            return
        if warmup.left_s > 0 or self._allocators.choose(server_id) == node:
            self.apply(node, server_id, warmup)
