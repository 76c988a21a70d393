"""Operations of a configuration change."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

from geraniumbend.configuration._conflicts import list_conflicts
from geraniumbend.configuration._documents import describe, parse
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import CallerLimits, Configuration, Group, Rule, Tenant
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

operation_kinds: Registry[Any] = Registry("operation")


class Draft(NamedTuple):
    """Mutable copy of a configuration, which operations change in place.

    Parameters
    ----------
    groups : dict of str to Group
        Groups by name.
    rules : dict of str to Rule
        Rules by name.
    label_overrides : dict of str to dict
        Operators' labels by server id.
    general : dict of str to object
        ``version`` and ``limits`` of the configuration.
    tenants : dict of str to Tenant
        Tenants by name.
    evacuated : set of str
        Evacuated failure domains.
    """

    groups: dict[str, Group]
    rules: dict[str, Rule]
    label_overrides: dict[str, dict[str, str]]
    general: dict[str, Any]
    tenants: dict[str, Tenant]
    evacuated: set[str]


class Operation(Protocol):
    """One operation of a change."""

    def perform(self, draft: Draft) -> None:
        """Apply this operation to the draft.

        Raises
        ------
        ConfigurationError
            If the operation cannot be applied to the draft.
        """
        ...

    def target(self) -> tuple[str, str]:
        """Return the kind (``group``, ``rule`` and so on) and name of what changes."""
        ...


@operation_kinds.register("set_group")
class SetGroup(NamedTuple):
    """Create or replace a group."""

    group: Group

    def perform(self, draft: Draft) -> None:
        """Store the group."""
        draft.groups[self.group.name] = self.group

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "group", self.group.name


@operation_kinds.register("delete_group")
class DeleteGroup(NamedTuple):
    """Delete a group that no rule refers to."""

    name: str

    def perform(self, draft: Draft) -> None:
        """Remove the group."""
        if draft.groups.pop(self.name, None) is None:
            raise _not_found("group", self.name)

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "group", self.name


@operation_kinds.register("set_rule")
class SetRule(NamedTuple):
    """Create or replace a rule."""

    rule: Rule

    def perform(self, draft: Draft) -> None:
        """Store the rule."""
        draft.rules[self.rule.name] = self.rule

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "rule", self.rule.name


@operation_kinds.register("delete_rule")
class DeleteRule(NamedTuple):
    """Delete a rule."""

    name: str

    def perform(self, draft: Draft) -> None:
        """Remove the rule."""
        if draft.rules.pop(self.name, None) is None:
            raise _not_found("rule", self.name)

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "rule", self.name


@operation_kinds.register("set_labels")
class SetLabels(NamedTuple):
    """Override labels of a backend server; an empty value hides the label."""

    server_id: str
    labels: dict[str, str]

    def perform(self, draft: Draft) -> None:
        """Merge the labels into the overrides of the server."""
        existing = draft.label_overrides.get(self.server_id, {})
        draft.label_overrides[self.server_id] = existing | self.labels

    def target(self) -> tuple[str, str]:
        """Return kind and server id."""
        return "labels", self.server_id


@operation_kinds.register("remove_labels")
class RemoveLabels(NamedTuple):
    """Remove label overrides, so that announced labels apply; all without names."""

    server_id: str
    names: tuple[str, ...] = ()

    def perform(self, draft: Draft) -> None:
        """Remove the named overrides of the server, or all of them."""
        existing = draft.label_overrides.get(self.server_id, {})
        names = self.names or tuple(existing)
        absent = [name for name in names if name not in existing]
        if absent or not existing:
            raise _not_found("label override", f"{self.server_id}: {absent}")
        rest = {name: value for name, value in existing.items() if name not in names}
        if rest:
            draft.label_overrides[self.server_id] = rest
        else:
            del draft.label_overrides[self.server_id]

    def target(self) -> tuple[str, str]:
        """Return kind and server id."""
        return "labels", self.server_id


@operation_kinds.register("set_general")
class SetGeneral(NamedTuple):
    """Set the operator's version number and the limits on callers."""

    version: int
    limits: CallerLimits = CallerLimits()

    def perform(self, draft: Draft) -> None:
        """Store the version and the limits."""
        draft.general.update(version=self.version, limits=self.limits)

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "general", "version"


@operation_kinds.register("set_tenant")
class SetTenant(NamedTuple):
    """Create or replace a tenant."""

    tenant: Tenant

    def perform(self, draft: Draft) -> None:
        """Store the tenant."""
        draft.tenants[self.tenant.name] = self.tenant

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "tenant", self.tenant.name


@operation_kinds.register("delete_tenant")
class DeleteTenant(NamedTuple):
    """Delete a tenant with its keys."""

    name: str

    def perform(self, draft: Draft) -> None:
        """Remove the tenant."""
        if draft.tenants.pop(self.name, None) is None:
            raise _not_found("tenant", self.name)

    def target(self) -> tuple[str, str]:
        """Return kind and name."""
        return "tenant", self.name


@operation_kinds.register("set_evacuation")
class SetEvacuation(NamedTuple):
    """Begin or end the evacuation of a failure domain."""

    domain: str
    active: bool

    def perform(self, draft: Draft) -> None:
        """Add or remove the domain; repetition has no effect."""
        if self.active:
            draft.evacuated.add(self.domain)
        else:
            draft.evacuated.discard(self.domain)

    def target(self) -> tuple[str, str]:
        """Return kind and failure domain."""
        return "evacuation", self.domain


