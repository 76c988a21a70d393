"""Configuration files of operators, and the operations that they ask for."""

from __future__ import annotations

from typing import Any, NamedTuple

from geraniumbend.configuration._documents import describe, parse
from geraniumbend.configuration._keys import replace_keys
from geraniumbend.configuration._operations import (
    DeleteGroup,
    DeleteRule,
    DeleteTenant,
    Operation,
    RemoveLabels,
    SetEvacuation,
    SetGeneral,
    SetGroup,
    SetLabels,
    SetRule,
    SetTenant,
    find_table,
)
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import Configuration, Group, Rule, Tenant

TABLES = ("groups", "rules", "labels", "tenants")


class FileContent(NamedTuple):
    """Groups, rules, labels and tenants of an operator's configuration file.

    Parameters
    ----------
    groups : dict of str to Group
        Groups by name.
    rules : dict of str to Rule
        Rules by name.
    labels : dict of str to dict
        Label overrides by server id.
    tables : frozenset of str
        Tables that the file has; pruning deletes entries only in these.
    tenants : dict of str to Tenant, default={}
        Tenants by name.
    """

    groups: dict[str, Group]
    rules: dict[str, Rule]
    labels: dict[str, dict[str, str]]
    tables: frozenset[str]
    tenants: dict[str, Tenant] = {}  # noqa: RUF012


def parse_file(text: str, source: str = "file") -> FileContent:
    """Parse an operator's configuration file in TOML.

    Parameters
    ----------
    text : str
        TOML with ``[groups.NAME]``, ``[rules.NAME]``, ``[labels.SERVER]`` and
        ``[tenants.NAME]`` tables.
    source : str, default="file"
        Name of the file in error messages.

    Returns
    -------
    FileContent
        Parsed content.

    Raises
    ------
    ConfigurationError
        If the file is not valid TOML, or a table or key is unknown or malformed.
    """
    import tomllib

    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            f"{source} is not valid TOML: {error}",
            "correct the syntax at that position",
        ) from error
    return parse_document(document, source)


def parse_document(document: Any, source: str = "document") -> FileContent:
    """Parse the decoded tables of a configuration file; see `parse_file`."""
    if not isinstance(document, dict):
        raise ConfigurationError(
            f"{source} is not an object", f"use the tables {', '.join(TABLES)}"
        )
    unknown = sorted(set(document) - set(TABLES))
    if unknown:
        raise ConfigurationError(
            f"{source}: table {unknown[0]!r} is unknown", f"use {', '.join(TABLES)}"
        )
    groups = {
        name: parse(Group, entry, f"{source}: groups.{name}")
        for name, entry in _named_tables(document, "groups", source)
    }
    rules = {
        name: parse(Rule, entry, f"{source}: rules.{name}")
        for name, entry in _named_tables(document, "rules", source)
    }
    labels = {}
    for server, entry in _tables(document, "labels", source):
        step = {"server_id": server, "labels": entry}
        labels[server] = parse(SetLabels, step, f"{source}: labels.{server}").labels
    tenants = {
        name: parse(Tenant, entry, f"{source}: tenants.{name}", other_keys=("keys",))
        for name, entry in _named_tables(
            replace_keys(document, source), "tenants", source
        )
    }
    return FileContent(groups, rules, labels, frozenset(document), tenants)


def plan_operations(
    desired: FileContent, current: Configuration, prune: bool = False
) -> list[Operation]:
    """Return the operations that change the configuration to match a file.

    Parameters
    ----------
    desired : FileContent
        Content of the file.
    current : Configuration
        Configuration in force.
    prune : bool, default=False
        Whether to delete entries that are missing from the file; only in tables
        that the file has.

    Returns
    -------
    list of Operation
        Operations in an order that can be applied; empty when nothing differs.
    """
    steps: list[Operation] = []
    for name, group in desired.groups.items():
        if current.groups.get(name) != group:
            steps.append(SetGroup(group))
    for name, rule in desired.rules.items():
        if current.rules.get(name) != rule:
            steps.append(SetRule(rule))
    for name, tenant in desired.tenants.items():
        if current.tenants.get(name) != tenant:
            steps.append(SetTenant(tenant))
    if prune and "tenants" in desired.tables:
        steps += [
            DeleteTenant(name)
            for name in sorted(current.tenants.keys())
            if name not in desired.tenants
        ]
    if prune and "rules" in desired.tables:
        steps += [
            DeleteRule(name)
            for name in sorted(current.rules.keys())
            if name not in desired.rules
        ]
    if prune and "groups" in desired.tables:
        steps += [
            DeleteGroup(name)
            for name in sorted(current.groups.keys())
            if name not in desired.groups
        ]
    for server, labels in desired.labels.items():
        existing = current.label_overrides.get(server, {})
        surplus = tuple(sorted(set(existing) - set(labels))) if prune else ()
        if any(existing.get(label) != value for label, value in labels.items()):
            steps.append(SetLabels(server, labels))
        if surplus:
            steps.append(RemoveLabels(server, surplus))
    if prune and "labels" in desired.tables:
        steps += [
            RemoveLabels(server)
            for server in sorted(current.label_overrides)
            if server not in desired.labels
        ]
    return steps


