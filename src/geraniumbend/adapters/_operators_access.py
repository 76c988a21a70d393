from __future__ import annotations

import asyncio
import hashlib
import hmac
import ipaddress
import os
from typing import TYPE_CHECKING

from geraniumbend.errors import AuthenticationError, SettingsError
from geraniumbend.tokens import verify_token

if TYPE_CHECKING:
    from geraniumbend.settings import ControlSettings, TokenSettings

ROLES = ("read", "write")
# A check takes about 40 ms and 16 MiB; more at once would let strangers fill the
# memory of a control host.
CONCURRENT_CHECKS = 2
MAX_REMEMBERED = 1000


class ForbiddenError(AuthenticationError):
    """The token is known but its role does not allow the request."""

    http_status = 403


class OperatorsAccess:
    """Checks bearer tokens against their scrypt hashes.

    Parameters
    ----------
    tokens : list of TokenSettings
        Known tokens.
    is_open : bool
        Whether requests without token are accepted.
    """

    def __init__(self, tokens: list[TokenSettings], is_open: bool) -> None:
        self._tokens = tokens
        self._is_open = is_open
        self._secret = os.urandom(32)
        self._known: dict[bytes, TokenSettings] = {}
        self._checks = asyncio.Semaphore(CONCURRENT_CHECKS)

    @classmethod
    def from_config(cls, settings: ControlSettings) -> OperatorsAccess:
        """Build the checks from the settings of a control host.

        Raises
        ------
        SettingsError
            If a role is unknown, or no token is set although the listener can be
            reached from other hosts.
        """
        for token in settings.tokens:
            if token.role not in ROLES:
                raise SettingsError(
                    f"token {token.name!r} has the unknown role {token.role!r}",
                    "use 'read' or 'write'",
                )
        is_open = not settings.tokens
        if is_open and not ipaddress.ip_address(settings.operators.host).is_loopback:
            raise SettingsError(
                "the operators' API listens beyond loopback without any token",
                "add a [[control.tokens]] table; see geraniumbend token hash",
            )
        return cls(list(settings.tokens), is_open)

    async def check(self, header: str, role: str) -> str:
        """Return the name of the operator who sent a request.

        Parameters
        ----------
        header : str
            Value of the ``Authorization`` header.
        role : {"read", "write"}
            Role that the request needs; ``write`` includes ``read``.

        Returns
        -------
        str
            Name of the token.

        Raises
        ------
        AuthenticationError
            If the token is missing or unknown.
        ForbiddenError
            If its role is not sufficient.
        """
        if self._is_open:
            return "local"
        scheme, _, secret = header.partition(" ")
        if scheme.lower() != "bearer" or not secret:
            raise AuthenticationError(
                "the request carries no bearer token", "set GERANIUMBEND_TOKEN"
            )
        token = await self._find(secret.strip())
        if role == "write" and token.role != "write":
            raise ForbiddenError(
                f"token {token.name!r} may only read", "use a token with role write"
            )
        return token.name

    async def _find(self, secret: str) -> TokenSettings:
        mark = hmac.digest(
            self._secret, secret.encode("utf-8", "surrogateescape"), hashlib.sha256
        )
        if mark in self._known:
            return self._known[mark]
        async with self._checks:
            for token in self._tokens:
                if await asyncio.to_thread(verify_token, secret, token.hash):
                    if len(self._known) < MAX_REMEMBERED:
                        self._known[mark] = token
                    return token
        raise AuthenticationError(
            "the bearer token is unknown", "check GERANIUMBEND_TOKEN"
        )
