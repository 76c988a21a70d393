"""Ports between the data path and its adapters."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

    from geraniumbend.admission import AdmissionRequest
    from geraniumbend.limits import LimitStatement, Permit
    from geraniumbend.model import BackendServer, Configuration, Tenant
    from geraniumbend.orders import Claim
    from geraniumbend.routing import LoadReport, Outcome, ServerView, SlotTurn

    RawHeaders = Sequence[tuple[bytes, bytes]]
    SendKind = Literal["first", "retry", "hedge", "resend", "probe"]


class CallerLostError(GeraniumbendError):
    """The caller disconnected or its connection was aborted."""


class UpstreamError(GeraniumbendError):
    """A backend server gave no usable response to a request.

    Parameters
    ----------
    message : str
        Cause of the error.
    run : {"not_run", "unknown"}
        Whether the backend server may have run the request.
    server_lost : bool, default=False
        Whether the connection broke before the response and the server refuses a new
        one.
    timed_out : bool, default=False
        Whether the deadline passed.
    unreachable : bool, default=False
        Whether no connection could be opened; the attempt cost the server no work then.
    server_full : bool, default=False
        Whether the connection broke before the response while the server was full.
    withheld : bool, default=False
        Whether nothing was sent because the server is at its limit or leaves.
    """

    def __init__(
        self,
        message: str,
        run: Literal["not_run", "unknown"],
        server_lost: bool = False,
        timed_out: bool = False,
        unreachable: bool = False,
        server_full: bool = False,
        withheld: bool = False,
    ) -> None:
        super().__init__(message)
        self.run = run
        self.server_lost = server_lost
        self.timed_out = timed_out
        self.unreachable = unreachable
        self.server_full = server_full
        self.withheld = withheld


class BodySource(Protocol):
    """Body of a caller's request, read as it arrives."""

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        ...


class UpstreamRequest(NamedTuple):
    """A request as it is sent to a backend server.

    Parameters
    ----------
    method : str
        HTTP method.
    head : bytes
        Request line and header fields with the final empty line.
    body : bytes
        Body, if it was read completely before sending.
    source : BodySource or None
        Body that is still arriving; the head states whether it is sent with chunked
        coding or with Content-Length.
    chunked : bool
        Whether the body from `source` is sent with chunked coding.
    safe : bool
        Whether the request may be sent again although it may have run, as safe methods
        may (RFC 9110, 9.2.1).
    deadline_s : float
        Reading of the timer service's clock at which the response is due.
    silence_timeout_s : float
        Time without any byte after which a reused connection is suspected to be broken,
        in seconds.
    build_resend : callable or None, default=None
        Returns the request in the form in which it is resent on a new connection, or
        None if it must not be resent. Without this callable the request is resent
        unchanged.
    is_server_full : callable or None, default=None
        Tells whether the server has more requests than slots by its last report. A full
        server may reset connections, which is no sign of a crash, and gets no new ones.
    purpose : str, default="requests"
        Purpose under which the bytes of the request and its response are counted.
    may_send : callable or None, default=None
        Asked right before the request is written; it is not sent if False is returned.
    """

    method: str
    head: bytes
    body: bytes
    source: BodySource | None
    chunked: bool
    safe: bool
    deadline_s: float
    silence_timeout_s: float
    build_resend: Callable[[], UpstreamRequest | None] | None = None
    is_server_full: Callable[[], bool] | None = None
    purpose: str = "requests"
    may_send: Callable[[], bool] | None = None


class UpstreamResponse(Protocol):
    """Response of a backend server whose head has arrived.

    Attributes
    ----------
    reused : bool
        Whether its connection has carried a request before.
    """

    reused: bool
    status: int
    reason: str
    headers: Mapping[str, str]
    raw_headers: RawHeaders

    def read_ready(self) -> tuple[bytes, bool]:
        """Return the bytes received so far and whether they complete the body.

        Raises
        ------
        UpstreamError
            If the body ended early.
        """
        ...

    async def read(self) -> bytes:
        """Wait for the next bytes of the body and return them, empty at its end.

        Raises
        ------
        UpstreamError
            If the body ended early.
        """
        ...

    def close(self) -> None:
        """Return the connection to its pool if the body was read, else close it."""
        ...

    def discard(self) -> None:
        """Close the connection even if the body was read completely."""
        ...


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, server: BackendServer, request: UpstreamRequest
    ) -> UpstreamResponse:
        """Send a request and return the response once its head has arrived.

        Raises
        ------
        UpstreamError
            If no response arrived.
        """
        ...


