"""Decides which connections of callers are read, with which window, or closed."""

from __future__ import annotations

from geraniumbend.caller_limits._account import (
    AccountLimits,
    CallerAccount,
    Closing,
    Holding,
)
from geraniumbend.caller_limits._limits import choose_limits
from geraniumbend.caller_limits._receive_windows import (
    ReceiveWindows,
    WindowSizes,
    choose_windows,
)

__all__ = [
    "AccountLimits",
    "CallerAccount",
    "Closing",
    "Holding",
    "ReceiveWindows",
    "WindowSizes",
    "choose_limits",
    "choose_windows",
]
