"""Commands that run a role until a signal stops it."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from geraniumbend._process_resources import (
    describe_build,
    read_limits,
    read_usage,
)
from geraniumbend.adapters.early_listener import EarlyListener
from geraniumbend.certificates import skip_system_certificates
from geraniumbend.cli._application import commands
from geraniumbend.cli._settings_files import load_settings_file
from geraniumbend.errors import GeraniumbendError
from geraniumbend.exits import report_unhandled
from geraniumbend.logs import configure_logs, declare_event, log_event
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# New objects after which the youngest generation is collected. A collection stops the
# event loop while it examines them; 50,000 objects took 44 to 78 ms.
COLLECTION_THRESHOLD = 1_000
# Collections of one generation before the next older one is collected. A high number
# makes full collections rare, which examine all objects.
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 100
# Poll period for changes of the settings file that come without a signal, in seconds.
SETTINGS_POLL_S = 2.0
SETTINGS_VARIABLE = "GERANIUMBEND_CONFIG"
DEFAULT_SETTINGS = Path(
    os.environ.get(SETTINGS_VARIABLE, "/etc/geraniumbend/settings.toml")
)

# Commands that run until a signal stops them.
processes: Registry[Callable[[Path], int]] = Registry("process command")

declare_event(900, "process_started", "info", "The process serves its listeners.")
declare_event(901, "process_stopping", "info", "A signal asked the process to stop.")
declare_event(902, "process_stopped", "info", "The process has shut down gracefully.")
declare_event(904, "settings_read_again", "info", "The settings file has changed.")
declare_event(
    905,
    "settings_not_read",
    "error",
    "The changed settings file cannot be used; the process keeps its settings.",
)
declare_event(
    906,
    "process_starts",
    "info",
    "The process has read its settings; it names the build, its limits and what it "
    "uses of them.",
)
declare_event(903, "process_state", "info", "State dump, asked for by SIGUSR1.")


@commands.register("gateway")
@processes.register("gateway")
def run_gateway(settings: Path = DEFAULT_SETTINGS) -> int:
    """Run the gateway role.

    Parameters
    ----------
    settings : Path
        TOML file with the settings.

    Returns
    -------
    int
        Exit code.
    """
    loaded = load_settings_file(settings)
    # Before the imports, which take half a second on a small host.
    early_listener = EarlyListener.from_config(loaded.gateway)
    with skip_system_certificates():
        from geraniumbend.roles.gateway import Gateway

    def build(settings: Settings) -> Gateway:
        return Gateway.from_config(settings, early_listener)

    return _run_role(build, settings, loaded, "gateway")


@commands.register("control")
@processes.register("control")
def run_control(settings: Path = DEFAULT_SETTINGS) -> int:
    """Run the control role.

    Parameters
    ----------
    settings : Path
        TOML file with the settings.

    Returns
    -------
    int
        Exit code.
    """
    with skip_system_certificates():
        from geraniumbend.roles.control import Control

    loaded = load_settings_file(settings)
    return _run_role(Control.from_config, settings, loaded, "control")


class SettingsWatcher:
    """Reloads the settings file on a signal or when its modification time changes.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : Settings
        Settings in use.
    apply : callable
        Applies new settings; it ignores settings that cannot change at run time.
    """

    def __init__(
        self, path: Path, settings: Settings, apply: Callable[[Settings], None]
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._modified_ns = self._read_modified_ns()

    def start(self, timers: TimerService) -> None:
        """Start polling the file for changes."""
        timers.every(SETTINGS_POLL_S, self._check_modified, 0.2)

    def reload(self) -> None:
        """Load the file and apply it; an invalid file leaves the settings unchanged."""
        try:
            settings = load_settings_file(self._path)
        except GeraniumbendError as error:
            log_event(905, path=str(self._path), error=str(error))
            return
        changed = settings != self._settings
        log_event(904, path=str(self._path), changed=changed)
        if changed:
            self._settings = settings
            self._apply(settings)

    def _check_modified(self) -> None:
        modified_ns = self._read_modified_ns()
        if modified_ns != self._modified_ns:
            self._modified_ns = modified_ns
            self.reload()

    def _read_modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0


def _run_role(
    build: Callable[[Settings], Any], path: Path, settings: Settings, role: str
) -> int:
    import uvloop

    configure_logs(settings.node.name, settings.node.log_level)
    log_event(
        906,
        role=role,
        pid=os.getpid(),
        **describe_build(),
        limits=read_limits(),
        usage=read_usage(),
    )

    async def serve() -> None:
        stopping = asyncio.Event()
        received: list[str] = []

        def begin_stop(number: int) -> None:
            received.append(signal.Signals(number).name)
            stopping.set()

        loop = asyncio.get_running_loop()
        report_unhandled(loop)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, begin_stop, signal_number)
        process = build(settings)
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: log_event(903, role=role, state=process.dump())
        )
        watcher = SettingsWatcher(path, settings, process.update_settings)
        loop.add_signal_handler(signal.SIGHUP, watcher.reload)
        watcher.start(process.timers)
        if await _start_unless_stopped(process, stopping):
            _freeze_objects()
            log_event(900, role=role)
            await _wait_for_first(stopping.wait(), process.wait_failed())
        log_event(901, role=role, signal=received[0])
        await process.stop()
        # The loop restores the default actions when it closes, and that of SIGHUP would
        # end the process with another exit code.
        for signal_number in (signal.SIGHUP, signal.SIGUSR1):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)
        log_event(902, role=role, exit_code=0)

    uvloop.run(serve())
    return 0


def _freeze_objects() -> None:
    # Without a collection before it, which would delay the first responses.
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
    gc.enable()


async def _start_unless_stopped(process: Any, stopping: asyncio.Event) -> bool:
    """Start a process; return False if a signal asks to stop before it has started."""
    await _wait_for_first(process.start(), stopping.wait(), process.wait_failed())
    return not stopping.is_set()


async def _wait_for_first(*awaitables: Coroutine[Any, Any, Any]) -> None:
    """Wait until one of several coroutines ends, and cancel the others.

    The exception of one that failed is raised.
    """
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()
