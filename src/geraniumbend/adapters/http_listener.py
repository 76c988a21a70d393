"""Listener for callers over HTTP/1.1."""

from __future__ import annotations

from geraniumbend.adapters._caller_request import HttpCallerRequest
from geraniumbend.adapters._http_listener import HttpListener, Limits

__all__ = ["HttpCallerRequest", "HttpListener", "Limits"]
