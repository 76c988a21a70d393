"""Calls of the operators' API from the command line."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any

from geraniumbend import errors
from geraniumbend.errors import GeraniumbendError, SettingsError, UnavailableError

# Total time of one request to a control host, in seconds.
REQUEST_TIMEOUT_S = 60.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Longest time in seconds that a command waits for hosts that respond that they are
# unavailable, as they do during an election.
ELECTION_WAIT_S = 5.0
ROUND_PAUSE_S = 0.2
ERROR_BY_STATUS: dict[int, type[GeraniumbendError]] = {
    400: errors.ConfigurationError,
    401: errors.AuthenticationError,
    403: errors.AuthenticationError,
    404: errors.ConfigurationError,
    409: errors.ConflictError,
    422: errors.ConfigurationError,
    503: errors.UnavailableError,
}


def find_addresses(api: str | None) -> list[str]:
    """Return the operators' API addresses of the control hosts.

    Parameters
    ----------
    api : str or None
        Comma-separated URLs; None or empty uses the environment variable
        GERANIUMBEND_API.

    Returns
    -------
    list of str
        Base URLs.

    Raises
    ------
    SettingsError
        If neither source names an address.
    """
    text = api or os.environ.get("GERANIUMBEND_API", "")
    addresses = [part.strip().rstrip("/") for part in text.split(",") if part.strip()]
    if not addresses:
        raise SettingsError(
            "no control host address is given", "pass --api URL or set GERANIUMBEND_API"
        )
    return [part if "://" in part else f"http://{part}" for part in addresses]


def request(method: str, path: str, api: str | None = None, body: Any = None) -> Any:
    """Call the operators' API of the first available control host.

    Control hosts are tried in the given order. One that cannot be reached or responds
    that it is unavailable is skipped. While at least one responds, all are tried again
    for up to `ELECTION_WAIT_S`.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    api : str or None, default=None
        Comma-separated URLs of control hosts.
    body : object, default=None
        Value that is sent as JSON.

    Returns
    -------
    object
        Decoded JSON body of the response.

    Raises
    ------
    GeraniumbendError
        If the API responds with an error; the subclass depends on the status.
    UnavailableError
        If no control host is available.
    """
    return asyncio.run(_request(method, path, find_addresses(api), body))


async def _request(method: str, path: str, addresses: list[str], body: Any) -> Any:
    import aiohttp

    token = os.environ.get("GERANIUMBEND_TOKEN", "")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=2)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + ELECTION_WAIT_S
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        while True:
            last_error: Exception | None = None
            is_any_running = False
            for address in addresses:
                try:
                    return await _call_host(session, method, address + path, body)
                except UnavailableError as error:
                    is_any_running = True
                    last_error = error
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    ValueError,
                    RecursionError,
                ) as error:
                    last_error = error
            if not is_any_running or loop.time() >= end_s:
                break
            await asyncio.sleep(ROUND_PAUSE_S)
    raise UnavailableError(
        f"no control host is available: {last_error}",
        "check --api and that a majority of the control hosts is running",
    )


async def _call_host(session: Any, method: str, url: str, body: Any) -> Any:
    async with session.request(method, url, json=body) as response:
        content = await read_document(response)
        if response.status < 400:
            return content
        raise _rebuild_error(response.status, content)


async def read_document(response: Any) -> Any:
    """Return the JSON document of a response.

    Raises
    ------
    ProtocolError
        If the response exceeds `MAX_RESPONSE_BYTES`.
    ValueError
        If it is no JSON document.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            raise errors.ProtocolError(
                f"the response exceeds {MAX_RESPONSE_BYTES} bytes",
                "check that --api names a control host",
            )
    return json.loads(body) if body else None


def _rebuild_error(status: int, content: Any) -> GeraniumbendError:
    document = content if isinstance(content, dict) else {}
    message = str(document.get("title", f"status {status}"))
    if document.get("detail"):
        message = f"{message}: {document['detail']}"
    error_type = ERROR_BY_STATUS.get(status, GeraniumbendError)
    return error_type(message, str(document.get("remedy", "")))
