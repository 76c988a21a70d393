"""Requests to backend servers over HTTP/1.1."""

from __future__ import annotations

from geraniumbend.adapters._connection_pool import ConnectionPool
from geraniumbend.adapters._http_upstream import HttpUpstream
from geraniumbend.adapters._load_probe import LoadProbe

__all__ = ["HttpUpstream", "LoadProbe", "ConnectionPool"]
