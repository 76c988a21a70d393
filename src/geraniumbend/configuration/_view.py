"""Configuration that a process uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.model import Configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.timers import TimerService


class ConfigurationView:
    """Holds the configuration that this process uses.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    """

    def __init__(self, timers: TimerService) -> None:
        self.current = Configuration()
        self._timers = timers
        self._confirmed_at = timers.now()
        self._callbacks: list[Callable[[Configuration], None]] = []

    def age_s(self) -> float:
        """Return the seconds since a control host last confirmed the revision."""
        return self._timers.now() - self._confirmed_at

    def confirm(self) -> None:
        """Record that a control host with majority contact has no newer revision."""
        self._confirmed_at = self._timers.now()

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback for each newly installed configuration."""
        self._callbacks.append(callback)

    def install(self, configuration: Configuration) -> bool:
        """Replace the current configuration by a newer revision.

        Parameters
        ----------
        configuration : Configuration
            Configuration to install.

        Returns
        -------
        bool
            False if its revision is not newer; the current configuration is then kept.
        """
        if configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        for callback in self._callbacks:
            callback(configuration)
        return True
