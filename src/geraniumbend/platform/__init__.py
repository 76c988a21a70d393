"""Adapter for the users' platform: translates its protocol, settings and terms."""

from __future__ import annotations

from geraniumbend._public_names import import_on_call, import_on_use
from geraniumbend.interfaces import Interface, configuration_formats, interfaces
from geraniumbend.platform._settings import INTERFACE, read_settings

__all__ = ["PlatformDialect", "read_settings"]

# Each role imports only the modules that it runs.
__getattr__ = import_on_use(__name__, {"_dialect": ("PlatformDialect",)})

_create_dialect = import_on_call(f"{__name__}._dialect", "PlatformDialect")
_create_listener = import_on_call(f"{__name__}._listener", "ControlListener")
interfaces.register(INTERFACE)(Interface(_create_dialect, _create_listener))
configuration_formats.register(".json")(
    import_on_call(f"{__name__}._configuration", "read_configuration")
)
