"""Configuration that a process uses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from geraniumbend.model import Configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.timers import TimerService

# A poll ends within 1.3 s, so an older confirmation shows that the process was paused.
# Together with the next poll it stays below 2 s, within which a removed key is refused.
MAX_AGE_S = 1.5
# Longest wait for the first poll after a pause, in seconds; without an answer by then
# the control hosts are taken to be unreachable.
MAX_REFRESH_WAIT_S = 1.0
REFRESH_POLL_S = 0.01


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
        self._unreachable_until = -math.inf
        self._callbacks: list[Callable[[Configuration], None]] = []

    def age_s(self) -> float:
        """Return the seconds since a control host last confirmed the revision."""
        return self._timers.now() - self._confirmed_at

    def confirm(self) -> None:
        """Record that a control host with majority contact has no newer revision."""
        self._confirmed_at = self._timers.now()
        self._unreachable_until = -math.inf

    def record_failure(self, retry_in_s: float = 0.0) -> None:
        """Record that a control host did not answer; the revision stays in use.

        Parameters
        ----------
        retry_in_s : float, default=0.0
            Time until the next poll. If that has not ended long after either, the
            process was paused.
        """
        self._unreachable_until = self._timers.now() + retry_in_s + MAX_AGE_S

    def is_stale(self) -> bool:
        """Tell whether the process was paused and has not asked for changes since.

        A process that has asked and got no answer is cut off and goes on with the
        revision that it has.
        """
        is_unreachable = self._timers.now() <= self._unreachable_until
        return not is_unreachable and self.age_s() > MAX_AGE_S

    async def wait_refreshed(self) -> None:
        """Wait for the first poll after a pause of the process, if there was one."""
        end_s = self._timers.now() + MAX_REFRESH_WAIT_S
        while self.is_stale():
            if self._timers.now() >= end_s:
                self.record_failure()
                return
            await self._timers.sleep(REFRESH_POLL_S)

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
