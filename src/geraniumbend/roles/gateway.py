"""The gateway role: routes callers' requests to backend servers."""

from __future__ import annotations

from geraniumbend.roles._gateway import Gateway

__all__ = ["Gateway"]
