"""Decides which statuses a caller may get for a request that may have run.

The table of all cases is in docs/design/statuses.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._dialect import Dialect


def may_send_status(
    dialect: Dialect, status: int, may_have_run: bool, is_repeatable: bool = False
) -> bool:
    """Tell whether a status promises a caller nothing false.

    Parameters
    ----------
    dialect : Dialect
        What callers understand by a status.
    status : int
        Status of a refusal of the gateway, or of a backend server's response.
    may_have_run : bool
        Whether a backend server may have begun to run the request.
    is_repeatable : bool, default=False
        Whether it does no harm if the caller sends the request again; the status of a
        backend server is then passed on as it is.
    """
    return status not in dialect.not_run_statuses or not may_have_run or is_repeatable


def check_status(context: RequestContext, status: int) -> None:
    """Refuse to pass on a backend server's status that would be a false promise.

    Parameters
    ----------
    context : RequestContext
        Request, which the server may have run.
    status : int
        Status of the server's response, also of one in the order journal.

    Raises
    ------
    RefusedError
        Status 502, which promises nothing; `run` is ``"unknown"``.
    """
    if may_send_status(context.dialect, status, True, context.safe):
        return
    raise RefusedError(
        f"the backend server failed with status {status} and may have run the request",
        "ask the backend application for the state of the request",
        run="unknown",
        status=502,
        kind="backend_failed",
    )
