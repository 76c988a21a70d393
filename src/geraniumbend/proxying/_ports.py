from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from geraniumbend.model import BackendServer

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
    """

    def __init__(
        self,
        message: str,
        run: Literal["not_run", "unknown"],
        server_lost: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(message)
        self.run = run
        self.server_lost = server_lost
        self.timed_out = timed_out


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
    """

    method: str
    head: bytes
    body: bytes
    source: BodySource | None
    chunked: bool
    safe: bool
    deadline_s: float
    silence_s: float


class Answer(Protocol):
    """Answer of a backend server whose head has arrived."""

    status: int
    reason: str
    headers: Mapping[str, str]
    raw_headers: RawHeaders
    has_body: bool
    request_sent: bool

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


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(self, server: BackendServer, request: UpstreamRequest) -> Answer:
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
    answer_started: bool

    async def start_answer(
        self, status: int, reason: str, headers: Iterable[bytes], length: int | None
    ) -> None:
        """Write the head of the answer.

        Parameters
        ----------
        status : int
            Status code.
        reason : str
            Reason phrase.
        headers : iterable of bytes
            Lines with their line ends, without framing fields.
        length : int or None
            Length of the body, -1 when there is none, None when unknown.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Write bytes of the body; waits while the caller reads slowly."""
        ...

    async def finish_answer(self) -> None:
        """Write the end of the body."""
        ...

    def abort(self) -> None:
        """Break the caller's connection so that the answer looks truncated."""
        ...
