from __future__ import annotations

import asyncio
import os
from typing import Any

from geraniumbend import errors
from geraniumbend.errors import GeraniumbendError, SettingsError, UnavailableError

# Total time of one request to a control host, in seconds.
REQUEST_TIMEOUT_S = 60.0
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
    that it is unavailable is skipped.

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
    last_error: Exception | None = None
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        for address in addresses:
            try:
                async with session.request(
                    method, address + path, json=body
                ) as response:
                    content = await response.json(content_type=None)
                    if response.status < 400:
                        return content
                    api_error = _rebuild_error(response.status, content)
                    if not isinstance(api_error, UnavailableError):
                        raise api_error
                    last_error = api_error
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                last_error = error
    raise UnavailableError(
        f"no control host is available: {last_error}",
        "check --api and that a majority of the control hosts is running",
    )


def _rebuild_error(status: int, content: Any) -> GeraniumbendError:
    document = content if isinstance(content, dict) else {}
    message = str(document.get("title", f"status {status}"))
    if document.get("detail"):
        message = f"{message}: {document['detail']}"
    error_type = ERROR_BY_STATUS.get(status, GeraniumbendError)
    return error_type(message, str(document.get("remedy", "")))
