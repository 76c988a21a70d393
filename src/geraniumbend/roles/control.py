"""The control role: replicated configuration, order logs and the operators' API."""

from __future__ import annotations

from geraniumbend.roles._control import Control

__all__ = ["Control"]
