"""Matching of requests against the rules of a configuration."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from geraniumbend.model import Configuration, Rule


class RequestProperties(NamedTuple):
    """Properties of a request that rules are matched against.

    Parameters
    ----------
    host : str
        Host header, with or without port.
    path : str
        Path without query.
    method : str
        HTTP method in upper case.
    headers : mapping of str to str
        Headers; the mapping must look names up without regard to case.
    """

    host: str
    path: str
    method: str
    headers: Mapping[str, str]


class _IndexEntry(NamedTuple):
    position: int
    rule: Rule
    matches: Callable[[RequestProperties], bool]


class RuleTable:
    """Rules of one configuration, in the order in which they are matched.

    Rules are ordered by falling priority, then by falling length of the path prefix,
    then by name. They are indexed by literal host and first path segment, because
    matching all rules of hundreds of services one by one takes longer than relaying a
    request.

    Parameters
    ----------
    configuration : Configuration
        Configuration that contains the rules.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._index: dict[tuple[str, str], list[_IndexEntry]] = {}
        ordered = order_rules(configuration.rules.values())
        for position, rule in enumerate(ordered):
            key = (_literal_host(rule), _literal_segment(rule))
            entry = _IndexEntry(position, rule, _compile(rule))
            self._index.setdefault(key, []).append(entry)

    def find(self, request: RequestProperties) -> Rule | None:
        """Return the first rule that matches a request, or None."""
        host = normalize_host(request.host)
        segment = request.path[1:].partition("/")[0]
        keys = ((host, segment), (host, ""), ("", segment), ("", ""))
        best: _IndexEntry | None = None
        for key in dict.fromkeys(keys):
            for entry in self._index.get(key, ()):
                if best is not None and entry.position > best.position:
                    break
                if entry.matches(request):
                    best = entry
                    break
        return best.rule if best is not None else None


def order_rules(rules: Iterable[Rule]) -> list[Rule]:
    """Return rules in the order in which they are matched; see `RuleTable`."""
    return sorted(rules, key=_sort_key)


def normalize_host(host: str) -> str:
    """Return a Host header in lower case and without port.

    Parameters
    ----------
    host : str
        Value of the header.

    Returns
    -------
    str
        Name or address; IPv6 addresses keep their brackets.
    """
    name = host.lower()
    if name.endswith("]"):
        return name
    return name.rpartition(":")[0] or name


def compile_pattern(pattern: str) -> re.Pattern[str]:
    """Compile a path pattern.

    Parameters
    ----------
    pattern : str
        ``*`` matches one path segment, ``**`` matches any text.

    Returns
    -------
    re.Pattern
        Expression that must match the whole path.
    """
    parts = re.split(r"(\*\*|\*)", pattern)
    wildcard = {"**": ".*", "*": "[^/]+"}
    return re.compile("".join(wildcard.get(part, re.escape(part)) for part in parts))


def _sort_key(rule: Rule) -> tuple[int, int, str]:
    return (-rule.priority, -len(rule.match.path_prefix), rule.name)


def _compile(rule: Rule) -> Callable[[RequestProperties], bool]:
    match = rule.match
    checks: list[Callable[[RequestProperties], bool]] = []
    if match.host:
        checks.append(lambda request: _host_matches(match.host, request.host))
    if match.path_prefix:
        checks.append(lambda request: request.path.startswith(match.path_prefix))
    if match.path_pattern:
        pattern = compile_pattern(match.path_pattern)
        checks.append(lambda request: pattern.fullmatch(request.path) is not None)
    if match.methods:
        checks.append(lambda request: request.method in match.methods)
    if match.headers:
        checks.append(
            lambda request: _headers_match(match.headers.items(), request.headers)
        )
    return lambda request: all(check(request) for check in checks)


def _literal_host(rule: Rule) -> str:
    host = rule.match.host.lower()
    return "" if host.startswith("*.") else host


def _literal_segment(rule: Rule) -> str:
    segments = {
        _first_whole_segment(rule.match.path_prefix),
        _first_whole_segment(rule.match.path_pattern),
    } - {""}
    return segments.pop() if len(segments) == 1 else ""


def _first_whole_segment(path: str) -> str:
    segment, slash, _ = path[1:].partition("/")
    return segment if slash and path.startswith("/") and "*" not in segment else ""


def _host_matches(expected: str, host: str) -> bool:
    name = normalize_host(host)
    if expected.startswith("*."):
        return name.endswith(expected[1:].lower())
    return name == expected.lower()


def _headers_match(
    expected: Iterable[tuple[str, str]], headers: Mapping[str, str]
) -> bool:
    for name, value in expected:
        actual = headers.get(name)
        if actual is None or value not in ("*", actual):
            return False
    return True
