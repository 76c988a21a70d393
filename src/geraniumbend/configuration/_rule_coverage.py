"""Rules whose requests all match an earlier rule."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.routing import order_rules

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from geraniumbend.model import Rule, RuleMatch


def find_shadowed(rules: Iterable[Rule]) -> dict[str, str]:
    """Return the rules that can never match, with the earlier rule that takes theirs.

    Only coverage by a single earlier rule is found. Rules that several earlier ones
    cover together are not.

    Parameters
    ----------
    rules : iterable of Rule
        All rules of a configuration.

    Returns
    -------
    dict of str to str
        Name of the earlier rule by name of the shadowed one.
    """
    # Earlier rules by host and literal start of the path, so that 1,400 rules need no
    # comparison of all pairs.
    earlier: dict[tuple[str, str], list[Rule]] = {}
    shadowed: dict[str, str] = {}
    for rule in order_rules(rules):
        for key in _list_keys(rule.match):
            found = next((r for r in earlier.get(key, ()) if _covers(r, rule)), None)
            if found is not None:
                shadowed[rule.name] = found.name
                break
        match = rule.match
        key = (match.host.lower(), _find_own_start(match))
        earlier.setdefault(key, []).append(rule)
    return shadowed


def _list_keys(match: RuleMatch) -> Iterator[tuple[str, str]]:
    """Yield the keys under which rules that cover a rule may be found."""
    start = _find_literal_start(match)
    for host in _list_hosts(match.host.lower()):
        for length in range(len(start) + 1):
            yield host, start[:length]


def _list_hosts(host: str) -> list[str]:
    """Return a host and the wildcards that include it; empty matches every host."""
    if not host:
        return [""]
    labels = host.removeprefix("*.").split(".")
    first = 0 if host.startswith("*.") else 1
    wildcards = ["*." + ".".join(labels[n:]) for n in range(first, len(labels))]
    return list(dict.fromkeys((host, *wildcards, "")))


def _find_literal_start(match: RuleMatch) -> str:
    """Return a text with which each path of a rule starts."""
    literal = match.path_pattern.partition("*")[0]
    return max(match.path_prefix, literal, "/", key=len)


def _find_own_start(match: RuleMatch) -> str:
    """Return the longest literal start that a path needs, at most the pattern's."""
    if match.path_prefix:
        return match.path_prefix
    return match.path_pattern.partition("*")[0]


def _covers(earlier: Rule, rule: Rule) -> bool:
    """Tell whether each request that matches a rule matches the earlier one too."""
    wide, narrow = earlier.match, rule.match
    return (
        wide.host.lower() in _list_hosts(narrow.host.lower())
        and _covers_path(wide, narrow)
        and (
            not wide.methods
            or (bool(narrow.methods) and set(narrow.methods) <= set(wide.methods))
        )
        and all(
            name in narrow.headers and value in ("*", narrow.headers[name])
            for name, value in wide.headers.items()
        )
    )


def _covers_path(wide: RuleMatch, narrow: RuleMatch) -> bool:
    start = _find_literal_start(narrow)
    if not start.startswith(wide.path_prefix):
        return False
    pattern = wide.path_pattern
    if not pattern or pattern == narrow.path_pattern:
        return True
    literal, wildcard, rest = pattern.partition("**")
    is_prefix = wildcard and not rest and "*" not in literal
    return bool(is_prefix) and start.startswith(literal)
