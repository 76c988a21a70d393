"""Runs the command line and maps errors to exit codes."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from geraniumbend import timers  # noqa: F401  (records the start time)
from geraniumbend._deferred_modules import defer_module
from geraniumbend._descriptors import open_standard_descriptors
from geraniumbend.exits import report_end
from geraniumbend.logs import close_logs
from geraniumbend.memory import limit_address_space

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

USAGE_EXIT_CODE = 2
# Commands that run without the command line library, which would add to the resident
# memory of every host.
PROCESS_COMMANDS = ("control", "gateway")

# Modules that the libraries import and that neither role uses; with tables or regular
# expressions they take a twentieth of the time of all imports.
UNUSED_MODULES = ("attr.validators", "bz2", "lzma", "msgspec.inspect")


def run(arguments: Sequence[str]) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Arguments without the program's name.

    Returns
    -------
    int
        Exit code: 0 on success, 2 on wrong usage, else that of the error class.
    """
    if _is_process_command(arguments):
        return _report_errors(lambda: _run_process(*arguments))
    return _report_errors(lambda: _run_command(arguments))


def _is_process_command(arguments: Sequence[str]) -> bool:
    return (
        len(arguments) in (1, 2)
        and arguments[0] in PROCESS_COMMANDS
        and not any(argument.startswith("-") for argument in arguments)
    )


def _run_process(name: str, *paths: str) -> int:
    # Until the libraries are loaded, SIGTERM exits at once because nothing needs a
    # shutdown, and SIGHUP is ignored because the settings have not been read yet.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    open_standard_descriptors()
    limit_address_space()
    # Collections take a fifth of the time that the imports need, and find nothing.
    gc.disable()
    for module in UNUSED_MODULES:
        defer_module(module)
    from geraniumbend.cli import processes

    return processes.get(name)(*(Path(path) for path in paths))


def _run_command(arguments: Sequence[str]) -> int:
    from cyclopts import CycloptsError

    from geraniumbend.cli import build_application

    application = build_application()
    try:
        result = application(
            list(arguments), exit_on_error=False, result_action="return_value"
        )
    except CycloptsError:
        return USAGE_EXIT_CODE
    return result if isinstance(result, int) else 0


def _report_errors(call: Callable[[], int]) -> int:
    try:
        return call()
    except (Exception, KeyboardInterrupt) as error:
        return report_end(error)
    finally:
        close_logs()
