"""Streaming of responses to callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.proxying._headers import contains_line_break, copy_lines
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from geraniumbend.proxying._dialect import Dialect
    from geraniumbend.proxying._ports import CallerRequest, UpstreamResponse


def list_response_lines(
    request: CallerRequest, response: UpstreamResponse, dialect: Dialect
) -> list[bytes]:
    """Return the header lines of a response to the caller, without framing fields.

    Parameters
    ----------
    request : CallerRequest
        Request that the response belongs to.
    response : UpstreamResponse
        Response of a backend server.
    dialect : Dialect
        Names and formats of header fields towards callers and backend servers.

    Raises
    ------
    UpstreamError
        If a header field contains a line break.
    """
    connection = response.headers.get("Connection")
    lines = copy_lines(response.raw_headers, connection, dialect.dropped_from_responses)
    if contains_line_break(lines):
        raise UpstreamError(
            "a header field of the response contains a line break", "unknown"
        )
    lines.append(dialect.list_response_lines(request.request_id).encode())
    return lines


def parse_content_length(response: UpstreamResponse) -> int | None:
    """Return the length of a response's body in bytes, None if it is not declared."""
    if "Transfer-Encoding" in response.headers:
        return None
    length = response.headers.get("Content-Length", "")
    return int(length) if length.isdecimal() and length.isascii() else None


async def relay(
    request: CallerRequest, response: UpstreamResponse, idle_s: float, dialect: Dialect
) -> None:
    """Stream a response to the caller as it arrives.

    The end of the body is written only after the backend server's response was read
    completely. After an exception the caller's connection has to be aborted.

    Parameters
    ----------
    request : CallerRequest
        Request that the response belongs to.
    response : UpstreamResponse
        Response of a backend server.
    idle_s : float
        Longest wait for the next bytes of the body, in seconds.
    dialect : Dialect
        Names and formats of header fields towards callers and backend servers.

    Raises
    ------
    UpstreamError
        If the response is truncated, or no byte arrives within `idle_s`.
    CallerLostError
        If the caller disconnected.
    """
    lines = list_response_lines(request, response, dialect)
    await request.start_response(
        response.status, response.reason, lines, parse_content_length(response)
    )
    while True:
        data, complete = response.read_ready()
        if complete:
            request.finish_response(data)
            return
        if not data:
            # Sends the head now, before the wait for the body.
            await request.write(b"")
            try:
                async with asyncio.timeout(idle_s):
                    data = await response.read()
            except TimeoutError as error:
                raise UpstreamError(
                    f"no byte of the response arrived within {idle_s} s", "unknown"
                ) from error
        writing = request.write(data)
        # Not kept while a slow caller reads what was written before.
        del data
        await writing
