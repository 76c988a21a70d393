"""Timer service: the only source of time in geraniumbend."""

from __future__ import annotations

from geraniumbend._timers import LoopTimers, ManualTimers, Subscription, TimerService

__all__ = ["LoopTimers", "ManualTimers", "Subscription", "TimerService"]
