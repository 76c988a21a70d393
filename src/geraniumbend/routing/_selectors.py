"""Grammar of label selectors."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Mapping

NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
SET_TERM = re.compile(rf"({NAME})\s+(in|notin)\s*\(([^()]*)\)")
EQUALITY_TERM = re.compile(rf"({NAME})\s*(==|=|!=)\s*({NAME})")
PRESENCE_TERM = re.compile(rf"(!?)\s*({NAME})")
REMEDY = "write terms such as app=x, app!=x, app in (x,y), app notin (x), app or !app"


class Requirement(NamedTuple):
    """One term of a selector.

    Parameters
    ----------
    label : str
        Name of the label.
    operator : {"in", "notin", "exists", "absent"}
        Kind of the term.
    values : frozenset of str
        Values of ``in`` and ``notin``.
    """

    label: str
    operator: str
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether labels meet the term."""
        value = labels.get(self.label)
        if self.operator == "in":
            return value in self.values
        if self.operator == "notin":
            return value not in self.values
        return (value is not None) == (self.operator == "exists")


class Selector(NamedTuple):
    """Terms over labels, all of which must hold.

    Parameters
    ----------
    requirements : tuple of Requirement
        Terms; a selector without terms matches everything.
    """

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether labels meet all terms."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def parse_selector(text: str) -> Selector:
    """Parse a label selector.

    Parameters
    ----------
    text : str
        Terms separated by commas.

    Returns
    -------
    Selector
        Parsed selector.

    Raises
    ------
    ConfigurationError
        If a term is malformed.
    """
    return Selector(tuple(_parse_term(term) for term in _split_terms(text)))


def _split_terms(text: str) -> list[str]:
    if not text.strip():
        return []
    return [term.strip() for term in re.split(r",(?![^()]*\))", text)]


def _parse_term(term: str) -> Requirement:
    if match := SET_TERM.fullmatch(term):
        label, operator, listed = match.groups()
        values = frozenset(value.strip() for value in listed.split(","))
        if not all(re.fullmatch(NAME, value) for value in values):
            raise ConfigurationError(
                f"selector term {term!r} has an invalid value", REMEDY
            )
        return Requirement(label, operator, values)
    if match := EQUALITY_TERM.fullmatch(term):
        label, sign, value = match.groups()
        operator = "notin" if sign == "!=" else "in"
        return Requirement(label, operator, frozenset([value]))
    if match := PRESENCE_TERM.fullmatch(term):
        negated, label = match.groups()
        return Requirement(label, "absent" if negated else "exists")
    raise ConfigurationError(f"selector term {term!r} is malformed", REMEDY)
