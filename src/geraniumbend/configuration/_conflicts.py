"""Contradictions between the entries of a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from geraniumbend.model import Configuration, Tenant

MAX_TENANTS = 1000
# Digests of keys cannot be compressed, and a gateway waits at most 1.3 s for a
# revision. In a trial on links of 2 Mbit/s, 20,000 keys were not received within 20 s.
MAX_ALL_KEYS = 5000


def list_conflicts(configuration: Configuration) -> Iterator[ConfigurationError]:
    """Yield an error for each contradiction between entries of a configuration."""
    for rule in configuration.rules.values():
        for group in (rule.group, *(part.group for part in rule.split)):
            if group not in configuration.groups:
                yield ConfigurationError(
                    f"rule {rule.name!r} names the missing group {group!r}",
                    "set the group in the same change, or change or delete the rule",
                )
    yield from _list_tenant_conflicts(configuration.tenants)


def _list_tenant_conflicts(tenants: dict[str, Tenant]) -> Iterator[ConfigurationError]:
    if len(tenants) > MAX_TENANTS:
        yield ConfigurationError(
            f"the configuration would have {len(tenants)} tenants, more than "
            f"{MAX_TENANTS}",
            "delete tenants that are not used, or join small ones",
        )
    keys = sum(len(tenant.key_digests) for tenant in tenants.values())
    if keys > MAX_ALL_KEYS:
        yield ConfigurationError(
            f"the configuration would have {keys} keys of tenants, more than "
            f"{MAX_ALL_KEYS}",
            "remove keys that are not used",
        )
    owners: dict[str, str] = {}
    for tenant in tenants.values():
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                yield ConfigurationError(
                    f"tenants {owner!r} and {tenant.name!r} have the same key",
                    "give each key to one tenant",
                )
