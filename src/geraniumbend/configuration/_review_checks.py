"""Entries of a configuration that have no effect, and limits that contradict others."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.configuration._rule_coverage import find_shadowed
from geraniumbend.errors import ConfigurationError
from geraniumbend.registries import Registry
from geraniumbend.routing import Selector, parse_selector

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from geraniumbend.model import Configuration, Group, Rule

    # Labels by server id.
    Servers = Mapping[str, Mapping[str, str]]


class Finding(NamedTuple):
    """Something in a configuration that an operator should look at.

    Parameters
    ----------
    severity : {"error", "warning"}
        Errors are refused by control hosts, warnings are not.
    place : str
        Table and name of the entry, such as ``rules.entry``.
    message : str
        What is wrong.
    remedy : str
        What to do.
    """

    severity: str
    place: str
    message: str
    remedy: str


class Check(Protocol):
    """Looks for one kind of finding."""

    def __call__(
        self, configuration: Configuration, servers: Servers | None
    ) -> Iterator[Finding]:
        """Yield the findings; `servers` is None if they are not known."""
        ...


checks: Registry[Check] = Registry("configuration check")


def _warn(place: str, message: str, remedy: str) -> Finding:
    return Finding("warning", place, message, remedy)


@checks.register("shadowed rules")
def check_shadowed(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find rules whose requests all match an earlier rule."""
    for name, earlier in find_shadowed(configuration.rules.values()).items():
        yield _warn(
            f"rules.{name}",
            f"can never match: rules.{earlier} comes first and matches its requests",
            "raise its priority, narrow the other rule, or delete it",
        )


@checks.register("unused groups")
def check_unused_groups(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find groups that get no request."""
    used = {name for rule in configuration.rules.values() for name in _targets(rule)}
    for name in configuration.groups:
        if name not in used:
            yield _warn(
                f"groups.{name}",
                "no rule sends requests to it",
                "add a rule or delete it",
            )


def _targets(rule: Rule) -> set[str]:
    if not rule.split:
        return {rule.group}
    return {part.group for part in rule.split if part.weight}


@checks.register("weights")
def check_weights(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find parts of splits that get no request."""
    for rule in configuration.rules.values():
        for part in rule.split:
            if not part.weight:
                yield _warn(
                    f"rules.{rule.name}",
                    f"the part of group {part.group!r} has weight 0",
                    "give it a weight or remove it",
                )


@checks.register("selectors")
def check_selectors(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find selectors that no server can match, or that none of the known ones does."""
    for group in configuration.groups.values():
        selector = _parse(group)
        if selector is None:
            continue
        if _contradicts_itself(selector):
            yield _warn(
                f"groups.{group.name}",
                f"no server can match the selector {group.selector!r}",
                "remove one of the terms that exclude each other",
            )
        elif servers is not None and not _match_any(selector, configuration, servers):
            yield _warn(
                f"groups.{group.name}",
                f"none of {len(servers)} servers matches {group.selector!r}",
                "correct the selector, or start or label servers",
            )


def _parse(group: Group) -> Selector | None:
    """Return the selector of a group, None if it is malformed or not known."""
    try:
        return parse_selector(group.selector) if group.selector else None
    except ConfigurationError:
        return None


def _contradicts_itself(selector: Selector) -> bool:
    allowed: dict[str, frozenset[str]] = {}
    for term in selector.requirements:
        if term.operator == "in":
            allowed[term.label] = allowed.get(term.label, term.values) & term.values
    excluded = {
        (term.label, value)
        for term in selector.requirements
        if term.operator == "notin"
        for value in term.values
    }
    operators = {(term.label, term.operator) for term in selector.requirements}
    for label, operator in operators:
        if operator == "absent" and (
            (label, "exists") in operators or label in allowed
        ):
            return True
    return any(
        all((label, value) in excluded for value in values)
        for label, values in allowed.items()
    )


def _match_any(
    selector: Selector, configuration: Configuration, servers: Servers
) -> bool:
    overrides = configuration.label_overrides
    for server_id, labels in servers.items():
        merged = {**labels, **overrides.get(server_id, {})}
        if selector.matches({name: value for name, value in merged.items() if value}):
            return True
    return False


@checks.register("labels")
def check_labels(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find labels that no selector asks for, and those of unknown servers."""
    selectors = [_parse(group) for group in configuration.groups.values()]
    known = {
        term.label
        for selector in selectors
        if selector
        for term in selector.requirements
    }
    for server_id, labels in configuration.label_overrides.items():
        place = f"labels.{server_id}"
        if servers is not None and server_id not in servers:
            yield _warn(place, "the server is not known", "correct the id or delete it")
        for label in sorted(set(labels) - known):
            yield _warn(
                place,
                f"no selector of a group asks for the label {label!r}",
                "correct the label or a selector, or remove it",
            )


@checks.register("times")
def check_times(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find times of rules that contradict each other."""
    for rule in configuration.rules.values():
        place = f"rules.{rule.name}"
        if rule.objective_s > rule.deadline_s:
            yield _warn(
                place,
                f"deadline_s {rule.deadline_s:g} is below objective_s "
                f"{rule.objective_s:g}",
                "raise the deadline, or lower the objective",
            )
        if rule.wait_limit_s > rule.deadline_s:
            yield _warn(
                place,
                f"wait_limit_s {rule.wait_limit_s:g} is above deadline_s "
                f"{rule.deadline_s:g}, which ends a request first",
                "lower the limit, or raise the deadline",
            )
        yield from _check_attempts(rule, place)


def _check_attempts(rule: Rule, place: str) -> Iterator[Finding]:
    limit_s = min(rule.deadline_s, rule.wait_limit_s or rule.deadline_s)
    attempts = rule.retry.attempts
    if attempts > 1 and attempts * rule.objective_s > limit_s:
        yield _warn(
            place,
            f"{attempts} attempts of objective_s {rule.objective_s:g} take longer than "
            f"{limit_s:g} s",
            "allow fewer attempts, or more time",
        )
    if rule.order is not None and rule.idempotent:
        yield _warn(
            place,
            "idempotent has no effect on orders, which run at most once",
            "remove 'idempotent' or 'order'",
        )


@checks.register("warm-up")
def check_warmup(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find warm-up rates without time, and times without rate."""
    for group in configuration.groups.values():
        if bool(group.warmup_s) != bool(group.warmup_per_s):
            given, missing = "warmup_s", "warmup_per_s"
            if group.warmup_per_s:
                given, missing = missing, given
            yield _warn(
                f"groups.{group.name}",
                f"{given} has no effect without {missing}",
                f"set {missing} as well, or remove {given}",
            )


@checks.register("tenants")
def check_tenants(
    configuration: Configuration, servers: Servers | None
) -> Iterator[Finding]:
    """Find tenants whose requests are all refused, and limits without effect."""
    for tenant in configuration.tenants.values():
        place = f"tenants.{tenant.name}"
        if not tenant.key_digests:
            yield _warn(
                place, "it has no key, so no caller can use it", "give it a key"
            )
        if tenant.rate_per_s and tenant.burst < 1:
            yield _warn(
                place,
                f"burst {tenant.burst:g} is below one request",
                "set a burst of 1 or more",
            )
        if tenant.burst and not tenant.rate_per_s:
            yield _warn(
                place,
                "burst has no effect without rate_per_s",
                "set rate_per_s, or remove burst",
            )
