"""Translation of the platform's configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from geraniumbend.configuration import digest_keys
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import (
    CallerLimits,
    Configuration,
    Group,
    RetrySettings,
    Rule,
    RuleMatch,
    SplitPart,
    Tenant,
)
from geraniumbend.platform._wire import (
    ConfigurationDocument,
    Limits,
    RouteEntry,
    ServiceEntry,
    TenantEntry,
    parse_version,
)
from geraniumbend.wire import decode_document, parse_duration

if TYPE_CHECKING:
    from collections.abc import Sequence

# Label with which instances announce the service that they belong to.
SERVICE_LABEL = "service"
# Whether requests of a kind are idempotent, that is, may run more than once.
IDEMPOTENT_BY_KIND = {"safe": True, "download": True, "unsafe": False}


def read_configuration(body: bytes) -> Configuration:
    """Translate the platform's configuration document.

    Parameters
    ----------
    body : bytes
        JSON document.

    Returns
    -------
    Configuration
        Groups, rules, limits and version of the document.

    Raises
    ------
    ProtocolError
        If the document is incomplete or a value is malformed.
    ConfigurationError
        If a value is not allowed.
    """
    remedy = "send the complete document in the documented format"
    document = decode_document(body, ConfigurationDocument, remedy)
    services = document.services.read_entries(ServiceEntry, "services")
    routes = document.routes.read_entries(RouteEntry, "routes")
    tenants = document.tenants.read_entries(TenantEntry, "tenants")
    groups = {entry.name: _read_group(entry) for entry in services}
    rules = {entry.name: _read_rule(entry) for entry in routes}
    return Configuration(
        groups=groups,
        rules=rules,
        version=parse_version(document.version),
        limits=_read_limits(document.limits),
        tenants=_read_tenants(tenants),
    )


def _read_tenants(entries: Sequence[TenantEntry]) -> dict[str, Tenant]:
    tenants: dict[str, Tenant] = {}
    owners: dict[str, str] = {}
    for number, entry in enumerate(entries):
        place = f"row {number} of tenants ({entry.name[:60]!r}), column api-keys"
        digests = digest_keys(entry.api_keys, place)
        for digest in digests:
            owner = owners.setdefault(digest, entry.name)
            if owner != entry.name:
                raise ConfigurationError(
                    f"{place}: tenant {owner[:60]!r} has the same key",
                    "give each key to one tenant",
                )
        tenants[entry.name] = Tenant(
            entry.name, digests, entry.priority, entry.rate_per_s, entry.burst
        )
    return tenants


def _read_group(entry: ServiceEntry) -> Group:
    return Group(
        entry.name,
        f"{SERVICE_LABEL}={entry.name}",
        health_path=entry.health_path,
        connection_limit=entry.max_connections,
        warmup_s=parse_duration(entry.warmup),
        warmup_per_s=entry.warmup_per_s,
    )


def _read_rule(entry: RouteEntry) -> Rule:
    location = f"route {entry.name!r}"
    if entry.kind not in IDEMPOTENT_BY_KIND:
        raise ConfigurationError(
            f"{location}: kind {entry.kind!r} is unknown",
            f"use one of {sorted(IDEMPOTENT_BY_KIND)}",
        )
    if not entry.path_prefix.startswith("/"):
        raise ConfigurationError(
            f"{location}: prefix {entry.path_prefix!r} does not start with a slash",
            "start it with /",
        )
    split = tuple(SplitPart(part.service, part.weight) for part in entry.traffic_split)
    limit_s = parse_duration(entry.timeout)
    return Rule(
        entry.name,
        _choose_main_group(location, entry.service, split),
        RuleMatch(entry.host, entry.path_prefix),
        request_class=entry.kind,
        deadline_s=limit_s,
        retry=RetrySettings(entry.max_attempts),
        idempotent=IDEMPOTENT_BY_KIND[entry.kind],
        objective_s=parse_duration(entry.target_latency),
        wait_limit_s=limit_s,
        importance=entry.priority,
        split=split,
        public=entry.public,
    )


def _choose_main_group(
    location: str, service: str | None, split: Sequence[SplitPart]
) -> str:
    if service is not None:
        return service
    if not split:
        raise ConfigurationError(
            f"{location}: no service is given", "set service or traffic-split"
        )
    return max(split, key=lambda part: part.weight).group


def _read_limits(limits: Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        parse_duration(limits.header_timeout),
        parse_duration(limits.idle_timeout),
    )


def describe_error(error: Any) -> bytes:
    """Return the JSON body of an error response."""
    return msgspec.json.encode({"error": str(error)})
