"""Authentication of callers by the keys of tenants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from geraniumbend.errors import RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.model import digest_key
from geraniumbend.tenants._totals import TenantTotals

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from geraniumbend.model import Configuration, Rule, Tenant

KEY_FIELD = b"authorization"
KEY_SCHEME = "bearer"
# Retry-After in seconds while gateways have different revisions; the older one catches
# up within some tenths of a second.
REVISION_RETRY_S = 0.2

declare_event(
    217,
    "tenants_in_use",
    "info",
    "The tenants or keys by which this gateway authenticates callers have changed.",
)


class ConfigurationPort(Protocol):
    """Source of the active configuration."""

    @property
    def current(self) -> Configuration:
        """Return the active configuration, an immutable object."""
        ...


class Authentication(NamedTuple):
    """Result of the authentication of one request.

    Parameters
    ----------
    tenant : Tenant or None
        Tenant of the caller; None for a public request without a known key.
    key_digest : str
        Digest of the key; empty without a known key.
    is_public : bool
        Whether the request needs no key.
    """

    tenant: Tenant | None
    key_digest: str
    is_public: bool

    @property
    def name(self) -> str:
        """Return the name of the tenant, empty without one."""
        return "" if self.tenant is None else self.tenant.name

    def write_forwarded(self) -> str:
        """Return the text that tells another gateway what this one has checked."""
        return f"{self.name} {self.key_digest}".strip()


class Authenticator:
    """Finds the tenant of a request by its key.

    Parameters
    ----------
    configuration : ConfigurationPort
        Active configuration.
    is_stale : callable or None, default=None
        Tells whether the active configuration may be older than this process knows,
        as after a pause of the process.
    """

    def __init__(
        self,
        configuration: ConfigurationPort,
        is_stale: Callable[[], bool] | None = None,
    ) -> None:
        self.totals = TenantTotals()
        self._configuration = configuration
        self._is_stale = is_stale
        self._indexed: Configuration | None = None
        self._owners: dict[str, Tenant] = {}

    def is_needed(self) -> bool:
        """Tell whether the active configuration has tenants."""
        return bool(self._configuration.current.tenants)

    def authenticate(
        self, raw_headers: Sequence[tuple[bytes, bytes]], rule: Rule
    ) -> Authentication:
        """Find the tenant of a caller's request.

        Parameters
        ----------
        raw_headers : sequence of (bytes, bytes)
            Header fields of the request.
        rule : Rule
            Rule that matched the request.

        Raises
        ------
        RefusedError
            If the request needs a key and has none that is known; nothing was run.
        """
        key, reason = _read_key(raw_headers)
        digest = digest_key(key) if key else ""
        tenant = self._find_owner(digest)
        if tenant is None:
            if not rule.public:
                raise self._refuse(reason or "unknown")
            digest = ""
        return Authentication(tenant, digest, rule.public)

    def authenticate_forwarded(self, text: str, rule: Rule) -> Authentication:
        """Find the tenant of a request whose key another gateway has checked.

        Parameters
        ----------
        text : str
            Output of `Authentication.write_forwarded` at the other gateway.
        rule : Rule
            Rule that matched the request.

        Raises
        ------
        RefusedError
            If the gateways have different revisions; another gateway may take it.
        """
        name, _, digest = text.strip().partition(" ")
        tenant = self._find_owner(digest)
        if (tenant.name if tenant else "") != name or not (tenant or rule.public):
            self.totals.count_refusal("revision")
            raise RefusedError(
                "the gateways have different revisions of the configuration",
                "forward the request to another gateway",
                kind="no_configuration",
                retry_after_s=REVISION_RETRY_S,
            )
        return Authentication(tenant, digest, rule.public)

    def renew(self, authentication: Authentication) -> Authentication:
        """Authenticate a request that has waited by the active configuration.

        A public request whose key was removed goes on without a tenant.

        Raises
        ------
        RefusedError
            If the request needs a key and its key was removed meanwhile.
        """
        if authentication.tenant is None:
            return authentication
        tenant = self._find_owner(authentication.key_digest)
        if tenant is authentication.tenant:
            return authentication
        if tenant is None:
            if not authentication.is_public:
                raise self._refuse("removed")
            return Authentication(None, "", True)
        return authentication._replace(tenant=tenant)

    def is_current(self, authentication: Authentication) -> bool:
        """Tell whether a request may be sent with the tenant that was found for it."""
        if authentication.tenant is None:
            return True
        if self._is_stale is not None and self._is_stale():
            return False
        tenant = self._find_owner(authentication.key_digest)
        return tenant is not None and tenant.name == authentication.name

    def dump(self) -> dict[str, Any]:
        """Return numbers of tenants, keys and refusals for the state dump."""
        tenants = self._configuration.current.tenants
        refusals = self.totals.read_refusals()
        return {
            "tenants": len(tenants),
            "keys": sum(len(tenant.key_digests) for tenant in tenants.values()),
            "refusals": {reason: int(n) for (reason,), n in sorted(refusals.items())},
        }

    def _find_owner(self, digest: str) -> Tenant | None:
        configuration = self._configuration.current
        if self._indexed is not configuration:
            self._index(configuration)
        return self._owners.get(digest)

    def _index(self, configuration: Configuration) -> None:
        tenants = configuration.tenants
        if self._indexed is None or self._indexed.tenants != tenants:
            self._owners = {
                digest: tenant
                for tenant in tenants.values()
                for digest in tenant.key_digests
            }
            self.totals.retain(tenants)
            log_event(
                217,
                revision=configuration.revision,
                tenants=len(tenants),
                keys=len(self._owners),
            )
        self._indexed = configuration

    def _refuse(self, reason: str) -> RefusedError:
        self.totals.count_refusal(reason)
        return RefusedError(
            _REFUSAL_CAUSES[reason],
            "send one field Authorization: Bearer KEY with a key of the tenant",
            status=401,
            kind="unauthenticated",
        )


_REFUSAL_CAUSES = {
    "missing": "the request has no key",
    "several": "the request has more than one field with a key",
    "scheme": "the request has credentials of another scheme than Bearer",
    "unknown": "the key of the request belongs to no tenant",
    "removed": "the key of the request was removed while the request waited",
}


def _read_key(raw_headers: Sequence[tuple[bytes, bytes]]) -> tuple[str, str]:
    """Return the bearer key of a request, or an empty key and why there is none."""
    values = [value for name, value in raw_headers if name.lower() == KEY_FIELD]
    if len(values) != 1:
        return "", "several" if values else "missing"
    scheme, _, key = values[0].decode("utf-8", "surrogateescape").partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return "", "scheme"
    # Other blanks may be part of a key.
    key = key.strip(" \t")
    return key, "" if key else "missing"
