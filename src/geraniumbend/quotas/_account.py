"""What one gateway uses of the quota of one tenant."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from geraniumbend.quotas._local_share import LocalShare, ShareSteps
from geraniumbend.quotas._messages import ALLOCATORS_PER_TENANT
from geraniumbend.quotas._refusals import build_refusal
from geraniumbend.quotas._stream import (
    ASK_AGAIN_S,
    ASK_TIMEOUT_S,
    SILENCE_S,
    Permit,
    Stream,
)

if TYPE_CHECKING:
    import random

    from geraniumbend.errors import RefusedError
    from geraniumbend.model import Tenant
    from geraniumbend.quotas._messages import QuotaReport, QuotaState
    from geraniumbend.quotas._refusals import RefusalReason
    from geraniumbend.timers import TimerService

# Reports of one gateway to one allocator of a tenant are at least this far apart, in
# seconds. A tenant that sends all its requests through one gateway needs no message
# for each.
MIN_REPORT_INTERVAL_S = 0.01
# All gateways together may have as many unacknowledged uses as this part of the rate
# and of the burst, or one each. Beyond it a gateway asks for a permit.
UNACKNOWLEDGED_RATE = 0.1
UNACKNOWLEDGED_BURST = 0.25
# One each is too much where all gateways may have a request in the same moment. The
# buckets of an unrestricted tenant hold 0.6 x (burst + 10); 10 requests beyond them and
# a tenth of the rate are within the slack of the bound.
ONE_EACH_BURST = 0.6
ONE_EACH_EXTRA = 16.0
# Requests for which a restricted gateway asks permits in advance, in seconds of its
# own demand.
AHEAD_S = 0.25
DEMAND_MEMORY_S = 1.0
# Time in seconds within which a lost allocator is suspected and replaced. Requests wait
# that long for its successor, as far as their callers have time.
REPLACEMENT_S = 3.0
# Part of its even share of the rate that a gateway admits on its own while one
# allocator or both are silent, by the time alone in seconds up to which it holds. When
# a third of the gateways is cut off together with both allocators, it goes on with the
# whole rate until the others are suspected, after about 1.2 s; the slack of the bound
# is half a second of the rate and a tenth of the burst. Much at first and little then
# serves the loss of both allocators, and adds less when the suspicion takes 3 s.
ALONE_SHARES: tuple[ShareSteps, ShareSteps] = (
    ((math.inf, 0.125),),
    ((1.0, 0.7), (5.0, 0.15), (math.inf, 0.5)),
)


class QuotaTicket(NamedTuple):
    """What one request has used of the quota of its tenant.

    Parameters
    ----------
    stream : Stream or None
        Reports to the allocator that counts the request; None if none counts it.
    session : int
        Session of these reports.
    """

    stream: Stream | None
    session: int = 0

    def refund(self) -> None:
        """Return it, since the request was never run."""
        if self.stream is not None:
            self.stream.refund(self.session)


class AccountPort(Protocol):
    """What an account needs of the other gateways."""

    def choose_allocator(self, tenant: str, index: int) -> str:
        """Return the name of the gateway that allocates for a tenant."""
        ...

    def count_gateways(self) -> float:
        """Return the number of gateways that share the rate.

        On one side of a cut, the live ones divided by the part of the rate that belongs
        to that side.
        """
        ...

    def send_report(self, node: str, report: QuotaReport) -> None:
        """Send a report to an allocator."""
        ...


class TenantAccount:
    """Admits the requests of one tenant at one gateway.

    Parameters
    ----------
    tenant : Tenant
        Tenant with its rate and burst.
    port : AccountPort
        The other gateways.
    timers : TimerService
        Clock and sleeps.
    rng : random.Random
        Spreads decisions over the gateways.

    Attributes
    ----------
    tenant : Tenant
        Tenant as the active configuration has it.
    totals : Counter of str
        Requests by outcome: ``at_once``, ``permit``, ``alone`` (without contact to an
        allocator), ``refused_used``, ``refused_late`` (an allocator
        answered too late) and ``refused_silent`` (none has answered for a while).
    """

    def __init__(
        self,
        tenant: Tenant,
        port: AccountPort,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.tenant = tenant
        self.totals: Counter[str] = Counter()
        self._port = port
        self._timers = timers
        self._rng = rng
        indexes = range(ALLOCATORS_PER_TENANT)
        self._streams = [Stream(tenant.name, index, rng) for index in indexes]
        self._next = rng.randrange(ALLOCATORS_PER_TENANT)
        self._local = LocalShare(rng)
        self._permits: deque[Permit] = deque()
        self._waiters: deque[asyncio.Future[Permit | None]] = deque()
        self._refused = 0
        self._demand = 0.0
        self._demand_at = timers.now()
        self._flush_due = False

    async def admit(self, max_wait_s: float = math.inf) -> QuotaTicket:
        """Count a request.

        Parameters
        ----------
        max_wait_s : float, default=inf
            Time for which the request can wait and be answered in its caller's time, in
            seconds.

        Raises
        ------
        RefusedError
            If the tenant has used its quota.
        """
        now = self._timers.now()
        self._record_demand(now)
        self._connect()
        if self._is_unrestricted(now) and self._has_credit():
            return self._use(now)
        permit = self._take_permit(now)
        # Each request waits for an answer that comes in the usual time.
        ends_at = now + max(ASK_TIMEOUT_S, max_wait_s)
        while permit is None:
            permit, is_late = await self._wait_for_permit(ends_at)
            if permit is None:
                ticket = self._admit_alone("late" if is_late else "used", ends_at)
                if ticket is not None:
                    return ticket
                await self._timers.sleep(ASK_AGAIN_S)
                self._connect()
                permit = self._take_permit(self._timers.now())
        self.totals["permit"] += 1
        return QuotaTicket(permit.stream, permit.session)

    def accept(self, sender: str, state: QuotaState) -> None:
        """Apply an answer of an allocator."""
        stream = self._streams[state.allocator]
        if stream.node != sender:
            return
        now = self._timers.now()
        for permit in stream.accept(now, state):
            self._give(permit)
        if not self._list_missing(now):
            # The next failure counts its own time alone.
            self._local.end()
        self._ask_for_waiters(now)

    def forget_state(self) -> None:
        """Void all permits; the tenant is restricted until an allocator answers."""
        self._permits.clear()
        for stream in self._streams:
            if stream.node:
                # Answers that were on their way during the pause are of no use.
                stream.connect(stream.node)

    def maintain(self) -> None:
        """Return unused permits and repeat unanswered reports."""
        now = self._timers.now()
        self._drop_expired(now)
        if any(stream.node for stream in self._streams):
            self._connect()
        for stream in self._streams:
            stream.expire_asks(now)
            if stream.node and stream.is_repetition_due(now):
                self._send(stream, now)

    def close(self) -> None:
        """Refuse the requests that wait."""
        self._end_waits()

    def is_restricted(self) -> bool:
        """Tell whether requests need permits."""
        return not self._is_unrestricted(self._timers.now())

    def dump(self) -> dict[str, Any]:
        """Return the state of the account, for operators."""
        now = self._timers.now()
        return {
            "restricted": self.is_restricted(),
            "permits": len(self._permits),
            "waiting": len(self._waiters),
            "demand_per_s": round(self._read_demand(now), 2),
            "allocators": [
                {
                    "node": stream.node,
                    "silent": stream.is_silent(now),
                    "unacknowledged": stream.count_unacknowledged(),
                }
                for stream in self._streams
            ],
            "requests": dict(self.totals),
        }

    def _connect(self) -> None:
        """Follow changes of the allocators."""
        for index, stream in enumerate(self._streams):
            node = self._port.choose_allocator(self.tenant.name, index)
            if node != stream.node:
                stream.replace(node, self._timers.now())

    def _is_unrestricted(self, now: float) -> bool:
        return not any(
            stream.restricted or stream.is_silent(now) for stream in self._streams
        )

    def _has_credit(self) -> bool:
        """Tell whether one more use without a permit may be unacknowledged."""
        tenant, gateways = self.tenant, self._port.count_gateways()
        of_rate = UNACKNOWLEDGED_RATE * tenant.rate_per_s
        allowed = int((of_rate + UNACKNOWLEDGED_BURST * tenant.burst) / gateways)
        if not allowed:
            one_each = of_rate + ONE_EACH_BURST * tenant.burst + ONE_EACH_EXTRA
            allowed = int(gateways <= one_each)
        return allowed > sum(
            max(0, stream.count_unacknowledged()) for stream in self._streams
        )

    def _use(self, now: float) -> QuotaTicket:
        """Admit a request without a permit and report it."""
        stream = self._streams[self._next]
        self._next = (self._next + 1) % ALLOCATORS_PER_TENANT
        stream.used += 1
        self.totals["at_once"] += 1
        session = stream.session
        if not stream.sent_lately(now, MIN_REPORT_INTERVAL_S):
            self._send(stream, now)
        elif not self._flush_due:
            self._flush_due = True
            self._timers.after(MIN_REPORT_INTERVAL_S, self._flush)
        return QuotaTicket(stream, session)

    def _flush(self) -> None:
        """Report the uses that were not reported at once."""
        self._flush_due = False
        now = self._timers.now()
        for stream in self._streams:
            if stream.count_unacknowledged():
                self._send(stream, now)

    def _send(self, stream: Stream, now: float, wanted: int = 0) -> None:
        report = stream.build_report(now, wanted, self._refused)
        self._refused = 0
        self._port.send_report(stream.node, report)

    def _take_permit(self, now: float) -> Permit | None:
        self._drop_expired(now)
        return self._permits.popleft() if self._permits else None

    def _drop_expired(self, now: float) -> None:
        """Return the permits that were not used in time."""
        while self._permits and self._permits[0].expires_at <= now:
            permit = self._permits.popleft()
            permit.stream.refund(permit.session)

    def _give(self, permit: Permit) -> None:
        """Hand a permit to the request that has waited longest, or keep it."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(permit)
                return
        self._permits.append(permit)

    async def _wait_for_permit(self, ends_at: float) -> tuple[Permit | None, bool]:
        """Ask the allocators; return a permit, and whether an answer came too late.

        Allocators without permits say so at once. One that has not answered within
        `SILENCE_S` counts as silent, and the request is decided without it.
        """
        now = self._timers.now()
        ends_at = min(ends_at, now + SILENCE_S)
        waiter: asyncio.Future[Permit | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._ask_for_waiters(now)
        try:
            while not waiter.done() and self._timers.now() < ends_at:
                left_s = ends_at - self._timers.now()
                await self._wait(waiter, min(ASK_TIMEOUT_S, left_s))
                if not waiter.done():
                    self._ask_for_waiters(self._timers.now())
        except asyncio.CancelledError:
            permit = waiter.result() if waiter.done() else None
            if permit is not None:
                self._give(permit)
            raise
        finally:
            if not waiter.done():
                waiter.cancel()
                self._waiters.remove(waiter)
        return (None, True) if waiter.cancelled() else (waiter.result(), False)

    async def _wait(self, waiter: asyncio.Future[Permit | None], wait_s: float) -> None:
        timeout = asyncio.ensure_future(self._timers.sleep(wait_s))
        both: set[asyncio.Future[Any]] = {waiter, timeout}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timeout.cancel()

    def _ask_for_waiters(self, now: float) -> None:
        """Ask for the permits that waiting requests need and nobody was asked for."""
        while self._waiters:
            asked = sum(stream.count_asked(now) for stream in self._streams)
            missing = len(self._waiters) - asked
            if missing <= 0:
                return
            stream = self._find_askable(now)
            if stream is None:
                if not any(stream.may_answer(now) for stream in self._streams):
                    self._end_waits()
                return
            ahead = 0
            if stream.restricted:
                ahead = math.floor(AHEAD_S * self._read_demand(now))
            self._send(stream, now, max(missing, ahead))

    def _find_askable(self, now: float) -> Stream | None:
        """Return an allocator to ask, in alternation; None if all must wait."""
        for _ in self._streams:
            stream = self._streams[self._next]
            self._next = (self._next + 1) % ALLOCATORS_PER_TENANT
            if stream.may_ask(now):
                return stream
        return None

    def _end_waits(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    def _admit_alone(self, reason: RefusalReason, ends_at: float) -> QuotaTicket | None:
        """Admit a request without an allocator's consent where allocators are silent.

        Parameters
        ----------
        reason : {"used", "late"}
            Why there is no permit, where allocators are not silent.
        ends_at : float
            Reading of the clock up to which the request can wait.

        Returns
        -------
        QuotaTicket or None
            None if the request waits on for allocators that are being replaced.

        Raises
        ------
        RefusedError
            If the gateway has used what it may admit on its own.
        """
        now = self._timers.now()
        missing = self._list_missing(now)
        if not missing:
            self._local.end()
            raise self._refuse(reason)
        steps = ALONE_SHARES[len(missing) - 1]
        rate = self.tenant.rate_per_s / self._port.count_gateways()
        if self._local.try_take(now, min(missing), rate, steps):
            self.totals["alone"] += 1
            return QuotaTicket(None)
        is_replaced_soon = now - min(missing) < REPLACEMENT_S
        if is_replaced_soon and now + ASK_AGAIN_S < ends_at:
            return None
        is_alone = len(missing) == ALLOCATORS_PER_TENANT
        raise self._refuse("silent" if is_alone else reason)

    def _list_missing(self, now: float) -> list[float]:
        """Return since when allocators are silent or new."""
        since = [stream.find_missing_since(now) for stream in self._streams]
        return [reading for reading in since if reading is not None]

    def _refuse(self, reason: RefusalReason) -> RefusedError:
        """Return the refusal of a request above the quota, and count it."""
        self._refused += 1
        self.totals[f"refused_{reason}"] += 1
        waits = [stream.wait_s for stream in self._streams if stream.wait_s]
        wait_s = min(waits, default=0.0)
        return build_refusal(self.tenant, reason, wait_s, self._rng)

    def _record_demand(self, now: float) -> None:
        self._demand = self._read_demand(now) + 1.0
        self._demand_at = now

    def _read_demand(self, now: float) -> float:
        """Return the requests a second of this tenant that reach this gateway."""
        return self._demand * math.exp((self._demand_at - now) / DEMAND_MEMORY_S)
