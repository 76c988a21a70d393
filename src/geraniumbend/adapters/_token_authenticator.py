"""Authentication of operators by bearer tokens."""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
import os
from functools import partial
from typing import TYPE_CHECKING

from geraniumbend.adapters._worker_pool import WorkerPool
from geraniumbend.errors import AuthenticationError, SettingsError
from geraniumbend.tokens import verify_token

if TYPE_CHECKING:
    from geraniumbend.settings import ControlSettings, TokenSettings

ROLES = ("read", "write")
# One scrypt check takes about 40 ms and 16 MiB. The limit keeps unauthenticated clients
# from exhausting the memory of a control host.
MAX_CONCURRENT_CHECKS = 2
MAX_CACHED_TOKENS = 1000


class ForbiddenError(AuthenticationError):
    """The token is known but its role does not allow the request."""

    http_status = 403


class TokenAuthenticator:
    """Authenticates operators by bearer tokens, which are stored as scrypt hashes.

    Verified tokens are cached by their HMAC, since a scrypt check is slow.

    Parameters
    ----------
    tokens : list of TokenSettings
        Known tokens.
    allow_anonymous : bool
        Whether requests without a token are accepted.
    pool : WorkerPool or None, default=None
        Threads that run the checks; threads of its own if None.
    """

    def __init__(
        self,
        tokens: list[TokenSettings],
        allow_anonymous: bool,
        pool: WorkerPool | None = None,
    ) -> None:
        self._tokens = tokens
        self._allow_anonymous = allow_anonymous
        self._secret = os.urandom(32)
        self._verified: dict[bytes, TokenSettings] = {}
        used_pool = WorkerPool() if pool is None else pool
        self._checks = used_pool.create_queue(MAX_CONCURRENT_CHECKS)

    @classmethod
    def from_config(
        cls, settings: ControlSettings, pool: WorkerPool | None = None
    ) -> TokenAuthenticator:
        """Build the authenticator from the settings of a control host.

        Raises
        ------
        SettingsError
            If a role is unknown, or if there is no token although the listener is
            bound to an address other than loopback.
        """
        for token in settings.tokens:
            if token.role not in ROLES:
                raise SettingsError(
                    f"token {token.name!r} has the unknown role {token.role!r}",
                    "use 'read' or 'write'",
                )
        allow_anonymous = not settings.tokens
        if (
            allow_anonymous
            and not ipaddress.ip_address(settings.operators.host).is_loopback
        ):
            raise SettingsError(
                "the operators' API listens beyond loopback without any token",
                "add a [[control.tokens]] table; see geraniumbend token hash",
            )
        return cls(list(settings.tokens), allow_anonymous, pool)

    async def check(self, header: str, role: str) -> str:
        """Authenticate a request and return the name of its token.

        Parameters
        ----------
        header : str
            Value of the ``Authorization`` header.
        role : {"read", "write"}
            Role that the request needs; ``write`` includes ``read``.

        Returns
        -------
        str
            Name of the token; "local" if requests need none.

        Raises
        ------
        AuthenticationError
            If the token is missing or unknown.
        ForbiddenError
            If its role is not sufficient.
        """
        if self._allow_anonymous:
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
        digest = hmac.digest(
            self._secret, secret.encode("utf-8", "surrogateescape"), hashlib.sha256
        )
        if digest in self._verified:
            return self._verified[digest]
        for token in self._tokens:
            if await self._checks.run(partial(verify_token, secret, token.hash)):
                if len(self._verified) < MAX_CACHED_TOKENS:
                    self._verified[digest] = token
                return token
        raise AuthenticationError(
            "the bearer token is unknown", "check GERANIUMBEND_TOKEN"
        )
