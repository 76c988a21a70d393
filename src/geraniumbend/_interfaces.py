"""Registry of the protocols towards callers, servers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend._extensions import load_extensions
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.adapters.caller_guard import CallerGuard
    from geraniumbend.configuration import ConfigurationService
    from geraniumbend.membership import AnnouncementService
    from geraniumbend.model import Configuration
    from geraniumbend.proxying import Dialect
    from geraniumbend.settings import ListenSettings


class Listener(Protocol):
    """Server that listens on one address."""

    async def start(self) -> None:
        """Open the listener."""
        ...

    async def stop(self) -> None:
        """Close the listener and its connections."""
        ...


class ControlServices(NamedTuple):
    """Services of a control host for its listener to backend servers and operators.

    Parameters
    ----------
    configuration : ConfigurationService
        Replicated configuration.
    announcements : AnnouncementService
        Accepts the announcements of backend servers.
    lease_s : float
        Lease of servers that announce themselves without one, in seconds.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    """

    configuration: ConfigurationService
    announcements: AnnouncementService
    lease_s: float
    guard: CallerGuard | None = None


class Interface(NamedTuple):
    """Protocols between a cluster and its callers, backend servers and operators.

    Parameters
    ----------
    create_dialect : callable
        Creates the dialect: header fields exchanged with callers and backend servers.
    create_control_listener : callable or None, default=None
        Creates the listener of control hosts; the operators' API if None.
    """

    create_dialect: Callable[[], Dialect]
    create_control_listener: (
        Callable[[ListenSettings, ControlServices], Listener] | None
    ) = None


interfaces: Registry[Interface] = Registry("interface")
# Readers of configuration files other than TOML, by suffix of the file's name. They
# raise ProtocolError or ConfigurationError.
configuration_formats: Registry[Callable[[bytes], Configuration]] = Registry(
    "configuration format"
)


def find_interface(name: str) -> Interface:
    """Return the interface with a name.

    Raises
    ------
    SettingsError
        If there is no such interface.
    """
    if name not in interfaces.names():
        load_extensions()
    return interfaces.get(name)
