"""Tells lost backend servers from lost links of this gateway."""

from __future__ import annotations

from geraniumbend.reachability._group_link import SILENCE_S
from geraniumbend.reachability._lost_links import LostLinks
from geraniumbend.reachability._reachability import (
    ALL_SERVERS,
    CHECKED_SERVERS,
    Reachability,
)

__all__ = [
    "ALL_SERVERS",
    "CHECKED_SERVERS",
    "SILENCE_S",
    "LostLinks",
    "Reachability",
]