class CallerRequest(BodySource, Protocol):
    """A caller's request and the means to respond to it.

    Attributes
    ----------
    is_streamed : bool
        Whether the bytes of the body are passed on as they are read, and not kept.
    is_sent : bool
        Whether the request may have left this gateway.
    connection : int
        Number of the caller's connection.
    """

    method: str
    path: str
    target: str
    headers: Mapping[str, str]
    raw_headers: RawHeaders
    remote: str
    scheme: str
    has_body: bool
    body_length: int | None
    response_started: bool
    request_id: str
    is_forwarded: bool
    is_streamed: bool
    is_sent: bool
    connection: int

    async def wait_turn(self) -> None:
        """Wait for the responses to earlier pipelined requests of the connection."""
        ...

    def is_behind(self) -> bool:
        """Return whether earlier responses of the connection are not written yet."""
        ...

    async def start_response(
        self, status: int, reason: str, lines: Iterable[bytes], length: int | None
    ) -> None:
        """Prepare the head of the response; it is sent with the first body bytes.

        Parameters
        ----------
        status : int
            Status code.
        reason : str
            Reason phrase.
        lines : iterable of bytes
            Header lines with their line ends, without framing fields.
        length : int or None
            Length of the body in bytes, None if unknown.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Write bytes of the body; wait while the caller reads slowly."""
        ...

    def finish_response(self, data: bytes = b"") -> None:
        """Write the last bytes of the body and its end."""
        ...

    def abort(self) -> None:
        """Reset the caller's connection so that the response is seen as truncated."""
        ...


class ConfigurationPort(Protocol):
    """Source of the active configuration."""

    @property
    def current(self) -> Configuration:
        """Return the active configuration, an immutable object."""
        ...


class RouterPort(Protocol):
    """Choice of backend servers."""

    def choose(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        trial: bool = True,
    ) -> ServerView:
        """Return a backend server; raises RefusedError if none is left to try."""
        ...

    async def probe_candidates(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        max_wait_s: float = 0.0,
        *,
        turn: SlotTurn | None = None,
    ) -> bool:
        """Probe servers; tell whether one has a free slot on a lightly loaded host.

        `max_wait_s` is the longest time to wait for a slot, in seconds; `turn` is the
        place of the request among those that wait. Raises RefusedError if there will
        be no slot in time.
        """
        ...

    def estimate_service_s(self, group: str, request_class: str) -> float:
        """Return the mean service time of a request class, in seconds."""
        ...

    def estimate_response_s(self, group: str, request_class: str) -> float:
        """Return the time within which most responses are complete, in seconds."""
        ...

    def estimate_room_s(self, group: str, request_class: str) -> float:
        """Return the time until a new request would have a slot, in seconds."""
        ...

    def start_request(self, view: ServerView, request_class: str) -> None:
        """Count a request as in flight at a server."""
        ...

    def finish_request(
        self, view: ServerView, request_class: str, outcome: Outcome
    ) -> None:
        """Record the outcome of a request."""
        ...

    def observe_report(self, view: ServerView, report: LoadReport) -> None:
        """Record the load report of a response."""
        ...

    def observe_leaving(self, view: ServerView) -> None:
        """Record that a server states in a response that it leaves."""
        ...

    def observe_retry_after(
        self, view: ServerView, delay_s: float, kind: str = "seconds"
    ) -> None:
        """Record that a server asks this gateway to send it nothing for a time."""
        ...

    def find_return_delay(self, group: str) -> float | None:
        """Return when callers are served if all servers of a group asked for time."""
        ...

    def check_asked_time(self, group: str) -> None:
        """Refuse a request if all servers of its group have asked for time."""
        ...

    def is_full(self, view: ServerView) -> bool:
        """Tell whether a server has more requests than slots by its last report."""
        ...

    def accepts_requests(self, view: ServerView) -> bool:
        """Tell whether a server may still get requests: it has not begun to leave."""
        ...

    def has_alternative(self, group: str, excluded: Collection[str]) -> bool:
        """Tell whether a group has servers besides the excluded ones."""
        ...

    def may_hang(self, view: ServerView) -> bool:
        """Tell whether a server may have no room for another request."""
        ...

    def report_hanging(self, view: ServerView, waited_s: float) -> None:
        """Record that a request to a server got no byte for too long."""
        ...

    def report_full(self, view: ServerView) -> None:
        """Record that a server reset a connection because it was full."""
        ...

    def report_address_reused(self, view: ServerView) -> None:
        """Record that the address of a server now belongs to another server."""
        ...


class RetryBudgetPort(Protocol):
    """Limit on retries and hedges.

    Attributes
    ----------
    counts_resends : bool
        Whether a resend on a new connection, after the old one went silent, counts as a
        retry.
    """

    counts_resends: bool

    def try_acquire(self, group: str) -> bool:
        """Count one more attempt if it is allowed; tell whether it is."""
        ...

    def allows(self, group: str) -> bool:
        """Tell whether one more attempt is allowed, without counting it."""
        ...

    def record_success(self, group: str) -> None:
        """Count a successful response, which adds to the budget."""
        ...


