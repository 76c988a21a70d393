from __future__ import annotations

import logging
import sys
from typing import NamedTuple

LOGGER = logging.getLogger("geraniumbend")
LOGGER.addHandler(logging.NullHandler())
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Event(NamedTuple):
    """A kind of log line.

    Parameters
    ----------
    number : int
        Unique number; the hundreds name the subsystem.
    name : str
        Unique name in snake case.
    level : str
        One of ``debug``, ``info``, ``warning``, ``error``.
    description : str
        What happened and what an operator does about it.
    """

    number: int
    name: str
    level: str
    description: str


_EVENTS: dict[int, Event] = {}


def declare_event(number: int, name: str, level: str, description: str) -> Event:
    """Declare a kind of log line.

    Parameters
    ----------
    number : int
        Unique number.
    name : str
        Unique name in snake case.
    level : {"debug", "info", "warning", "error"}
        Severity.
    description : str
        Text of the catalogue.

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
            raise ValueError(f"event {number} {name} clashes with {event}")
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


def configure_logs(node: str, level: str = "info") -> None:
    """Send log lines as JSON to standard error.

    Parameters
    ----------
    node : str
        Name of this process, put into every line.
    level : {"debug", "info", "warning", "error"}, default="info"
        Least severity that is written.
    """
    from pythonjsonlogger.json import JsonFormatter

    class _Formatter(JsonFormatter):
        def add_fields(
            self,
            log_data: dict[str, object],
            record: logging.LogRecord,
            message_dict: dict[str, object],
        ) -> None:
            log_data["time"] = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
            log_data["level"] = record.levelname.lower()
            log_data["node"] = node
            log_data["event"] = getattr(record, "event", 0)
            log_data["name"] = record.getMessage()
            log_data.update(getattr(record, "fields", {}))

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_Formatter())
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(LEVELS[level])
