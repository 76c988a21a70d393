"""Choice of a backend server for a request."""

from __future__ import annotations

from geraniumbend.routing._costs import RequestCosts
from geraniumbend.routing._matching import RequestFacts, RuleTable, compile_pattern
from geraniumbend.routing._on_demand_probes import OnDemandProbes
from geraniumbend.routing._policies import Choice, Policy, policies
from geraniumbend.routing._pools import GroupPools, PoolTable
from geraniumbend.routing._probes import ProbeScheduler
from geraniumbend.routing._reports import LoadReport, build_report, parse_report
from geraniumbend.routing._router import Router
from geraniumbend.routing._selectors import Requirement, Selector, parse_selector
from geraniumbend.routing._splits import GroupSplitter
from geraniumbend.routing._table import ServerTable
from geraniumbend.routing._views import Outcome, ServerView

__all__ = [
    "Choice",
    "OnDemandProbes",
    "GroupSplitter",
    "PoolTable",
    "GroupPools",
    "LoadReport",
    "Outcome",
    "Policy",
    "ProbeScheduler",
    "RequestCosts",
    "RequestFacts",
    "Requirement",
    "Router",
    "RuleTable",
    "Selector",
    "ServerTable",
    "ServerView",
    "build_report",
    "compile_pattern",
    "parse_report",
    "parse_selector",
    "policies",
]
