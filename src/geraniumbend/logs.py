"""Numbered log events as JSON lines."""

from __future__ import annotations

from geraniumbend._logs import (
    Event,
    close_logs,
    configure_logs,
    declare_event,
    declared_events,
    log_event,
)

__all__ = [
    "Event",
    "close_logs",
    "configure_logs",
    "declare_event",
    "declared_events",
    "log_event",
]
