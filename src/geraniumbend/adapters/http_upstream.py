"""Requests to backend servers over HTTP/1.1."""

from __future__ import annotations

from geraniumbend.adapters._http_probes import LoadProbe
from geraniumbend.adapters._http_upstream import HttpUpstream
from geraniumbend.adapters._server_pool import ServerPool

__all__ = ["HttpUpstream", "LoadProbe", "ServerPool"]
