"""Review of a configuration file before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.configuration._conflicts import list_conflicts
from geraniumbend.configuration._operations import perform_operations
from geraniumbend.configuration._operator_files import (
    TABLES,
    FileContent,
    describe_diff,
    parse_document,
    plan_operations,
    plan_replacement,
)
from geraniumbend.configuration._review_checks import Finding, checks
from geraniumbend.configuration._validation import validate_operations
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import Configuration, Group

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# Digits of a key's digest that are shown.
SHOWN_DIGITS = 8


class Review(NamedTuple):
    """Result of the review of a file.

    Parameters
    ----------
    errors : list of Finding
        What a control host refuses.
    warnings : list of Finding
        What a control host accepts, but has no effect or contradicts other entries.
    changes : list of dict
        Entries that differ from the configuration compared with, as `describe_diff`
        returns them, with shortened digests of keys.
    """

    errors: list[Finding]
    warnings: list[Finding]
    changes: list[dict[str, Any]]


def review_document(
    document: Any,
    source: str,
    policies: Collection[str],
    current: Configuration | None = None,
    prune: bool = False,
    servers: Mapping[str, Mapping[str, str]] | None = None,
) -> Review:
    """Review the decoded tables of a configuration file.

    Parameters
    ----------
    document : object
        Decoded tables.
    source : str
        Name of the file in messages.
    policies : collection of str
        Names of the known load balancing policies.
    current : Configuration or None, default=None
        Configuration that the file is applied to; without one the file stands alone.
    prune : bool, default=False
        Whether entries that are missing from the file are deleted.
    servers : mapping of str to mapping or None, default=None
        Labels of the known backend servers by id.
    """
    content, errors = _read_entries(document, source)
    base = current or Configuration(groups=_assume_groups(content))
    steps = plan_operations(content, base, prune)
    errors += _validate(steps, policies)
    changed = perform_operations(base, steps, base.revision + 1)
    errors += _list_errors(changed)
    warnings = _list_assumed(base) if current is None else []
    warnings += _list_warnings(changed, base, content, servers)
    changes = describe_diff(steps, current) if current is not None else []
    return Review(errors, warnings, [_shorten_digests(entry) for entry in changes])


def review_replacement(
    desired: Configuration,
    policies: Collection[str],
    current: Configuration | None = None,
    servers: Mapping[str, Mapping[str, str]] | None = None,
) -> Review:
    """Review a configuration that replaces the whole one in force.

    Parameters
    ----------
    desired : Configuration
        Groups, rules, tenants, version and limits.
    policies, current, servers
        As of `review_document`.
    """
    base = current or Configuration()
    steps = plan_replacement(desired, base)
    content = FileContent(
        desired.groups, desired.rules, {}, frozenset(TABLES), desired.tenants
    )
    changed = perform_operations(base, steps, base.revision + 1)
    errors = _validate(steps, policies) + _list_errors(changed)
    warnings = _list_warnings(changed, base, content, servers)
    changes = describe_diff(steps, current) if current is not None else []
    differing = [entry for entry in changes if entry["before"] != entry["after"]]
    return Review(errors, warnings, [_shorten_digests(entry) for entry in differing])


def _read_entries(document: Any, source: str) -> tuple[FileContent, list[Finding]]:
    """Parse each entry by itself, so that one bad entry does not hide others."""
    content = FileContent({}, {}, {}, frozenset(), {})
    errors: list[Finding] = []
    if not isinstance(document, dict):
        document = {"": document}
    for table, entries in document.items():
        named = isinstance(entries, dict) and table in TABLES and entries
        parts = (
            [{name: entry} for name, entry in entries.items()] if named else [entries]
        )
        for part in parts:
            place = f"{table}.{next(iter(part))}" if named else table
            try:
                parsed = parse_document({table: part}, source)
            except ConfigurationError as error:
                errors.append(Finding("error", place, error.message, error.remedy))
                continue
            content.groups.update(parsed.groups)
            content.rules.update(parsed.rules)
            content.labels.update(parsed.labels)
            content.tenants.update(parsed.tenants)
    return content._replace(tables=frozenset(document) & frozenset(TABLES)), errors


def _assume_groups(content: FileContent) -> dict[str, Group]:
    """Return the groups that a file without groups expects to be in force."""
    if "groups" in content.tables:
        return {}
    names = {rule.group for rule in content.rules.values()}
    names |= {part.group for rule in content.rules.values() for part in rule.split}
    return {name: Group(name, "") for name in names}


def _list_assumed(base: Configuration) -> list[Finding]:
    if not base.groups:
        return []
    return [
        Finding(
            "warning",
            "groups",
            f"the file has no groups; not checked: {', '.join(sorted(base.groups))}",
            "compare with --against live",
        )
    ]


def _list_errors(changed: Configuration) -> list[Finding]:
    return [
        Finding("error", _find_place(error.message), error.message, error.remedy)
        for error in list_conflicts(changed)
    ]


def _validate(steps: list[Any], policies: Collection[str]) -> list[Finding]:
    """Validate each operation like a control host, and the change as a whole."""
    errors: list[Finding] = []
    for step in steps:
        try:
            validate_operations([step], policies)
        except ConfigurationError as error:
            kind, name = step.target()
            table = kind if kind == "labels" else f"{kind}s"
            place = f"{table}.{name}"
            errors.append(Finding("error", place, error.message, error.remedy))
    # A file that changes nothing is accepted without a change.
    if steps and not errors:
        try:
            validate_operations(steps, policies)
        except ConfigurationError as error:
            errors.append(Finding("error", "", error.message, error.remedy))
    return errors


def _find_place(message: str) -> str:
    """Return the place of a contradiction, which its message names first."""
    kind, _, rest = message.partition(" ")
    name = rest.partition("'")[2].partition("'")[0]
    table = {"rule": "rules", "tenants": "tenants"}.get(kind, "")
    return f"{table}.{name}" if table and name else "tenants"


def _list_warnings(
    changed: Configuration,
    base: Configuration,
    content: FileContent,
    servers: Mapping[str, Mapping[str, str]] | None,
) -> list[Finding]:
    """Return what concerns entries of the file, or is new for others."""
    known = set(_run_checks(base, servers))
    in_file = {
        f"{table}.{name}"
        for table, entries in content._asdict().items()
        if isinstance(entries, dict)
        for name in entries
    }
    return [
        finding
        for finding in _run_checks(changed, servers)
        if finding.place in in_file or finding not in known
    ]


def _run_checks(
    configuration: Configuration, servers: Mapping[str, Mapping[str, str]] | None
) -> list[Finding]:
    return sorted(
        finding
        for name in checks.names()
        for finding in checks.get(name)(configuration, servers)
    )


def _shorten_digests(entry: dict[str, Any]) -> dict[str, Any]:
    if entry["kind"] != "tenant":
        return entry
    return {
        key: _shorten(value) if isinstance(value, dict) else value
        for key, value in entry.items()
    }


def _shorten(tenant: dict[str, Any]) -> dict[str, Any]:
    digests = tenant.get("key_digests")
    if digests is None:
        return tenant
    return {**tenant, "key_digests": [f"{d[:SHOWN_DIGITS]}..." for d in digests]}
