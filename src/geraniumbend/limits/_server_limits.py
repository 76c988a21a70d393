"""Limits that backend servers name, kept by all gateways together."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from geraniumbend.limits._allocators import Allocators
from geraniumbend.limits._limit_table import LimitTable
from geraniumbend.limits._limited_server import REFUSED
from geraniumbend.limits._permit_exchange import PermitExchange
from geraniumbend.limits._permit_requests import PermitRequests
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from geraniumbend.limits._allocators import MembershipPort
    from geraniumbend.limits._limited_server import Permit
    from geraniumbend.limits._statements import LimitStatement
    from geraniumbend.model import BackendServer
    from geraniumbend.settings import Settings
    from geraniumbend.timers import Subscription, TimerService

# Bounds of the time in seconds over which retries are spread while a group is cold.
MIN_COLD_SPREAD_S = 0.25
MAX_COLD_SPREAD_S = 1.0
MAINTENANCE_PERIOD_S = 0.5

declare_event(
    312,
    "server_limit_malformed",
    "warning",
    "A backend server names a limit that is no decimal number; it is ignored.",
)


class ServerLimits:
    """Keeps the limits that backend servers name, together with all other gateways.

    A request or probe is sent to a limited server only with a permit. One gateway, the
    allocator of the server, grants the permits of all gateways at the rate of the
    limit.

    Parameters
    ----------
    membership : Membership
        Live gateways, messages and records.
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
        self._timers = timers
        self._rng = rng or random.Random()
        self._allocators = Allocators(membership, timers, self._rng, minimum_gateways)
        self._table = LimitTable(timers, self._withdraw_record)
        self._exchange = PermitExchange(
            membership, self._allocators, self._table, timers
        )
        self._requests = PermitRequests(self._exchange, self._table, timers, self._rng)
        self._cold_totals: Counter[str] = Counter()
        self._maintenance: Subscription | None = None

    @classmethod
    def from_config(
        cls, settings: Settings, membership: MembershipPort, timers: TimerService
    ) -> ServerLimits:
        """Build the limits of a gateway from its settings."""
        minimum = settings.peer.minimum_gateways
        return cls(membership, timers, minimum_gateways=minimum)

    def start(self) -> None:
        """Begin to follow the live gateways and to publish limits."""
        self._allocators.refresh()
        self._maintenance = self._timers.every(
            MAINTENANCE_PERIOD_S, self._maintain, 0.2
        )

    def stop(self) -> None:
        """End what `start` began."""
        if self._maintenance is not None:
            self._maintenance.cancel()

    def update_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Forget the limits of servers that are gone or have restarted."""
        self._table.update_servers(servers)

    def observe(
        self,
        server: BackendServer,
        statement: LimitStatement,
        source: str,
        sent_at: float,
    ) -> None:
        """Record what a response says about the limit of its server.

        A missing field withdraws the limit only in the response to a request that was
        sent after the limit became known, and not in a refusal or a probe's response.

        Parameters
        ----------
        server : BackendServer
            Server that responded.
        statement : LimitStatement
            Its statement.
        source : {"response", "refusal", "probe"}
            Kind of the response.
        sent_at : float
            Reading of the clock when the request was sent.
        """
        if statement.kind == "malformed":
            log_event(312, server=server.server_id, source=source)
            return
        known = self._table.get(server.server_id)
        if known is not None and known.incarnation > server.incarnation:
            return
        if statement.kind == "named":
            self._hear(server, statement.per_s, source)
        elif (
            known is not None
            and known.named_per_s is not None
            and source == "response"
            and sent_at > known.known_since
        ):
            known.heard_at = self._timers.now()
            self._exchange.report(server.server_id, known, None)
            self._table.withdraw(server.server_id, source)

    def observe_warmup(
        self,
        server: BackendServer,
        left_s: float,
        per_s: float,
        source: str = "announcement",
        stated_at: float | None = None,
    ) -> None:
        """Record a statement about the warm-up of a server.

        Until it is warm, the server is limited to the lower of `per_s` and the limit
        that it names. A response without a named limit does not end that.

        Parameters
        ----------
        server : BackendServer
            Server that the statement is about.
        left_s : float
            How much longer it is cold, in seconds; 0 if it is warm.
        per_s : float
            Requests a second that it takes from all gateways together while cold.
        source : {"announcement", "start", "evacuation", "probe"}
            Where the statement is from. Only what a probe tells is passed on, since all
            gateways know the rest.
        stated_at : float or None, default=None
            Reading of the clock at the statement; None for the present time.
        """
        now = self._timers.now()
        is_changed = self._table.set_warmup(
            server.server_id,
            server.incarnation,
            left_s,
            per_s,
            now if stated_at is None else stated_at,
            source == "probe",
            source,
        )
        if is_changed and source == "probe":
            self._exchange.warmups.report(server.server_id, server.incarnation)

    def is_allocator(self, server_id: str) -> bool:
        """Tell whether this gateway grants the permits of a server."""
        return self._allocators.is_own(server_id)

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server is limited because it is cold."""
        known = self._table.get(server_id)
        return known is not None and known.is_cold

    def may_probe(self, server_id: str) -> bool:
        """Tell whether a server may be probed: not if it counts probes as requests."""
        known = self._table.get(server_id)
        return known is None or known.named_per_s is None

    def has_limits(self) -> bool:
        """Tell whether any server names a limit."""
        return len(self._table) > 0

    def is_limited(self, server_id: str) -> bool:
        """Tell whether a server names a limit or is cold."""
        return server_id in self._table

    def is_blocked(self, server_id: str) -> bool:
        """Tell whether a server is limited and no permit for it is at hand."""
        known = self._table.get(server_id)
        return known is not None and not known.count_permits()

    def has_permit(self, server_id: str) -> bool:
        """Tell whether a server is limited and a permit for it is at hand."""
        known = self._table.get(server_id)
        return known is not None and known.count_permits() > 0

    def limit_per_s(self, server_id: str) -> float | None:
        """Return a server's limit in requests a second, None if it has none."""
        known = self._table.get(server_id)
        return None if known is None else known.per_s

    async def request_permits(
        self, server_ids: Iterable[str], has_alternative: bool = False
    ) -> None:
        """Ask for permits where none are at hand, and wait shortly for the answers.

        Parameters
        ----------
        server_ids : iterable of str
            Servers that a caller's request may be sent to.
        has_alternative : bool, default=False
            Whether the request may be sent to a server without a limit. It then waits
            for no answer that an earlier request waits for already.
        """
        await self._requests.request(server_ids, has_alternative)

    def estimate_wait_s(self, server_ids: Iterable[str]) -> float:
        """Return the time until one of some blocked servers may take a request.

        The request that is refused for that time is counted.

        Parameters
        ----------
        server_ids : iterable of str
            Limited servers.

        Returns
        -------
        float
            Seconds, at least the mean interval of the permits of these servers.
        """
        now = self._timers.now()
        total_per_s = 0.0
        hold_until = cold_until = math.inf
        for server_id in server_ids:
            known = self._table.get(server_id)
            if known is not None:
                known.count(REFUSED)
                total_per_s += known.per_s
                if known.warmup is not None:
                    cold_until = min(cold_until, known.warmup.warm_at)
                hold_until = min(hold_until, known.hold_until)
        interval_s = 1 / max(total_per_s, 0.1)
        if cold_until < math.inf:
            self._cold_totals[REFUSED] += 1
            # Callers that return together would all meet cold servers again.
            left_s = min(max(cold_until - now, MIN_COLD_SPREAD_S), MAX_COLD_SPREAD_S)
            interval_s += self._rng.uniform(0.0, left_s)
        return max(interval_s, hold_until - now if hold_until < math.inf else 0.0)

    def take(self, server_id: str) -> Permit | None:
        """Return a permit for a server; None if it needs none or none is at hand."""
        known = self._table.get(server_id)
        return None if known is None else known.take_permit()

    def give_back(self, server_id: str, permit: Permit) -> None:
        """Return an unused permit, so that another request can use it."""
        known = self._table.get(server_id)
        if known is not None:
            known.return_permit(permit)

    def may_send(self, server: BackendServer, permit: Permit | None, kind: str) -> bool:
        """Tell whether a request or probe may be written to a server now; count it.

        Parameters
        ----------
        server : BackendServer
            Server that gets it.
        permit : Permit or None
            Permit that was taken for it. It is used up.
        kind : {"first", "retry", "hedge", "resend", "probe"}
            Why it is sent.
        """
        known = self._table.get(server.server_id)
        if known is None or known.incarnation < server.incarnation:
            return True
        if kind == "probe" and known.named_per_s is None:
            # A cold server does not count probes of its health path as requests.
            return True
        if permit is None or permit.expires_at <= self._timers.now():
            return False
        permit.expires_at = -math.inf
        known.count(kind)
        if known.is_cold:
            self._cold_totals[kind] += 1
        return True

    def count_cold(self) -> dict[tuple[str, ...], float]:
        """Return the number of cold servers, for a gauge."""
        return {(): float(sum(known.is_cold for _, known in self._table.items()))}

    def read_cold_totals(self) -> dict[tuple[str, ...], float]:
        """Return the requests to cold servers by kind, and those refused."""
        return {(kind,): float(total) for kind, total in self._cold_totals.items()}

    def read_limits(self) -> dict[tuple[str, ...], float]:
        """Return the limits by server id, for the metrics."""
        return {(name,): known.per_s for name, known in self._table.items()}

    def read_totals(self) -> dict[tuple[str, ...], float]:
        """Return the requests sent and refused by server id and kind, for metrics."""
        return {
            (name, kind): float(total)
            for name, known in self._table.items()
            for kind, total in known.totals.items()
        }

    def dump(self) -> dict[str, Any]:
        """Return limits, permits and requests by server id, for operators."""
        return {
            name: {"allocator": self._allocators.choose(name), **known.dump()}
            for name, known in self._table.items()
        }

    def _hear(self, server: BackendServer, per_s: float, source: str) -> None:
        """Record a limit that the server itself named to this gateway."""
        server_id = server.server_id
        changed = self._table.set_limit(server_id, server.incarnation, per_s, source)
        known = self._table.get(server_id)
        assert known is not None
        known.heard_at = self._timers.now()
        if changed:
            self._exchange.report(server_id, known, per_s)

    def _withdraw_record(self, server_id: str) -> None:
        self._exchange.withdraw_record(server_id)

    def _maintain(self) -> None:
        self._allocators.refresh()
        self._exchange.publish_own_records()
        self._allocators.retain(self._table)
        self._table.prune()
