"""Exchange of permits and limits between gateways."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError
from geraniumbend.limits._messages import (
    LIMIT_RECORD,
    MAX_PERMITS,
    PERMIT_GRANT,
    PERMIT_REQUEST,
    PermitGrant,
    PermitRequest,
    read_grant,
    read_limit,
    read_request,
    write_grant,
    write_limit,
    write_request,
)
from geraniumbend.limits._warmup_exchange import WarmupExchange
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from geraniumbend.limits._allocators import Allocators, MembershipPort
    from geraniumbend.limits._limit_table import LimitTable
    from geraniumbend.limits._limited_server import LimitedServer
    from geraniumbend.limits._permit_allocator import Grant
    from geraniumbend.timers import TimerService

# Time for which a permit may be used, in seconds, counted from the request for it.
# Permits of an earlier time add to those of the present one in the windows in which
# servers count.
PERMIT_LIFETIME_S = 0.5
# Time after which an unanswered request for permits is repeated, in seconds.
ANSWER_TIMEOUT_S = 0.25
# Other gateways' statements about a server are ignored for this long, in seconds, after
# the server itself responded to this gateway.
OWN_STATEMENT_S = 1.0
# Time for which a gateway tells others of a limit that neither the server nor a record
# or a grant has confirmed since, in seconds.
CONFIRMATION_S = 20.0
RECORD_LIFETIME_S = 60.0
RECORD_REFRESH_S = 15.0
# Relative change of a limit that is published before the record is due again. The
# allocator uses each change at once; the others need the limit only for estimates.
SIGNIFICANT_CHANGE = 0.1

declare_event(
    314,
    "permit_message_rejected",
    "warning",
    "A message or record of a peer about a server's limit was malformed.",
)


class PermitExchange:
    """Exchanges permits and statements about limits with the other gateways.

    Parameters
    ----------
    membership : Membership
        Messages and records.
    allocators : Allocators
        Allocators of all servers, and the permits that this gateway grants.
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
        self._published: dict[str, tuple[float, float]] = {}
        self._numbers = 0
        self.warmups = WarmupExchange(membership, allocators, table, timers)
        membership.handle_messages(PERMIT_REQUEST, self._handle_request)
        membership.handle_messages(PERMIT_GRANT, self._handle_grant)
        membership.subscribe_records(LIMIT_RECORD, self._handle_record)

    def report(self, server_id: str, known: LimitedServer, per_s: float | None) -> None:
        """Tell the allocator of a server what it has just named."""
        if self._allocators.is_own(server_id):
            if per_s is not None:
                self._publish(server_id, known)
            return
        request = PermitRequest(server_id, known.incarnation, 0, 0, True, per_s, 0.0)
        self._send_to_allocator(server_id, request)

    def ask(self, server_id: str, known: LimitedServer) -> asyncio.Future[None] | None:
        """Ask the allocator for permits; None if that must wait."""
        now = self._timers.now()
        if known.is_waiting():
            if now - known.requested_at < ANSWER_TIMEOUT_S:
                return known.answer
            known.end_wait()
        if now < known.hold_until:
            return None
        self._numbers += 1
        known.request_number = self._numbers
        known.requested_at = now
        answer = known.answer = asyncio.get_running_loop().create_future()
        wanted = _count_wanted(known)
        own = self._grant(server_id, self._membership.name, wanted, known)
        if own is not None:
            self._accept(known, own.permits, own.hold_off_s)
            return answer
        heard = now - known.heard_at < CONFIRMATION_S
        is_confirmed = now - known.confirmed_at < CONFIRMATION_S
        request = PermitRequest(
            server_id,
            known.incarnation,
            known.request_number,
            wanted,
            heard,
            known.named_per_s if is_confirmed else None,
            now - known.heard_at if heard else 0.0,
            self.warmups.describe(server_id, known.incarnation),
        )
        self._send_to_allocator(server_id, request)
        return answer

    def publish_own_records(self) -> None:
        """Publish the limits of the servers whose permits this gateway grants."""
        for server_id, known in self._table.items():
            if self._allocators.is_own(server_id):
                self._publish(server_id, known)
            else:
                # The record lasts until the next allocator has published its own.
                self._published.pop(server_id, None)

    def withdraw_record(self, server_id: str) -> None:
        """End the record of a server's limit if this gateway has published one."""
        if self._published.pop(server_id, None) is not None:
            self._membership.publish(LIMIT_RECORD, server_id, b"", 0)
            self._membership.spread_now()

    def _send_to_allocator(self, server_id: str, request: PermitRequest) -> None:
        allocator = self._allocators.choose(server_id)
        self._membership.send_message(allocator, PERMIT_REQUEST, write_request(request))

    def _accept(self, known: LimitedServer, count: int, hold_off_s: float) -> None:
        """Store granted permits; they are valid from the time of the request on."""
        expires_at = known.requested_at + PERMIT_LIFETIME_S
        if count and expires_at > self._timers.now():
            known.add_permits(count, expires_at)
        else:
            known.hold_until = self._timers.now() + hold_off_s
        known.end_wait()

    def _handle_request(self, sender: str, value: bytes) -> None:
        try:
            request = read_request(value)
        except GeraniumbendError as error:
            log_event(314, sender=sender, error=str(error))
            return
        self._apply_report(sender, request)
        if request.warmup is not None:
            self.warmups.handle_report(sender, request.server_id, request.warmup)
        if request.wanted:
            grant = self._build_grant(sender, request)
            self._membership.send_message(sender, PERMIT_GRANT, write_grant(grant))

    def _build_grant(self, sender: str, request: PermitRequest) -> PermitGrant:
        """Return the answer to a request for permits."""
        server_id = request.server_id
        known = self._table.get(server_id)
        permits, hold_off_s = 0, ANSWER_TIMEOUT_S
        per_s = None if known is None else known.named_per_s
        if known is None:
            if not self._knows_withdrawal(server_id):
                per_s = request.per_s
        elif known.incarnation == request.incarnation:
            grant = self._grant(server_id, sender, request.wanted, known)
            if grant is not None:
                permits, hold_off_s = grant
        return PermitGrant(
            server_id,
            request.incarnation,
            request.number,
            permits,
            hold_off_s,
            per_s,
            self.warmups.describe(server_id, request.incarnation),
        )

    def _grant(
        self, server_id: str, node: str, wanted: int, known: LimitedServer
    ) -> Grant | None:
        """Grant permits; None if another gateway allocates those of the server."""
        per_s = known.per_s
        if known.is_cold:
            per_s *= self.warmups.measure_share()
        return self._allocators.grant(server_id, node, wanted, per_s)

    def _knows_withdrawal(self, server_id: str) -> bool:
        """Tell whether a server without a known limit certainly has none.

        A gateway that has just started or become the allocator may not have the records
        of the former one yet.
        """
        was_withdrawn = self._table.withdrawn_at(server_id) > -math.inf
        return was_withdrawn or self._allocators.is_settled()

    def _apply_report(self, sender: str, request: PermitRequest) -> None:
        """Take over what another gateway heard later than this one did."""
        server_id = request.server_id
        known = self._table.get(server_id)
        withdrawn_at = self._table.withdrawn_at(server_id)
        heard_at = self._timers.now() - request.heard_age_s
        if not request.heard:
            # The sender has the limit from a record of an earlier allocator.
            is_new = known is None and withdrawn_at == -math.inf
            if is_new and request.per_s is not None:
                self._table.set_limit(
                    server_id, request.incarnation, request.per_s, sender
                )
            return
        if heard_at <= withdrawn_at:
            return
        if known is not None:
            if known.incarnation > request.incarnation:
                return
            is_same = known.incarnation == request.incarnation
            if is_same and known.heard_at > heard_at:
                return
        if request.per_s is not None:
            self._table.set_limit(server_id, request.incarnation, request.per_s, sender)
            known = self._table.get(server_id)
            assert known is not None
            known.heard_at = heard_at
            if self._allocators.is_own(server_id):
                self._publish(server_id, known)
        elif (
            known is not None
            and known.named_per_s is not None
            and heard_at > known.known_since
        ):
            self._table.withdraw(server_id, sender)

    def _handle_grant(self, sender: str, value: bytes) -> None:
        try:
            grant = read_grant(value)
        except GeraniumbendError as error:
            log_event(314, sender=sender, error=str(error))
            return
        known = self._table.get(grant.server_id)
        if (
            known is None
            or known.incarnation != grant.incarnation
            or known.request_number != grant.number
        ):
            return
        known.request_number = 0
        if self._is_stale(known):
            if grant.per_s is not None:
                self._table.set_limit(
                    grant.server_id, grant.incarnation, grant.per_s, sender
                )
            elif known.named_per_s is not None:
                self._table.withdraw(grant.server_id, sender)
        if grant.warmup is not None:
            self.warmups.apply(sender, grant.server_id, grant.warmup)
        if self._table.get(grant.server_id) is not known:
            return
        self._accept(known, grant.permits, grant.hold_off_s)

    def _handle_record(self, node: str, server_id: str, value: bytes | None) -> None:
        """Apply the limit that the allocator of a server published.

        The own record counts only while nothing is known of the server: then an earlier
        process of this gateway has published it, and its peers have kept it.
        """
        if node == self._membership.name and self._table.get(server_id) is not None:
            return
        if value is None:
            # It may have passed to another allocator. Whether the limit has ended is in
            # the answer to the next request for permits.
            return
        try:
            incarnation, per_s = read_limit(value)
        except GeraniumbendError as error:
            log_event(314, sender=node, error=str(error))
            return
        known = self._table.get(server_id)
        is_allocator = self._allocators.choose(server_id) == node
        if known is None:
            # Records of a former allocator may be older than the withdrawal.
            if is_allocator or self._table.withdrawn_at(server_id) == -math.inf:
                self._table.set_limit(server_id, incarnation, per_s, node)
        elif (
            known.incarnation <= incarnation and is_allocator and self._is_stale(known)
        ):
            self._table.set_limit(server_id, incarnation, per_s, node)

    def _is_stale(self, known: LimitedServer) -> bool:
        return self._timers.now() - known.heard_at > OWN_STATEMENT_S

    def _publish(self, server_id: str, known: LimitedServer) -> None:
        """Publish a limit unless nearly the same one was published lately."""
        now = self._timers.now()
        published = self._published.get(server_id)
        per_s = known.named_per_s
        if per_s is None:
            return
        if published is not None and now - published[0] < RECORD_REFRESH_S:
            change = abs(per_s - published[1])
            if change <= SIGNIFICANT_CHANGE * published[1]:
                return
        value = write_limit(known.incarnation, per_s)
        self._membership.publish(LIMIT_RECORD, server_id, value, RECORD_LIFETIME_S)
        self._membership.spread_now()
        self._published[server_id] = (now, per_s)


def _count_wanted(known: LimitedServer) -> int:
    """Return how many permits to ask for: more while all of them get used."""
    factor = 0.5 if known.has_expired else 2
    known.has_expired = False
    return max(1, min(int(factor * known.permits_granted), MAX_PERMITS))
