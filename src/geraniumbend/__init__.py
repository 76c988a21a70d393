"""Load balancer for servers whose load shifts in milliseconds."""

from __future__ import annotations

__version__ = "0.1.0"
