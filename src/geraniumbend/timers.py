"""Timer service: the only clock and scheduler of geraniumbend."""

from __future__ import annotations

from geraniumbend._timers import (
    PROCESS_START_S,
    LoopTimers,
    ManualTimers,
    Subscription,
    TimerService,
)

__all__ = [
    "PROCESS_START_S",
    "LoopTimers",
    "ManualTimers",
    "Subscription",
    "TimerService",
]