def plan_replacement(desired: Configuration, current: Configuration) -> list[Operation]:
    """Return the operations that replace the whole configuration.

    Parameters
    ----------
    desired : Configuration
        New groups, rules, tenants, version and limits; label overrides and
        evacuations are kept.
    current : Configuration
        Configuration in force.

    Returns
    -------
    list of Operation
        Operations for the differences; the last one sets version and limits.
    """
    content = FileContent(
        desired.groups,
        desired.rules,
        {},
        frozenset(("groups", "rules", "tenants")),
        desired.tenants,
    )
    steps = plan_operations(content, current, prune=True)
    return [*steps, SetGeneral(desired.version, desired.limits)]


def describe_diff(
    operations: list[Operation], current: Configuration
) -> list[dict[str, Any]]:
    """Return the value before and after each operation.

    Parameters
    ----------
    operations : list of Operation
        Operations of a change.
    current : Configuration
        Configuration in force.

    Returns
    -------
    list of dict
        One entry an operation, with keys ``kind``, ``name``, ``before`` and
        ``after``; None means absent.
    """
    entries = []
    for step in operations:
        kind, name = step.target()
        before: Any = None
        after: Any = None
        if kind == "labels":
            before = current.label_overrides.get(name)
            if isinstance(step, SetLabels):
                after = (before or {}) | step.labels
            elif isinstance(step, RemoveLabels):
                removed = step.names or tuple(before or {})
                after = {k: v for k, v in (before or {}).items() if k not in removed}
        elif isinstance(step, SetGeneral):
            before, after = {"version": current.version}, {"version": step.version}
        elif isinstance(step, SetEvacuation):
            before, after = (
                {"active": name in current.evacuated},
                {"active": step.active},
            )
        else:
            table = find_table(current, kind)
            before = describe(table[name]) if name in table else None
            if isinstance(step, SetGroup):
                after = describe(step.group)
            elif isinstance(step, SetRule):
                after = describe(step.rule)
            elif isinstance(step, SetTenant):
                after = describe(step.tenant)
        entries.append({"kind": kind, "name": name, "before": before, "after": after})
    return entries


def write_file(configuration: Configuration) -> dict[str, Any]:
    """Convert a configuration to the tables of an operator's configuration file.

    Parameters
    ----------
    configuration : Configuration
        Configuration to convert.

    Returns
    -------
    dict
        Tables; when written as TOML, `parse_file` returns the same groups, rules,
        labels and tenants.
    """
    return {
        "groups": {
            name: _without_name(group)
            for name, group in sorted(configuration.groups.items())
        },
        "rules": {
            name: _without_name(rule)
            for name, rule in sorted(configuration.rules.items())
        },
        "labels": dict(sorted(configuration.label_overrides.items())),
        **_write_tenants(configuration),
    }


def _write_tenants(configuration: Configuration) -> dict[str, Any]:
    """Return the table of tenants with the digests of their keys, if there are any."""
    tenants = {
        name: _without_name(tenant)
        for name, tenant in sorted(configuration.tenants.items())
    }
    return {"tenants": tenants} if tenants else {}


def _without_name(value: Any) -> dict[str, Any]:
    document = describe(value)
    del document["name"]
    return document


def _tables(
    document: dict[str, Any], table: str, source: str
) -> list[tuple[str, dict[str, Any]]]:
    entries = document.get(table, {})
    if not isinstance(entries, dict) or not all(
        isinstance(entry, dict) for entry in entries.values()
    ):
        raise ConfigurationError(
            f"{source}: {table} has an entry that is not a named table",
            f"write tables such as [{table}.NAME]",
        )
    return list(entries.items())


def _named_tables(
    document: dict[str, Any], table: str, source: str
) -> list[tuple[str, dict[str, Any]]]:
    named = []
    for name, entry in _tables(document, table, source):
        if entry.get("name", name) != name:
            raise ConfigurationError(
                f"{source}: {table}.{name} has the different name {entry['name']!r}",
                "remove the key 'name'",
            )
        named.append((name, {**entry, "name": name}))
    return named
