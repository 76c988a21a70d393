"""One attempt of a request at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from geraniumbend.limits import Permit
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._ports import SendKind, UpstreamError, UpstreamResponse
    from geraniumbend.routing import ServerView


class Attempt:
    """One try to get a response from one backend server.

    Parameters
    ----------
    view : ServerView
        Backend server.
    started_s : float
        Reading of the timer service's clock.
    kind : {"first", "retry", "hedge"}, default="first"
        Why the attempt is made.
    permit : Permit or None, default=None
        Permit to send it, if the server is limited.

    Attributes
    ----------
    resent : bool
        Whether the request was sent to the server once more on a new connection. A
        refusal then concerns the second copy only.
    not_run : bool
        Whether the backend server states that it did not run the request, or nothing
        was written.
    outdated : bool
        Whether a write was withheld because the state by which the server was chosen
        had not been renewed after a pause of the process.
    head_latency_s : float
        Time from the start of the attempt to the head of the response, in seconds.
    response : UpstreamResponse or None
        Response, once its head has arrived.
    finished : bool
        Whether the outcome was reported to the router.
    """

    __slots__ = (
        "finished",
        "head_latency_s",
        "kind",
        "not_run",
        "outdated",
        "permit",
        "resent",
        "response",
        "started_s",
        "view",
    )

    def __init__(
        self,
        view: ServerView,
        started_s: float,
        kind: SendKind = "first",
        permit: Permit | None = None,
    ) -> None:
        self.permit = permit
        self.kind = kind
        self.not_run = False
        self.outdated = False
        self.resent = False
        self.view = view
        self.started_s = started_s
        self.head_latency_s = 0.0
        self.response: UpstreamResponse | None = None
        self.finished = False


def build_failure_refusal(
    context: RequestContext, error: UpstreamError
) -> RefusedError:
    """Return the refusal of a request to which no backend server responded."""
    if error.timed_out:
        return context.build_refusal(error, 504, "deadline_passed")
    if context.unresolved_attempts:
        return context.build_refusal(error, 502, "backend_failed")
    return context.build_refusal(error, 503, "backend_unreachable", 1.0)


def build_shed_refusal(
    context: RequestContext, response: UpstreamResponse, room_s: float
) -> RefusedError:
    """Return the refusal of a request that the last server tried did not run.

    Parameters
    ----------
    context : RequestContext
        Request.
    response : UpstreamResponse
        Response of the server; the delay that it states counts.
    room_s : float
        Time until the group has room for a new request, in seconds.
    """
    after = response.headers.get("Retry-After", "")
    stated = after.isdecimal() and len(after) < 6
    cause = RefusedError("backend server shed the request before running it")
    delay_s = float(after) if stated else room_s
    return context.build_refusal(cause, 503, "shed", delay_s)


def build_asked_refusal(context: RequestContext, delay_s: float) -> RefusedError:
    """Return the refusal of a request while all servers of its group asked for time."""
    cause = RefusedError("all backend servers have asked to get no requests")
    return context.build_refusal(cause, 503, "shed", delay_s)
