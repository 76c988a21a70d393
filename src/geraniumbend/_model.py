"""Configuration and backend server types shared by all parts."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

# Hexadecimal digits of a key's SHA-256 digest that are kept: 128 bits, so that two keys
# do not share a digest.
KEY_DIGEST_DIGITS = 32


def digest_key(key: str) -> str:
    """Return the digest under which the key of a tenant is kept.

    Parameters
    ----------
    key : str
        Key as callers send it.

    Returns
    -------
    str
        First `KEY_DIGEST_DIGITS` hexadecimal digits of its SHA-256 digest.
    """
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest()[:KEY_DIGEST_DIGITS]


class BackendServer(NamedTuple):
    """A backend server as it announced itself.

    Parameters
    ----------
    server_id : str
        Name chosen by the backend server, unique in the cluster.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str, default=""
        Failure domain that the server runs in.
    labels : dict of str to str, default={}
        Announced labels, with operators' overrides already applied.
    slots : int, default=1
        Requests that the server runs concurrently.
    connection_limit : int, default=220
        Connections that the server accepts from all gateways together.
    incarnation : int, default=0
        Grows with each restart of the server.
    draining : bool, default=False
        The server accepts no new requests.
    stale : bool, default=False
        The lease expired during a mass loss of announcements.
    warmup_left_s : float, default=0.0
        How much longer the server is cold, in seconds, as it last announced.
    """

    server_id: str
    host: str
    port: int
    failure_domain: str = ""
    labels: dict[str, str] = {}  # noqa: RUF012
    slots: int = 1
    connection_limit: int = 220
    incarnation: int = 0
    draining: bool = False
    stale: bool = False
    warmup_left_s: float = 0.0


class Group(NamedTuple):
    """A set of backend servers chosen by labels.

    Parameters
    ----------
    name : str
        Unique name.
    selector : str
        Label selector, for example ``app=classes,tier in (a,b)``.
    load_cost_share : float, default=0.01
        Share of the servers' capacity that load probes may use.
    policy : str, default="default"
        Name of the routing policy.
    health_path : str, default="/load"
        Path that probes request from the backend servers.
    connection_limit : int, default=0
        Connections that each backend server accepts from all gateways together; 0
        uses the limits that the servers announce.
    warmup_s : float, default=0.0
        Time for which a server is cold after its start, in seconds.
    warmup_per_s : float, default=0.0
        Requests a second that a cold server takes from all gateways together; 0 sets
        no limit.
    """

    name: str
    selector: str
    load_cost_share: float = 0.01
    policy: str = "default"
    health_path: str = "/load"
    connection_limit: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class RuleMatch(NamedTuple):
    """Conditions on a request; empty fields match everything.

    Parameters
    ----------
    host : str, default=""
        Host header without port; ``*.example`` matches subdomains.
    path_prefix : str, default=""
        Prefix of the path.
    path_pattern : str, default=""
        Pattern with ``*`` for one path segment and ``**`` for any rest.
    methods : tuple of str, default=()
        HTTP methods in upper case.
    headers : dict of str to str, default={}
        Header names in lower case with required values; ``*`` requires presence.
    """

    host: str = ""
    path_prefix: str = ""
    path_pattern: str = ""
    methods: tuple[str, ...] = ()
    headers: dict[str, str] = {}  # noqa: RUF012


class RetrySettings(NamedTuple):
    """Retries and hedges of a rule.

    Parameters
    ----------
    attempts : int, default=2
        Backend servers tried at most.
    hedge : bool, default=True
        Whether slow safe requests are hedged: sent to a second server as well.
    hedge_ratio : float or None, default=None
        Extra work that hedges may cause, as a share of requests and of server time;
        the gateway's setting when None, 0 leaves them to the retry budget.
    """

    attempts: int = 2
    hedge: bool = True
    hedge_ratio: float | None = None


class OrderSettings(NamedTuple):
    """Handling of non-idempotent orders of a rule.

    Parameters
    ----------
    key_header : str, default="Idempotency-Key"
        Header that carries the key.
    keyless : {"refuse", "once"}, default="refuse"
        Whether an order without key is refused or run once without retry.
    """

    key_header: str = "Idempotency-Key"
    keyless: str = "refuse"


class SplitPart(NamedTuple):
    """Part of a rule's requests that goes to one group.

    Parameters
    ----------
    group : str
        Name of the group.
    weight : int
        Share of the requests, relative to the weights of the other parts.
    """

    group: str
    weight: int


class Rule(NamedTuple):
    """Sends matching requests to a group.

    Parameters
    ----------
    name : str
        Unique name.
    group : str
        Name of the group.
    match : RuleMatch, default=RuleMatch()
        Conditions on the request.
    request_class : str, default="default"
        Request class, by which costs are learned and metrics are labelled.
    deadline_s : float, default=10.0
        Time until the whole response when the caller states none, in seconds.
    retry : RetrySettings, default=RetrySettings()
        Retries.
    order : OrderSettings or None, default=None
        Set when matching requests are non-idempotent orders.
    priority : int, default=0
        Rules with higher priority are matched first.
    idempotent : bool or None, default=None
        Whether requests may be retried; decided by the method when None.
    objective_s : float, default=0.0
        Response time that the operator aims for, in seconds, shown in logs; 0 when
        unknown.
    wait_limit_s : float, default=0.0
        Longest time that a caller waits, in seconds; 0 when only the deadline
        applies.
    importance : int, default=0
        Priority under overload; rules with lower numbers are served first.
    split : tuple of SplitPart, default=()
        Groups that share the requests by weight; empty sends all to `group`.
    public : bool, default=False
        Whether requests need no key although the configuration has tenants.
    """

    name: str
    group: str
    match: RuleMatch = RuleMatch()
    request_class: str = "default"
    deadline_s: float = 10.0
    retry: RetrySettings = RetrySettings()
    order: OrderSettings | None = None
    priority: int = 0
    idempotent: bool | None = None
    objective_s: float = 0.0
    wait_limit_s: float = 0.0
    importance: int = 0
    split: tuple[SplitPart, ...] = ()
    public: bool = False


class Tenant(NamedTuple):
    """A customer whose callers authenticate with keys and share a quota.

    Parameters
    ----------
    name : str
        Unique name.
    key_digests : tuple of str, default=()
        Digests of its keys, as `digest_key` returns them.
    importance : int or None, default=None
        Priority under overload, in place of the rule's; lower numbers are served first.
    rate_per_s : float, default=0.0
        Requests a second through all gateways together; 0 sets no limit.
    burst : float, default=0.0
        Requests beyond the rate that may come at once.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    importance: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on what callers send; 0 leaves a limit to the gateway's settings.

    Parameters
    ----------
    header_bytes : int, default=0
        Bytes of all header fields at most.
    body_bytes : int, default=0
        Bytes of a request's body at most.
    header_timeout_s : float, default=0.0
        Time for all header fields, in seconds.
    idle_timeout_s : float, default=0.0
        Time for which an idle connection is kept open, in seconds.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


class Configuration(NamedTuple):
    """One revision of the operators' configuration; immutable.

    Parameters
    ----------
    revision : int, default=0
        Grows by one with each accepted change.
    groups : dict of str to Group, default={}
        Groups by name.
    rules : dict of str to Rule, default={}
        Rules by name.
    label_overrides : dict of str to dict, default={}
        Labels set by operators, by server id; an empty value removes a label.
    version : int, default=-1
        Version that the operator gave to the last replacement of the whole
        configuration; -1 before the first.
    limits : CallerLimits, default=CallerLimits()
        Limits on what callers send.
    tenants : dict of str to Tenant, default={}
        Tenants by name; without any, requests need no key.
    evacuated : tuple of str, default=()
        Failure domains whose servers get no requests, sorted by name.
    """

    revision: int = 0
    groups: dict[str, Group] = {}  # noqa: RUF012
    rules: dict[str, Rule] = {}  # noqa: RUF012
    label_overrides: dict[str, dict[str, str]] = {}  # noqa: RUF012
    version: int = -1
    limits: CallerLimits = CallerLimits()
    tenants: dict[str, Tenant] = {}  # noqa: RUF012
    evacuated: tuple[str, ...] = ()
