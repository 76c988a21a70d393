from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

    from geraniumbend.admission import AdmissionRequest
    from geraniumbend.model import BackendServer, Configuration
    from geraniumbend.orders import Claim
    from geraniumbend.routing import LoadReport, Outcome, ServerView

    RawHeaders = Sequence[tuple[bytes, bytes]]


class CallerLostError(GeraniumbendError):
    """The caller went away or its connection was aborted."""


class UpstreamError(GeraniumbendError):
    """A backend server did not answer a request.

    Parameters
    ----------
    message : str
        Cause.
    run : {"not_run", "unknown"}
        Whether the backend server may have run the request.
    server_lost : bool, default=False
        The connection broke before the answer and a new one is refused.
    timed_out : bool, default=False
        The deadline passed.
    unreachable : bool, default=False
        No connection could be opened, so that the attempt cost the server nothing.
    """

    def __init__(
        self,
        message: str,
        run: Literal["not_run", "unknown"],
        server_lost: bool = False,
        timed_out: bool = False,
        unreachable: bool = False,
    ) -> None:
        super().__init__(message)
        self.run = run
        self.server_lost = server_lost
        self.timed_out = timed_out
        self.unreachable = unreachable


class BodySource(Protocol):
    """Body of a caller's request that is read as it arrives."""

    async def read_body(self) -> bytes:
        """Return the next bytes, empty at the end."""
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
        Body, when it was read completely before sending.
    source : BodySource or None
        Body that is still arriving; sent with chunked coding or Content-Length as
        the head says.
    chunked : bool
        Whether the body from `source` is sent with chunked coding.
    safe : bool
        The request may be sent again (RFC 9110, 9.2.1).
    deadline_s : float
        Reading of the timer service's clock at which the answer is due.
    silence_s : float
        Time without any byte after which a reused connection is suspected, in seconds.
    renew : callable or None, default=None
        Returns the request as it is to be sent once more on another connection, or
        None when it must not be sent again. Without it the request itself is sent.
    """

    method: str
    head: bytes
    body: bytes
    source: BodySource | None
    chunked: bool
    safe: bool
    deadline_s: float
    silence_s: float
    renew: Callable[[], UpstreamRequest | None] | None = None


class UpstreamResponse(Protocol):
    """Answer of a backend server whose head has arrived."""

    status: int
    reason: str
    headers: Mapping[str, str]
    raw_headers: RawHeaders

    def read_ready(self) -> tuple[bytes, bool]:
        """Return the bytes that are there, and whether they end the body.

        Raises
        ------
        UpstreamError
            If the body ended early.
        """
        ...

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its complete end.

        Raises
        ------
        UpstreamError
            If the body ended early.
        """
        ...

    def close(self) -> None:
        """Give the connection back, or close it unless everything was read."""
        ...

    def discard(self) -> None:
        """Close the connection, whatever was read."""
        ...


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, server: BackendServer, request: UpstreamRequest
    ) -> UpstreamResponse:
        """Send a request and return the answer once its head has arrived.

        Raises
        ------
        UpstreamError
            If no answer arrived.
        """
        ...


class CallerRequest(BodySource, Protocol):
    """A caller's request and the way to answer it."""

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

    async def wait_turn(self) -> None:
        """Wait until the earlier requests of the connection are answered."""
        ...

    async def start_response(
        self, status: int, reason: str, lines: Iterable[bytes], length: int | None
    ) -> None:
        """Prepare the head of the answer; it is written with the first bytes.

        Parameters
        ----------
        status : int
            Status code.
        reason : str
            Reason phrase.
        lines : iterable of bytes
            Header lines with their line ends, without framing fields.
        length : int or None
            Length of the body, None when unknown.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Write bytes of the body; waits while the caller reads slowly."""
        ...

    def finish_response(self, data: bytes = b"") -> None:
        """Write the last bytes of the body and its end."""
        ...

    def abort(self) -> None:
        """Break the caller's connection so that the response looks truncated."""
        ...


class ConfigurationPort(Protocol):
    """Source of the active configuration."""

    @property
    def current(self) -> Configuration:
        """Return the active configuration; never changed in place."""
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
        """Return a backend server; raises RefusedError when none is left."""
        ...

    async def probe_candidates(
        self,
        group: str,
        request_class: str,
        excluded: Collection[str],
        deadline_s: float,
        patience_s: float = 0.0,
    ) -> bool:
        """Learn the load of some servers; whether one has room on a quiet host."""
        ...

    def expect_service(self, group: str, request_class: str) -> float:
        """Return the mean time that a request of a class takes, in seconds."""
        ...

    def start_request(self, view: ServerView, request_class: str) -> None:
        """Count a request that is sent to a server."""
        ...

    def finish_request(
        self, view: ServerView, request_class: str, outcome: Outcome
    ) -> None:
        """Learn from the end of a request."""
        ...

    def observe_report(self, view: ServerView, report: LoadReport) -> None:
        """Take the load report of a response."""
        ...

    def report_gone(self, view: ServerView) -> None:
        """Note that another server has the address of a server."""
        ...


class RetryBudgetPort(Protocol):
    """Bound of retries and hedges.

    Attributes
    ----------
    counts_moves : bool
        Whether a request that is sent again from a silent connection is a retry.
    """

    counts_moves: bool

    def spend(self, group: str) -> bool:
        """Tell whether one more attempt is allowed, and count it."""
        ...

    def allows(self, group: str) -> bool:
        """Tell whether one more attempt is allowed, without counting it."""
        ...

    def earn(self, group: str) -> None:
        """Count a success."""
        ...


class QuarantinePort(Protocol):
    """Requests that end backend servers."""

    def check(self, fingerprint: str) -> None:
        """Raise RefusedError if the request is in quarantine."""
        ...

    async def enter(self, fingerprint: str) -> None:
        """Wait until the request may run; raises RefusedError if it must not."""
        ...

    def leave(self, fingerprint: str) -> None:
        """End the run that `enter` allowed."""
        ...

    async def report_loss(self, fingerprint: str, server_id: str) -> None:
        """Tell all gateways that a server was lost to a request."""
        ...

    def report_success(self, fingerprint: str) -> None:
        """Clear what is known about a request that was answered."""
        ...


class TicketPort(Protocol):
    """Permission to send one request."""

    def release(self, outcome: Outcome) -> None:
        """Give the place back."""
        ...


class AdmissionPort(Protocol):
    """Admission of requests under overload."""

    async def admit(self, request: AdmissionRequest) -> TicketPort:
        """Wait for a place; raises RefusedError when the request is refused."""
        ...


class OrdersPort(Protocol):
    """Journal of orders."""

    async def claim(
        self,
        key: str,
        caller_digest: bytes,
        request_digest: bytes,
        owner: str,
        deadline_s: float,
    ) -> Claim:
        """Claim a key; raises RefusedError when no majority answers."""
        ...

    async def complete(self, claim: Claim, answer: bytes) -> None:
        """Record the answer of an order that has run."""
        ...

    async def release(self, claim: Claim) -> None:
        """Record that an order has not run."""
        ...

    async def abandon(self, claim: Claim) -> None:
        """Record that it is unknown whether an order has run."""
        ...
