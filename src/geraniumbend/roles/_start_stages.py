"""Stages of the start of a process, and what the process waits for until it serves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend._process_resources import read_usage
from geraniumbend._wait_reports import WaitReports
from geraniumbend.logs import declare_event, log_event
from geraniumbend.timers import PROCESS_START_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.timers import Subscription, TimerService

# Period of the checks which stages are reached, in seconds.
CHECK_PERIOD_S = 0.05

declare_event(
    930,
    "start_stage_reached",
    "info",
    "A stage of the start is complete; since_start_s counts from the load of the "
    "program, took_s from the stage before.",
)
declare_event(
    931,
    "start_stage_waits",
    "warning",
    "A stage of the start lasts; waits_for names what is missing, and why.",
)


class _Stage:
    def __init__(
        self,
        is_reached: Callable[[], bool] | None,
        describe_wait: Callable[[], Any] | None,
    ) -> None:
        self.is_reached = is_reached
        self.describe_wait = describe_wait
        self.reached_s: float | None = None


class StartStages:
    """Stages of a start, in order; logs each when it is reached and waits that last.

    Parameters
    ----------
    role : str
        Role of the process.
    timers : TimerService
        Clock.
    """

    def __init__(self, role: str, timers: TimerService) -> None:
        self._role = role
        self._timers = timers
        self._stages: dict[str, _Stage] = {}
        self._reports = WaitReports(PROCESS_START_S)
        self._last_s = 0.0
        self._checks: Subscription | None = None

    def add(
        self,
        name: str,
        is_reached: Callable[[], bool] | None = None,
        describe_wait: Callable[[], Any] | None = None,
    ) -> None:
        """Add a stage after the others.

        Parameters
        ----------
        name : str
            Name of the stage in snake case.
        is_reached : callable or None, default=None
            Tells whether the stage is complete; None if `reach` is called.
        describe_wait : callable or None, default=None
            Returns what the stage waits for, as a value that JSON can hold.
        """
        self._stages[name] = _Stage(is_reached, describe_wait)

    def start(self) -> None:
        """Begin to check the stages, until all are reached."""
        self._checks = self._timers.every(CHECK_PERIOD_S, self.check)

    def stop(self) -> None:
        """Check no longer."""
        if self._checks is not None:
            self._checks.cancel()
            self._checks = None

    def reach(self, name: str, **details: object) -> None:
        """Log that a stage is complete; repeated calls do nothing.

        Parameters
        ----------
        name : str
            Name of the stage.
        **details : object
            Further fields of the log line.
        """
        stage = self._stages[name]
        if stage.reached_s is not None:
            return
        now = self._timers.now()
        stage.reached_s = round(now - PROCESS_START_S, 3)
        took_s = round(stage.reached_s - self._last_s, 3)
        self._last_s = stage.reached_s
        self._reports.restart(now)
        usage = read_usage() if self.is_complete() else {}
        log_event(
            930,
            role=self._role,
            stage=name,
            since_start_s=stage.reached_s,
            took_s=took_s,
            **details,
            **usage,
        )

    def is_complete(self) -> bool:
        """Return whether all stages are reached."""
        return not self._list_missing()

    def check(self) -> None:
        """Log the stages that are complete now, or a wait that lasts."""
        for name in self._list_missing():
            is_reached = self._stages[name].is_reached
            if is_reached is not None and is_reached():
                self.reach(name)
        missing = self._list_missing()
        if not missing:
            self.stop()
            return
        now = self._timers.now()
        if self._reports.is_due(now):
            log_event(
                931,
                role=self._role,
                stage=missing[0],
                waited_s=round(self._reports.waited_s(now), 3),
                waits_for=self._describe(missing[0]),
                not_reached=missing,
            )

    def dump(self) -> dict[str, Any]:
        """Return the times of the stages, and what the missing ones wait for."""
        reached = {
            name: stage.reached_s
            for name, stage in self._stages.items()
            if stage.reached_s is not None
        }
        missing = self._list_missing()
        return {
            "reached_s": reached,
            "waits_for": {name: self._describe(name) for name in missing},
            "usage": read_usage(),
        }

    def _describe(self, name: str) -> Any:
        describe_wait = self._stages[name].describe_wait
        return None if describe_wait is None else describe_wait()

    def _list_missing(self) -> list[str]:
        return [n for n, stage in self._stages.items() if stage.reached_s is None]
