"""Selection of the backend server for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.routing._costs import RequestCosts
    from geraniumbend.routing._load_reports import (
        LoadReport,
        build_report,
        parse_counts,
        parse_report,
    )
    from geraniumbend.routing._on_demand_probes import OnDemandProbes
    from geraniumbend.routing._periodic_probes import ProbeScheduler
    from geraniumbend.routing._policies import Policy, SelectionContext, policies
    from geraniumbend.routing._pools import GroupPools, PoolTable
    from geraniumbend.routing._retry_after import AskedTime, parse_retry_after
    from geraniumbend.routing._router import Router
    from geraniumbend.routing._rules import (
        RequestProperties,
        RuleTable,
        compile_pattern,
        order_rules,
    )
    from geraniumbend.routing._selectors import Requirement, Selector, parse_selector
    from geraniumbend.routing._server_table import MAX_CROWDING, ServerTable
    from geraniumbend.routing._server_views import FULL_LOAD, Outcome, ServerView
    from geraniumbend.routing._signal_fields import SignalFields
    from geraniumbend.routing._slot_line import SlotTurn
    from geraniumbend.routing._splits import GroupSplitter
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_costs": ("RequestCosts",),
            "_load_reports": (
                "LoadReport",
                "build_report",
                "parse_counts",
                "parse_report",
            ),
            "_on_demand_probes": ("OnDemandProbes",),
            "_periodic_probes": ("ProbeScheduler",),
            "_policies": (
                "Policy",
                "SelectionContext",
                "policies",
            ),
            "_pools": (
                "GroupPools",
                "PoolTable",
            ),
            "_retry_after": (
                "AskedTime",
                "parse_retry_after",
            ),
            "_router": ("Router",),
            "_rules": (
                "RequestProperties",
                "RuleTable",
                "compile_pattern",
                "order_rules",
            ),
            "_selectors": (
                "Requirement",
                "Selector",
                "parse_selector",
            ),
            "_server_table": (
                "MAX_CROWDING",
                "ServerTable",
            ),
            "_server_views": (
                "FULL_LOAD",
                "Outcome",
                "ServerView",
            ),
            "_signal_fields": ("SignalFields",),
            "_slot_line": ("SlotTurn",),
            "_splits": ("GroupSplitter",),
        },
    )

__all__ = [
    "AskedTime",
    "FULL_LOAD",
    "MAX_CROWDING",
    "SelectionContext",
    "OnDemandProbes",
    "GroupSplitter",
    "PoolTable",
    "GroupPools",
    "LoadReport",
    "Outcome",
    "Policy",
    "ProbeScheduler",
    "RequestCosts",
    "RequestProperties",
    "Requirement",
    "Router",
    "RuleTable",
    "Selector",
    "ServerTable",
    "ServerView",
    "SignalFields",
    "SlotTurn",
    "build_report",
    "compile_pattern",
    "parse_counts",
    "parse_report",
    "parse_retry_after",
    "order_rules",
    "parse_selector",
    "policies",
]
