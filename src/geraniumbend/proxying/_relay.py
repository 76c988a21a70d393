from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.proxying._headers import contains_line_break, copy_lines
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from geraniumbend.proxying._dialect import Dialect
    from geraniumbend.proxying._ports import CallerRequest, UpstreamResponse


def list_response_lines(
    request: CallerRequest, answer: UpstreamResponse, dialect: Dialect
) -> list[bytes]:
    """Return the header lines of an answer for the caller, without framing.

    Parameters
    ----------
    request : CallerRequest
        Request that is answered.
    answer : Answer
        Answer of a backend server.
    dialect : Dialect
        Header fields towards callers and backend servers.

    Raises
    ------
    UpstreamError
        If a field contains a line break.
    """
    connection = answer.headers.get("Connection")
    lines = copy_lines(answer.raw_headers, connection, dialect.dropped_from_responses)
    if contains_line_break(lines):
        raise UpstreamError("answer has a line break in a field", "unknown")
    lines.append(dialect.list_response_lines(request.request_id).encode())
    return lines


def read_length(answer: UpstreamResponse) -> int | None:
    """Return the length of an answer's body, None when it is not declared."""
    if "Transfer-Encoding" in answer.headers:
        return None
    length = answer.headers.get("Content-Length", "")
    return int(length) if length.isdecimal() and length.isascii() else None


async def relay(
    request: CallerRequest, answer: UpstreamResponse, idle_s: float, dialect: Dialect
) -> None:
    """Send an answer to the caller as it arrives.

    The end is written only after the backend server's answer was read completely;
    on any error the receiver of the exception aborts the caller's connection.

    Parameters
    ----------
    request : CallerRequest
        Request that is answered.
    answer : Answer
        Answer of a backend server.
    idle_s : float
        Longest wait for the next bytes of the body, in seconds.
    dialect : Dialect
        Header fields towards callers and backend servers.

    Raises
    ------
    UpstreamError
        If the answer is truncated or makes no progress.
    CallerLostError
        If the caller went away.
    """
    lines = list_response_lines(request, answer, dialect)
    await request.start_response(
        answer.status, answer.reason, lines, read_length(answer)
    )
    while True:
        data, complete = answer.read_ready()
        if complete:
            request.finish_response(data)
            return
        if not data:
            # The head goes out before a wait for the body.
            await request.write(b"")
            try:
                async with asyncio.timeout(idle_s):
                    data = await answer.read()
            except TimeoutError as error:
                raise UpstreamError("answer makes no progress", "unknown") from error
        await request.write(data)
