"""Listening for callers while a gateway starts."""

from __future__ import annotations

from geraniumbend.adapters._early_listener import EarlyListener

__all__ = ["EarlyListener"]
