"""Choice of a backend server for a request."""

from __future__ import annotations

from geraniumbend.routing._matching import RequestFacts, RuleTable, compile_pattern
from geraniumbend.routing._selectors import Requirement, Selector, parse_selector

__all__ = [
    "RequestFacts",
    "Requirement",
    "RuleTable",
    "Selector",
    "compile_pattern",
    "parse_selector",
]
