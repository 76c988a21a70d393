"""Validation of operations independent of the replicated state."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from geraniumbend.configuration._conflicts import MAX_TENANTS
from geraniumbend.configuration._operations import (
    DeleteGroup,
    DeleteRule,
    DeleteTenant,
    RemoveLabels,
    SetEvacuation,
    SetGeneral,
    SetGroup,
    SetLabels,
    SetRule,
    SetTenant,
)
from geraniumbend.errors import ConfigurationError
from geraniumbend.routing import parse_selector

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from geraniumbend.configuration._operations import Operation
    from geraniumbend.model import Group, Rule, RuleMatch, Tenant

NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]{0,61}[a-z0-9])?")
SERVER_ID = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._:-]{0,126}[A-Za-z0-9])?")
LABEL = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,126}[A-Za-z0-9])?")
METHOD = re.compile(r"[A-Z][A-Z-]{0,19}")
HEADER = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]{1,64}")
MAX_OPERATIONS = 20_000
MAX_LABELS = 64
MAX_DEADLINE_S = 3600.0
MAX_ATTEMPTS = 10
# With a larger share, the load caused by measuring would distort the measurement.
MAX_LOAD_COST_SHARE = 0.2
KEY_DIGEST = re.compile(r"[0-9a-f]{32}")
MAX_KEYS = 64
MAX_RATE_PER_S = 1e9
MAX_IMPORTANCE = 1_000_000
# Importances of rules are used as floats, which represent integers up to here.
MAX_RULE_IMPORTANCE = 2**53
MAX_DOMAIN_LENGTH = 128


def validate_operations(
    operations: Iterable[Operation], policies: Collection[str]
) -> None:
    """Check a change as far as this does not depend on the replicated state.

    The control host that receives a change runs these checks before it proposes the
    change. They are not repeated when replicas apply the log, so that versions with
    different checks or policies reach the same state.

    Parameters
    ----------
    operations : iterable of Operation
        Operations of the change.
    policies : collection of str
        Names of the known routing policies.

    Raises
    ------
    ConfigurationError
        If a name, selector, policy, label or number is invalid; the message has
        the value.
    """
    steps = list(operations)
    if not steps:
        raise _invalid("the change has no operations", "add at least one operation")
    if len(steps) > MAX_OPERATIONS:
        raise _invalid(
            f"the change has {len(steps)} operations, more than {MAX_OPERATIONS}",
            "split the change",
        )
    _check_tenants([step.tenant for step in steps if isinstance(step, SetTenant)])
    for step in steps:
        check = _CHECKS[type(step)]
        check(step, policies)


def _check_set_group(step: SetGroup, policies: Collection[str]) -> None:
    group: Group = step.group
    context = f"group {group.name!r}"
    _check_name(group.name, context)
    try:
        parse_selector(group.selector)
    except ConfigurationError as error:
        raise _invalid(f"{context}: {error.message}", error.remedy) from error
    if not group.selector.strip():
        raise _invalid(
            f"{context}: the selector is empty and would match every backend server",
            "select by at least one label",
        )
    _check_range(context, "load_cost_share", group.load_cost_share, MAX_LOAD_COST_SHARE)
    for key in ("warmup_s", "warmup_per_s"):
        if getattr(group, key):
            _check_range(context, key, getattr(group, key), MAX_RATE_PER_S)
    if group.policy not in policies:
        raise _invalid(
            f"{context}: policy {group.policy!r} is unknown",
            f"use one of {sorted(policies)}",
        )


def _check_tenants(tenants: Sequence[Tenant]) -> None:
    if len(tenants) > MAX_TENANTS:
        raise _invalid(
            f"the change has {len(tenants)} tenants, more than {MAX_TENANTS}",
            "join small tenants",
        )


def _check_set_tenant(step: SetTenant, policies: Collection[str]) -> None:
    tenant = step.tenant
    context = f"tenant {tenant.name!r}"
    _check_name(tenant.name, context)
    if len(tenant.key_digests) > MAX_KEYS:
        raise _invalid(
            f"{context} has {len(tenant.key_digests)} keys, more than {MAX_KEYS}",
            "remove keys that are not used",
        )
    if abs(tenant.importance or 0) > MAX_IMPORTANCE:
        raise _invalid(
            f"{context}: importance is out of range",
            f"use a number from -{MAX_IMPORTANCE} to {MAX_IMPORTANCE}",
        )
    if not all(KEY_DIGEST.fullmatch(digest) for digest in tenant.key_digests):
        raise _invalid(
            f"{context}: a key digest is malformed",
            "give the keys themselves under 'keys'",
        )
    for key, value in (("rate_per_s", tenant.rate_per_s), ("burst", tenant.burst)):
        if not 0 <= value <= MAX_RATE_PER_S:
            raise _invalid(
                f"{context}: {key} is {value}",
                f"use a number from 0 to {MAX_RATE_PER_S:g}",
            )


def _check_set_evacuation(step: SetEvacuation, policies: Collection[str]) -> None:
    domain = step.domain
    if not LABEL.fullmatch(domain) or len(domain) > MAX_DOMAIN_LENGTH:
        raise _invalid(
            f"failure domain {domain[:60]!r} is invalid",
            "use the name that hosts and backend servers have",
        )


def _check_set_rule(step: SetRule, policies: Collection[str]) -> None:
    rule: Rule = step.rule
    context = f"rule {rule.name!r}"
    _check_name(rule.name, context)
    _check_name(rule.group, f"{context}, group")
    _check_name(rule.request_class, f"{context}, request_class")
    _check_range(context, "deadline_s", rule.deadline_s, MAX_DEADLINE_S)
    _check_range(context, "retry.attempts", rule.retry.attempts, MAX_ATTEMPTS)
    hedge_ratio = rule.retry.hedge_ratio
    if hedge_ratio is not None and not 0 <= hedge_ratio <= 1:
        raise _invalid(
            f"{context}: retry.hedge_ratio is {hedge_ratio}", "use a number from 0 to 1"
        )
    if abs(rule.priority) > 1_000_000:
        raise _invalid(
            f"{context}: priority {rule.priority} is out of range",
            "use a number from -1000000 to 1000000",
        )
    if abs(rule.importance) > MAX_RULE_IMPORTANCE:
        raise _invalid(
            f"{context}: importance is out of range",
            f"use a number from -{MAX_RULE_IMPORTANCE} to {MAX_RULE_IMPORTANCE}",
        )
    _check_match(context, rule.match)
    if rule.wait_limit_s:
        _check_range(context, "wait_limit_s", rule.wait_limit_s, MAX_DEADLINE_S)
    if rule.objective_s:
        _check_range(context, "objective_s", rule.objective_s, MAX_DEADLINE_S)
    _check_split(context, rule)
    if rule.order is not None:
        header = rule.order.key_header
        if not HEADER.fullmatch(header.lower()):
            raise _invalid(
                f"{context}: order.key_header {header!r} is not a header name",
                "use letters, digits and hyphens",
            )
        if rule.order.keyless not in ("refuse", "once"):
            raise _invalid(
                f"{context}: order.keyless {rule.order.keyless!r} is unknown",
                "use 'refuse' or 'once'",
            )


def _check_split(context: str, rule: Rule) -> None:
    if any(part.weight < 0 for part in rule.split):
        raise _invalid(f"{context}: a weight is negative", "use weights of 0 or more")
    if rule.split and not any(part.weight for part in rule.split):
        raise _invalid(
            f"{context}: the weights add up to 0", "give at least one group a weight"
        )


def _check_match(context: str, match: RuleMatch) -> None:
    for key in ("path_prefix", "path_pattern"):
        value = getattr(match, key)
        if value and not value.startswith(("/", "*")):
            raise _invalid(
                f"{context}: match.{key} {value!r} matches no path", "start it with /"
            )
    for method in match.methods:
        if not METHOD.fullmatch(method):
            raise _invalid(
                f"{context}: method {method!r} is invalid", "write it in upper case"
            )
    for header in match.headers:
        if not HEADER.fullmatch(header):
            raise _invalid(
                f"{context}: header {header!r} is invalid", "write it in lower case"
            )


def _check_set_labels(step: SetLabels, policies: Collection[str]) -> None:
    _check_server_id(step.server_id)
    context = f"labels of {step.server_id!r}"
    if not 1 <= len(step.labels) <= MAX_LABELS:
        raise _invalid(
            f"{context}: {len(step.labels)} labels given",
            f"set 1 to {MAX_LABELS} labels",
        )
    for name, value in step.labels.items():
        if not LABEL.fullmatch(name) or (value and not LABEL.fullmatch(value)):
            raise _invalid(
                f"{context}: label {name}={value!r} is invalid",
                "use letters, digits and . _ / - with a letter or digit at the ends",
            )


def _check_remove_labels(step: RemoveLabels, policies: Collection[str]) -> None:
    _check_server_id(step.server_id)


def _check_set_general(step: SetGeneral, policies: Collection[str]) -> None:
    if step.version < 0:
        raise _invalid(
            f"version {step.version} is negative", "use a version of 1 or more"
        )
    if any(limit < 0 for limit in step.limits):
        raise _invalid("a limit on callers is negative", "use limits of 0 or more")


def _check_delete(
    step: DeleteGroup | DeleteRule | DeleteTenant, policies: Collection[str]
) -> None:
    _check_name(step.name, "delete")


_CHECKS: dict[type, Callable[..., None]] = {
    SetGroup: _check_set_group,
    SetRule: _check_set_rule,
    SetLabels: _check_set_labels,
    RemoveLabels: _check_remove_labels,
    DeleteGroup: _check_delete,
    DeleteRule: _check_delete,
    SetTenant: _check_set_tenant,
    DeleteTenant: _check_delete,
    SetEvacuation: _check_set_evacuation,
    SetGeneral: _check_set_general,
}


def _check_name(name: str, context: str) -> None:
    if not NAME.fullmatch(name):
        raise _invalid(
            f"{context}: name {name!r} is invalid",
            "use 1 to 63 lower-case letters, digits, dots, hyphens and underscores",
        )


def _check_server_id(server_id: str) -> None:
    if not SERVER_ID.fullmatch(server_id):
        raise _invalid(
            f"server id {server_id!r} is invalid",
            "use the id that the backend server announces",
        )


def _check_range(context: str, key: str, value: float, limit: float) -> None:
    if not (math.isfinite(value) and 0 < value <= limit):
        raise _invalid(
            f"{context}: {key} is {value}", f"use a number above 0 and up to {limit:g}"
        )


def _invalid(message: str, remedy: str) -> ConfigurationError:
    return ConfigurationError(message, remedy)