class HedgeBudgetPort(Protocol):
    """Budget of the extra work that hedges cause."""

    def record_request(self, group: str, service_s: float, ratio: float) -> None:
        """Earn the share of one request."""
        ...

    def allows(self, group: str, service_s: float) -> bool:
        """Tell whether a hedge may be sent, without spending the budget."""
        ...

    def spend(self, group: str, service_s: float) -> None:
        """Spend one hedge and its service time."""
        ...

    def refund(self, group: str, service_s: float) -> None:
        """Give back what `spend` took for a hedge that was not sent."""
        ...

    def count(self, outcome: str) -> None:
        """Count a hedge that started or won, or the reason why none was sent."""
        ...


class QuarantinePort(Protocol):
    """Quarantine of requests that crash backend servers."""

    def check(self, fingerprint: str) -> None:
        """Raise RefusedError if the request is in quarantine."""
        ...

    async def begin_run(self, fingerprint: str) -> None:
        """Wait until the request may run; raises RefusedError if it must not."""
        ...

    def end_run(self, fingerprint: str) -> None:
        """End the run that `begin_run` allowed, without a verdict on the request."""
        ...

    async def report_loss(self, fingerprint: str, server_id: str) -> None:
        """Notify all gateways that a server was lost while it ran a request."""
        ...

    def report_success(self, fingerprint: str) -> None:
        """End the run and clear the suspicion, because the server responded."""
        ...


class TicketPort(Protocol):
    """Permission of admission to send one request."""

    def observe_refusal(self) -> None:
        """Record that the request found no slot in its caller's time."""
        ...

    def release(self, outcome: Outcome) -> None:
        """Return the permission and report the outcome of the request."""
        ...


class AdmissionPort(Protocol):
    """Admission of requests under overload."""

    async def admit(self, request: AdmissionRequest) -> TicketPort:
        """Wait for permission; raises RefusedError if the request is refused."""
        ...


class RankingPort(Protocol):
    """Admission by rank and tenant to crowded groups."""

    def find_turn(
        self, group: str, rank: int, tenant: str, arrived_s: float
    ) -> SlotTurn:
        """Return the place of a request among those that wait for a slot."""
        ...


class QuotaPort(Protocol):
    """Quotas of tenants, kept by all gateways together."""

    async def admit(
        self, tenant: Tenant, max_wait_s: float = math.inf
    ) -> QuotaTicketPort | None:
        """Count a request of a tenant; raises RefusedError above its quota.

        `max_wait_s` is how long it can wait and be answered in its caller's time.
        """
        ...

    def refund(self, ticket: QuotaTicketPort | None) -> None:
        """Return what a request has used that was never run."""
        ...


class QuotaTicketPort(Protocol):
    """What one request has used of the quota of its tenant."""

    def refund(self) -> None:
        """Return it."""
        ...


class LimitsPort(Protocol):
    """Limits that backend servers name in their responses."""

    def observe(
        self,
        server: BackendServer,
        statement: LimitStatement,
        source: str,
        sent_at: float,
    ) -> None:
        """Record what a response says about the limit of its server."""
        ...

    def is_limited(self, server_id: str) -> bool:
        """Tell whether a server names a limit."""
        ...

    def take(self, server_id: str) -> Permit | None:
        """Return a permit for a server; None if it needs none or none is at hand."""
        ...

    def give_back(self, server_id: str, permit: Permit) -> None:
        """Return an unused permit."""
        ...

    def may_send(
        self, server: BackendServer, permit: Permit | None, kind: SendKind
    ) -> bool:
        """Tell whether a request may be written to a server now; count it."""
        ...


class LinksPort(Protocol):
    """Links from this gateway to the backend servers."""

    def is_lost(self, group: str) -> bool:
        """Tell whether this gateway reaches no server of a group."""
        ...

    def is_suspect(self, group: str) -> bool:
        """Tell whether several servers are silent and none has answered since."""
        ...


class OrdersPort(Protocol):
    """Client of the order journal."""

    async def claim(
        self,
        key: str,
        caller_digest: bytes,
        request_digest: bytes,
        owner: str,
        deadline_s: float,
    ) -> Claim:
        """Claim a key; raises RefusedError if no majority responds."""
        ...

    async def complete(self, claim: Claim, response: bytes) -> None:
        """Record the response to an order that has run."""
        ...

    async def release(self, claim: Claim) -> None:
        """Record that an order has not run."""
        ...

    async def abandon(self, claim: Claim) -> None:
        """Record that it is unknown whether an order has run."""
        ...
