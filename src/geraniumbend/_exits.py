"""Reports why a process ends, and exceptions that no caller handles."""

from __future__ import annotations

import errno
import faulthandler
import os
import signal
import sys
import threading
import traceback
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import GeraniumbendError
from geraniumbend.logs import close_logs, declare_event, log_event

if TYPE_CHECKING:
    import asyncio

TRACEBACK_VARIABLE = "GERANIUMBEND_TRACEBACK"
INTERRUPT_EXIT_CODE = 130
# Shells report a process that a signal ended as this number plus that of the signal.
SIGNAL_EXIT_CODE = 128
# Numbers of the system's errors that mean that a resource is used up.
EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EAGAIN)
# Signals that end a process by default and have no other use here.
ENDING_SIGNALS = (signal.SIGQUIT, signal.SIGXCPU, signal.SIGALRM, signal.SIGUSR2)

declare_event(
    907,
    "process_ended",
    "error",
    "The process ends because of an error or a signal; it names exit code, kind, cause "
    "and remedy.",
)
declare_event(
    908,
    "exception_not_handled",
    "error",
    "A task, thread or callback ended by an exception that nothing handles; the "
    "process goes on.",
)


class ProcessEnd(NamedTuple):
    """Why a process ends.

    Parameters
    ----------
    exit_code : int
        Exit code of the process.
    kind : str
        Name of the exception's class, or of the signal.
    message : str
        Cause, on one line.
    remedy : str
        What an operator can do about it.
    where : str, default=""
        Place in the code that raised an unexpected exception.
    """

    exit_code: int
    kind: str
    message: str
    remedy: str
    where: str = ""

    def __str__(self) -> str:
        """Return cause and remedy on one line."""
        place = f" at {self.where}" if self.where else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.message}{place}{remedy}"


def describe_end(error: BaseException) -> ProcessEnd:
    """Return exit code, cause and remedy of an exception that ends the process."""
    kind = type(error).__name__
    message = " ".join(str(error).split()) or kind
    if isinstance(error, GeraniumbendError):
        return ProcessEnd(error.exit_code, kind, error.message, error.remedy)
    if isinstance(error, KeyboardInterrupt):
        return ProcessEnd(INTERRUPT_EXIT_CODE, kind, "interrupted", "")
    where = _find_place(error)
    if _is_exhausted(error):
        remedy = "raise the limits that event 906 names, or the host's memory"
        return ProcessEnd(os.EX_OSERR, kind, message, remedy, where)
    if isinstance(error, OSError):
        remedy = "correct what the message names"
        return ProcessEnd(os.EX_OSERR, kind, message, remedy, where)
    remedy = f"report this line; {TRACEBACK_VARIABLE}=1 prints the traceback"
    return ProcessEnd(os.EX_SOFTWARE, kind, f"{kind}: {message}", remedy, where)


def report_end(error: BaseException) -> int:
    """Write why the process ends to the log and to standard error.

    Parameters
    ----------
    error : BaseException
        Exception that ends the process.

    Returns
    -------
    int
        Exit code.
    """
    end = describe_end(error)
    # Without memory or threads the log may fail as well.
    with suppress(MemoryError, RuntimeError):
        _log_end(end)
    with suppress(OSError, ValueError):
        _print_traceback(error)
        print(f"error: {end}", file=sys.stderr)
    return end.exit_code


def report_unhandled(loop: asyncio.AbstractEventLoop) -> None:
    """Log exceptions of tasks, threads and finalizers, and fatal signals.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the process.
    """
    loop.set_exception_handler(_handle_loop_exception)
    threading.excepthook = _handle_thread_exception
    sys.unraisablehook = _handle_unraisable
    # Standard error may be closed, or have no descriptor where tests replace it.
    with suppress(OSError, RuntimeError, ValueError):
        faulthandler.enable()
    for number in ENDING_SIGNALS:
        loop.add_signal_handler(number, _end_by_signal, number)


def name_task(task: Any) -> str:
    """Return the name of the coroutine that a task runs."""
    coroutine = getattr(task, "get_coro", lambda: None)()
    return getattr(coroutine, "__qualname__", "") or type(task).__name__


def _handle_loop_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    origin = next(
        (context[key] for key in ("task", "future", "handle") if key in context), None
    )
    report_exception(
        name_task(origin), context.get("exception"), context.get("message", "")
    )


def _handle_thread_exception(arguments: threading.ExceptHookArgs) -> None:
    name = "" if arguments.thread is None else arguments.thread.name
    report_exception(f"thread {name}", arguments.exc_value, "")


def _handle_unraisable(unraisable: Any) -> None:
    name = getattr(unraisable.object, "__qualname__", repr(unraisable.object))
    report_exception(name, unraisable.exc_value, unraisable.err_msg or "")


def report_exception(origin: str, error: BaseException | None, message: str) -> None:
    """Log an exception that nothing handles.

    Parameters
    ----------
    origin : str
        Task, thread or callback that raised it.
    error : BaseException or None
        The exception, if there is one.
    message : str
        What ended, one sentence.
    """
    if error is not None:
        _print_traceback(error)
    with suppress(MemoryError, RuntimeError):
        log_event(
            908,
            origin=origin,
            message=message,
            error=repr(error),
            where=_find_place(error),
        )


def _end_by_signal(number: int) -> None:
    name = signal.Signals(number).name
    remedy = "ask who sent it; SIGTERM ends the process gracefully"
    _log_end(ProcessEnd(SIGNAL_EXIT_CODE + number, name, f"{name} received", remedy))
    close_logs()
    signal.signal(number, signal.SIG_DFL)
    os.kill(os.getpid(), number)


def _log_end(end: ProcessEnd) -> None:
    log_event(907, **end._asdict())


def _print_traceback(error: BaseException) -> None:
    if os.environ.get(TRACEBACK_VARIABLE):
        traceback.print_exception(error)


def _find_place(error: BaseException | None) -> str:
    """Return file, line and function in which an exception was raised."""
    if error is None or error.__traceback__ is None:
        return ""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno} in {frame.name}"


def _is_exhausted(error: BaseException) -> bool:
    """Return whether memory, threads or descriptors are used up."""
    if isinstance(error, OSError):
        return error.errno in EXHAUSTED_ERRORS
    is_thread = isinstance(error, RuntimeError) and "start new thread" in str(error)
    return isinstance(error, MemoryError) or is_thread
