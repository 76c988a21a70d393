"""What a backend server states about itself in a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.proxying._dialect import Dialect
    from geraniumbend.proxying._ports import RouterPort, UpstreamResponse
    from geraniumbend.routing import ServerView

# A response with this status comes from another server that uses the address now.
MISDIRECTED_STATUS = 421


def observe_signals(
    router: RouterPort,
    view: ServerView,
    response: UpstreamResponse,
    dialect: Dialect,
) -> None:
    """Pass on what a server states in a response to a request or probe.

    Parameters
    ----------
    router : Router
        Hears the statements.
    view : ServerView
        Server that the request was sent to.
    response : UpstreamResponse
        Response that is known to belong to the request.
    dialect : Dialect
        Names of the header fields.
    """
    if response.status == MISDIRECTED_STATUS:
        return
    if dialect.read_leaving(response.headers):
        router.observe_leaving(view)
    asked = dialect.read_retry_after(response)
    if asked is not None:
        router.observe_retry_after(view, asked.delay_s, asked.kind)
