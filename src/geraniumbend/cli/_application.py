"""Application and registry of the command line."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import TYPE_CHECKING, Any

from geraniumbend import __version__
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from cyclopts import App

# Maps a full command name such as "member add" to the function that runs it.
commands: Registry[Callable[..., Any]] = Registry("command")

COMMAND_MODULES = (
    "_cluster",
    "_configuration",
    "_evacuations",
    "_monitoring",
    "_processes",
    "_review",
    "_secrets",
    "_settings",
)


def build_application() -> App:
    """Return the application with all registered commands.

    Returns
    -------
    cyclopts.App
        Application whose commands are the registered functions.
    """
    from cyclopts import App

    for module in COMMAND_MODULES:
        import_module(f"geraniumbend.cli.{module}")
    application = App(
        name="geraniumbend",
        version=__version__,
        help="Load balancer for servers whose load shifts in milliseconds.",
    )
    parents: dict[str, App] = {}
    for full_name in commands.names():
        parent_name, _, name = full_name.rpartition(" ")
        parent = application
        if parent_name:
            if parent_name not in parents:
                parents[parent_name] = App(name=parent_name)
                application.command(parents[parent_name])
            parent = parents[parent_name]
        parent.command(commands.get(full_name), name=name)
    return application
