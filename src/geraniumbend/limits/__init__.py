"""Limits on the requests a second of backend servers that name them or are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.limits._allocators import Allocators, MembershipPort
    from geraniumbend.limits._limited_server import Permit
    from geraniumbend.limits._server_limits import ServerLimits
    from geraniumbend.limits._statements import (
        LIMIT_HEADER,
        WARMUP_HEADER,
        LimitStatement,
        parse_statement,
        parse_warmup,
    )
    from geraniumbend.limits._warmup_tracker import WarmupTracker, uses_warmups
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_allocators": (
                "Allocators",
                "MembershipPort",
            ),
            "_limited_server": ("Permit",),
            "_server_limits": ("ServerLimits",),
            "_statements": (
                "LIMIT_HEADER",
                "WARMUP_HEADER",
                "LimitStatement",
                "parse_statement",
                "parse_warmup",
            ),
            "_warmup_tracker": (
                "WarmupTracker",
                "uses_warmups",
            ),
        },
    )

__all__ = [
    "LIMIT_HEADER",
    "Allocators",
    "WARMUP_HEADER",
    "LimitStatement",
    "MembershipPort",
    "Permit",
    "ServerLimits",
    "WarmupTracker",
    "parse_statement",
    "parse_warmup",
    "uses_warmups",
]
