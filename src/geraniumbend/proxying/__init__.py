"""Handling of one request from start to end."""

from __future__ import annotations

from geraniumbend.proxying._headers import parse_request_timeout
from geraniumbend.proxying._ports import (
    Answer,
    BodySource,
    CallerLostError,
    CallerRequest,
    Upstream,
    UpstreamError,
    UpstreamRequest,
)
from geraniumbend.proxying._proxy import Proxy, ProxyParts
from geraniumbend.proxying._refusals import (
    describe_refusal,
    describe_status,
    list_refusal_lines,
)

__all__ = [
    "Answer",
    "BodySource",
    "CallerLostError",
    "CallerRequest",
    "Proxy",
    "ProxyParts",
    "Upstream",
    "UpstreamError",
    "UpstreamRequest",
    "describe_refusal",
    "describe_status",
    "list_refusal_lines",
    "parse_request_timeout",
]
