"""Handling of a caller's request, from its header fields to the last byte sent back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.proxying._dialect import Dialect, StandardDialect
    from geraniumbend.proxying._headers import (
        FORWARD_CALLER,
        FORWARD_REFUSED,
        FORWARD_TOKEN,
        HOP_BY_HOP,
        build_deadline_error,
        choose_request_id,
        parse_request_timeout,
    )
    from geraniumbend.proxying._peer_forwarder import (
        RETRIED_ELSEWHERE,
        ForwardPeer,
        ForwardSession,
        PeerForwarder,
        build_peer_server,
    )
    from geraniumbend.proxying._planned_stop import PlannedStop
    from geraniumbend.proxying._ports import (
        BodySource,
        CallerLostError,
        CallerRequest,
        LimitsPort,
        LinksPort,
        Upstream,
        UpstreamError,
        UpstreamRequest,
        UpstreamResponse,
    )
    from geraniumbend.proxying._proxy import Proxy
    from geraniumbend.proxying._proxy_parts import ProxyParts
    from geraniumbend.proxying._refusals import (
        describe_refusal,
        describe_status,
        list_refusal_lines,
    )
    from geraniumbend.proxying._server_signals import observe_signals
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_dialect": (
                "Dialect",
                "StandardDialect",
            ),
            "_headers": (
                "FORWARD_CALLER",
                "FORWARD_REFUSED",
                "FORWARD_TOKEN",
                "HOP_BY_HOP",
                "build_deadline_error",
                "choose_request_id",
                "parse_request_timeout",
            ),
            "_peer_forwarder": (
                "RETRIED_ELSEWHERE",
                "ForwardPeer",
                "ForwardSession",
                "PeerForwarder",
                "build_peer_server",
            ),
            "_planned_stop": ("PlannedStop",),
            "_ports": (
                "BodySource",
                "CallerLostError",
                "CallerRequest",
                "LimitsPort",
                "LinksPort",
                "Upstream",
                "UpstreamError",
                "UpstreamRequest",
                "UpstreamResponse",
            ),
            "_proxy": ("Proxy",),
            "_proxy_parts": ("ProxyParts",),
            "_refusals": (
                "describe_refusal",
                "describe_status",
                "list_refusal_lines",
            ),
            "_server_signals": ("observe_signals",),
        },
    )

__all__ = [
    "UpstreamResponse",
    "BodySource",
    "CallerLostError",
    "CallerRequest",
    "Dialect",
    "FORWARD_CALLER",
    "FORWARD_REFUSED",
    "FORWARD_TOKEN",
    "ForwardPeer",
    "ForwardSession",
    "HOP_BY_HOP",
    "LimitsPort",
    "LinksPort",
    "PeerForwarder",
    "PlannedStop",
    "Proxy",
    "ProxyParts",
    "RETRIED_ELSEWHERE",
    "StandardDialect",
    "Upstream",
    "UpstreamError",
    "UpstreamRequest",
    "choose_request_id",
    "describe_refusal",
    "describe_status",
    "list_refusal_lines",
    "observe_signals",
    "parse_request_timeout",
    "build_deadline_error",
    "build_peer_server",
]
