"""The native interface, and the choice of the interface of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.interfaces import Interface, find_interface, interfaces

if TYPE_CHECKING:
    from geraniumbend.proxying import Dialect
    from geraniumbend.settings import Settings


def _create_dialect() -> Dialect:
    # Control hosts do not import the dialect.
    from geraniumbend.proxying import StandardDialect

    return StandardDialect()


interfaces.register("native")(Interface(_create_dialect))


def choose_interface(settings: Settings) -> Interface:
    """Return the interface that the settings of a process name.

    Raises
    ------
    SettingsError
        If there is no such interface.
    """
    return find_interface(settings.node.interface)
