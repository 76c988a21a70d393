"""Listener for backend servers' announcements, health, state and metrics."""

from __future__ import annotations

from geraniumbend.adapters._announce_listener import AnnounceListener, AnnounceSource

__all__ = ["AnnounceListener", "AnnounceSource"]
