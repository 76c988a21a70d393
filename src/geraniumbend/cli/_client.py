from __future__ import annotations

import asyncio
import os
from typing import Any

from geraniumbend import errors
from geraniumbend.errors import GeraniumbendError, SettingsError, UnavailableError

REQUEST_TIMEOUT_S = 60.0
KIND_BY_STATUS: dict[int, type[GeraniumbendError]] = {
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
        Comma-separated URLs; the environment variable GERANIUMBEND_API otherwise.

    Returns
    -------
    list of str
        Base URLs.

    Raises
    ------
    SettingsError
        If no address is known.
    """
    text = api or os.environ.get("GERANIUMBEND_API", "")
    addresses = [part.strip().rstrip("/") for part in text.split(",") if part.strip()]
    if not addresses:
        raise SettingsError(
            "no control host is known", "pass --api URL or set GERANIUMBEND_API"
        )
    return [part if "://" in part else f"http://{part}" for part in addresses]


def request(method: str, path: str, api: str | None = None, body: Any = None) -> Any:
    """Call the operators' API of the first control host that answers.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    api : str or None, default=None
        Comma-separated URLs of control hosts.
    body : object, default=None
        Value sent as JSON.

    Returns
    -------
    object
        Decoded JSON of the answer.

    Raises
    ------
    GeraniumbendError
        The typed error that the API answered with.
    UnavailableError
        If no control host answers.
    """
    return asyncio.run(_request(method, path, find_addresses(api), body))


async def _request(method: str, path: str, addresses: list[str], body: Any) -> Any:
    import aiohttp

    token = os.environ.get("GERANIUMBEND_TOKEN", "")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=2)
    problem: Exception | None = None
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        for address in addresses:
            try:
                async with session.request(method, address + path, json=body) as answer:
                    content = await answer.json(content_type=None)
                    if answer.status < 400:
                        return content
                    raised = _restore_error(answer.status, content)
                    if not isinstance(raised, UnavailableError):
                        raise raised
                    problem = raised
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                problem = error
    raise UnavailableError(
        f"no control host answered: {problem}",
        "check --api and that a majority of control hosts runs",
    )


def _restore_error(status: int, content: Any) -> GeraniumbendError:
    members = content if isinstance(content, dict) else {}
    message = str(members.get("title", f"status {status}"))
    if members.get("detail"):
        message = f"{message}: {members['detail']}"
    kind = KIND_BY_STATUS.get(status, GeraniumbendError)
    return kind(message, str(members.get("remedy", "")))
