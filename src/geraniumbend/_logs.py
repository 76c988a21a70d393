"""Numbered log events and their output as JSON lines."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable

LOGGER = logging.getLogger("geraniumbend")
LOGGER.addHandler(logging.NullHandler())
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

# Lines queued for a slow reader; at about 300 bytes each they take 1.5 MB.
MAX_QUEUED_LINES = 5_000
BATCH_PERIOD_S = 0.05
CLOSE_TIMEOUT_S = 1.0


class Event(NamedTuple):
    """Declaration of a log event.

    Parameters
    ----------
    number : int
        Unique number; the hundreds digit stands for the subsystem.
    name : str
        Unique name in snake case.
    level : str
        One of ``debug``, ``info``, ``warning``, ``error``.
    description : str
        What happened and what an operator can do about it.
    """

    number: int
    name: str
    level: str
    description: str


_EVENTS: dict[int, Event] = {}


def declare_event(number: int, name: str, level: str, description: str) -> Event:
    """Declare a log event.

    Parameters
    ----------
    number : int
        Unique number.
    name : str
        Unique name in snake case.
    level : {"debug", "info", "warning", "error"}
        Severity.
    description : str
        Description in the catalogue of log events.

    Returns
    -------
    Event
        The declared event.

    Raises
    ------
    ValueError
        If the number or the name is taken or the level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"unknown level {level!r} of event {number}")
    for event in _EVENTS.values():
        if event.number == number or event.name == name:
            raise ValueError(f"event {number} {name} has the number or name of {event}")
    event = Event(number, name, level, description)
    _EVENTS[number] = event
    return event


def declared_events() -> list[Event]:
    """Return all declared events in order of their numbers."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def log_event(number: int, **fields: object) -> None:
    """Write one log line of a declared event.

    Parameters
    ----------
    number : int
        Number given to `declare_event`.
    **fields : object
        Fields of the JSON line.

    Raises
    ------
    KeyError
        If the number is not declared.
    """
    event = _EVENTS[number]
    level = LEVELS[event.level]
    if LOGGER.isEnabledFor(level):
        extra = {"event": event.number, "fields": fields}
        LOGGER.log(level, event.name, extra=extra)


class LineWriter:
    """Writes lines from a bounded queue in a thread, so that callers never block.

    Lines are dropped and counted while the queue is full; the count is reported with
    the next batch.

    Parameters
    ----------
    stream : TextIO
        Stream that the lines are written to.
    limit : int, default=5000
        Longest queue, in lines.
    on_dropped : callable or None, default=None
        Called with the number of lines that were dropped, in the writer's thread.
    """

    def __init__(
        self,
        stream: TextIO,
        limit: int = MAX_QUEUED_LINES,
        on_dropped: Callable[[int], None] | None = None,
    ) -> None:
        self.dropped = 0
        self._on_dropped = on_dropped
        self._stream = stream
        self._limit = limit
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line without its line break."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._wake.set()

    def close(self) -> None:
        """Write the queued lines and end the thread; waits at most 1 s."""
        self._closed = True
        self._wake.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not self._closed:
            self._wake.wait()
            self._wake.clear()
            # Lines queued within a short time are written as one batch.
            time.sleep(0 if self._closed else BATCH_PERIOD_S)
            self._write_batch()
        self._write_batch()

    def _write_batch(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped, self.dropped = self.dropped, 0
        if dropped and self._on_dropped is not None:
            self._on_dropped(dropped)
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (BrokenPipeError, ValueError):
            # The reader has closed the stream; the process goes on without a log.
            self._limit = 0
        except OSError:
            # The file system behind the stream may take lines again later.
            self.dropped += len(lines)


class _QueueingHandler(logging.Handler):
    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        self.writer.write(self.format(record))

    def close(self) -> None:
        self.writer.close()
        super().close()


declare_event(
    101,
    "log_lines_dropped",
    "warning",
    "Lines were dropped because the reader is slow.",
)


def configure_logs(node: str, level: str = "info") -> None:
    """Send log lines as JSON to standard output.

    Parameters
    ----------
    node : str
        Name of this process, put into every line.
    level : {"debug", "info", "warning", "error"}, default="info"
        Lowest severity that is written.
    """
    from pythonjsonlogger.json import JsonFormatter

    class _Formatter(JsonFormatter):
        def add_fields(
            self,
            log_data: dict[str, object],
            record: logging.LogRecord,
            message_dict: dict[str, object],
        ) -> None:
            timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
            log_data["time"] = f"{timestamp}.{int(record.msecs):03d}"
            log_data["level"] = record.levelname.lower()
            log_data["node"] = node
            log_data["event"] = getattr(record, "event", 0)
            log_data["name"] = record.getMessage()
            log_data.update(getattr(record, "fields", {}))

    writer = LineWriter(
        sys.stdout, on_dropped=lambda dropped: log_event(101, lines=dropped)
    )
    handler = _QueueingHandler(writer)
    handler.setFormatter(_Formatter())
    for earlier in LOGGER.handlers:
        earlier.close()
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(LEVELS[level])


def close_logs() -> None:
    """Write all queued lines; later ones are not written."""
    for handler in LOGGER.handlers:
        handler.close()
    LOGGER.handlers = [logging.NullHandler()]
