from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from geraniumbend.model import Configuration, Rule


class RequestFacts(NamedTuple):
    """What rules look at.

    Parameters
    ----------
    host : str
        Host header, with or without port.
    path : str
        Path without query.
    method : str
        HTTP method in upper case.
    headers : mapping of str to str
        Headers; looked up case-insensitively by the mapping itself.
    """

    host: str
    path: str
    method: str
    headers: Mapping[str, str]


class _Entry(NamedTuple):
    position: int
    rule: Rule
    matches: Callable[[RequestFacts], bool]


class RuleTable:
    """Rules of one configuration in the order in which they are tried.

    Higher priority comes first, then the longer path prefix, then the name. Rules are
    indexed by their literal host and first path segment, since trying all rules of
    hundreds of services in turn takes longer than relaying a request.

    Parameters
    ----------
    configuration : Configuration
        Configuration to take the rules from.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._index: dict[tuple[str, str], list[_Entry]] = {}
        ordered = sorted(configuration.rules.values(), key=_sort_key)
        for position, rule in enumerate(ordered):
            key = (_literal_host(rule), _literal_segment(rule))
            entry = _Entry(position, rule, _compile(rule))
            self._index.setdefault(key, []).append(entry)

    def find(self, request: RequestFacts) -> Rule | None:
        """Return the first rule that matches a request, or None."""
        host = normalize_host(request.host)
        segment = request.path[1:].partition("/")[0]
        keys = ((host, segment), (host, ""), ("", segment), ("", ""))
        best: _Entry | None = None
        for key in dict.fromkeys(keys):
            for entry in self._index.get(key, ()):
                if best is not None and entry.position > best.position:
                    break
                if entry.matches(request):
                    best = entry
                    break
        return best.rule if best is not None else None


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
        ``*`` stands for one path segment, ``**`` for any rest.

    Returns
    -------
    re.Pattern
        Expression for the whole path.
    """
    parts = re.split(r"(\*\*|\*)", pattern)
    wildcard = {"**": ".*", "*": "[^/]+"}
    return re.compile("".join(wildcard.get(part, re.escape(part)) for part in parts))


def _sort_key(rule: Rule) -> tuple[int, int, str]:
    return (-rule.priority, -len(rule.match.path_prefix), rule.name)


def _compile(rule: Rule) -> Callable[[RequestFacts], bool]:
    match = rule.match
    checks: list[Callable[[RequestFacts], bool]] = []
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


def _host_matches(wanted: str, host: str) -> bool:
    name = normalize_host(host)
    if wanted.startswith("*."):
        return name.endswith(wanted[1:].lower())
    return name == wanted.lower()


def _headers_match(
    wanted: Iterable[tuple[str, str]], headers: Mapping[str, str]
) -> bool:
    for name, value in wanted:
        actual = headers.get(name)
        if actual is None or value not in ("*", actual):
            return False
    return True