def apply_operations(
    configuration: Configuration, operations: Iterable[Operation], revision: int
) -> Configuration:
    """Return the configuration after a change; the argument is not modified.

    Parameters
    ----------
    configuration : Configuration
        Configuration before the change.
    operations : iterable of Operation
        Operations in order.
    revision : int
        Revision of the result.

    Returns
    -------
    Configuration
        Configuration after all operations.

    Raises
    ------
    ConfigurationError
        If an operation cannot be applied, a rule of the result refers to a missing
        group, there are too many tenants, or two of them have the same key.
    """
    # Errors raised from here on become part of the replicated outcome of a change, so
    # their texts have to be the same on all control hosts.
    changed = perform_operations(configuration, operations, revision)
    for error in list_conflicts(changed):
        raise error
    return changed


def perform_operations(
    configuration: Configuration, operations: Iterable[Operation], revision: int
) -> Configuration:
    """Return a changed configuration whose entries may contradict each other.

    Raises
    ------
    ConfigurationError
        If an operation cannot be applied.
    """
    draft = Draft(
        dict(configuration.groups),
        dict(configuration.rules),
        dict(configuration.label_overrides),
        {"version": configuration.version, "limits": configuration.limits},
        dict(configuration.tenants),
        set(configuration.evacuated),
    )
    for operation in operations:
        operation.perform(draft)
    return Configuration(
        revision,
        draft.groups,
        draft.rules,
        draft.label_overrides,
        **draft.general,
        tenants=draft.tenants,
        evacuated=tuple(sorted(draft.evacuated)),
    )


def describe_operation(operation: Any) -> dict[str, Any]:
    """Return the JSON form of an operation."""
    for name in operation_kinds.names():
        if operation_kinds.get(name) is type(operation):
            return {"operation": name, **describe(operation)}
    raise TypeError(f"{operation!r} is not a registered operation")


def parse_operation(document: Any, strict: bool = True) -> Operation:
    """Build an operation from its JSON form.

    Parameters
    ----------
    document : dict
        Output of `describe_operation`, or a document sent by an operator.
    strict : bool, default=True
        Whether an unknown key is an error.

    Returns
    -------
    Operation
        Parsed operation.

    Raises
    ------
    ConfigurationError
        If the operation is unknown or its document is invalid.
    """
    name = document.get("operation") if isinstance(document, dict) else None
    if name not in operation_kinds.names():
        raise ConfigurationError(
            f"operation {name!r} is unknown", f"use one of {operation_kinds.names()}"
        )
    rest = {key: value for key, value in document.items() if key != "operation"}
    return parse(operation_kinds.get(name), rest, f"operation {name}", strict)


def encode_operations(operations: Sequence[Any]) -> bytes:
    """Serialize operations as JSON."""
    return msgspec.json.encode([describe_operation(entry) for entry in operations])


def decode_operations(data: bytes) -> list[Operation]:
    """Deserialize the output of `encode_operations`."""
    return [parse_operation(entry, strict=False) for entry in msgspec.json.decode(data)]


def describe_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON form of a configuration, keys sorted by name."""
    document: dict[str, Any] = {
        "revision": configuration.revision,
        "groups": [
            describe(group) for _, group in sorted(configuration.groups.items())
        ],
        "rules": [describe(rule) for _, rule in sorted(configuration.rules.items())],
        "labels": {
            server: dict(sorted(labels.items()))
            for server, labels in sorted(configuration.label_overrides.items())
        },
    }
    if configuration.version >= 0:
        document["version"] = configuration.version
        document["limits"] = describe(configuration.limits)
    if configuration.tenants:
        document["tenants"] = [
            describe(tenant) for _, tenant in sorted(configuration.tenants.items())
        ]
    if configuration.evacuated:
        document["evacuated"] = list(configuration.evacuated)
    return document


def parse_configuration(document: dict[str, Any]) -> Configuration:
    """Build a configuration from the output of `describe_configuration`."""
    groups = [parse(Group, entry, "group", False) for entry in document["groups"]]
    rules = [parse(Rule, entry, "rule", False) for entry in document["rules"]]
    tenants = [
        parse(Tenant, entry, "tenant", False) for entry in document.get("tenants", ())
    ]
    return Configuration(
        document["revision"],
        {group.name: group for group in groups},
        {rule.name: rule for rule in rules},
        document["labels"],
        document.get("version", -1),
        parse(CallerLimits, document.get("limits", {}), "limits", False),
        {tenant.name: tenant for tenant in tenants},
        tuple(document.get("evacuated", ())),
    )


def describe_targets(
    configuration: Configuration, operations: Iterable[Operation]
) -> dict[str, Any]:
    """Return the current values that operations would change.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    operations : iterable of Operation
        Operations of a change.

    Returns
    -------
    dict
        Current value by ``"group NAME"``, ``"rule NAME"``, ``"tenant NAME"``,
        ``"labels SERVER"``, ``"evacuation DOMAIN"`` or ``"general version"``; None
        where there is no value.
    """
    values: dict[str, Any] = {}
    for operation in operations:
        kind, name = operation.target()
        value: Any = None
        if kind == "labels":
            value = configuration.label_overrides.get(name)
        elif kind == "general":
            value = {"version": configuration.version}
        elif kind == "evacuation":
            value = {"active": name in configuration.evacuated}
        else:
            table = find_table(configuration, kind)
            value = describe(table[name]) if name in table else None
        values[f"{kind} {name}"] = value
    return values


def find_table(configuration: Configuration, kind: str) -> dict[str, Any]:
    """Return the groups, rules or tenants of a configuration by name."""
    tables: dict[str, dict[str, Any]] = {
        "group": configuration.groups,
        "rule": configuration.rules,
        "tenant": configuration.tenants,
    }
    return tables[kind]


def _not_found(kind: str, name: str) -> ConfigurationError:
    return ConfigurationError(
        f"{kind} {name!r} does not exist", "list what exists and correct the name"
    )
