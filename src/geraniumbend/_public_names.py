"""Public names of packages whose modules are imported only where they are used."""

from __future__ import annotations

import sys
from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence


def import_on_use(
    package: str, modules: Mapping[str, Sequence[str]]
) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package that both roles use in part.

    ``from package import Name`` then imports the module of this name, and not those of
    all other names.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping of str to sequence of str
        Public names by the module of the package that defines them.

    Returns
    -------
    callable
        Imports a public name and keeps it in the package; raises AttributeError for
        other names.
    """
    origins = {name: module for module, names in modules.items() for name in names}

    def load(name: str) -> Any:
        if name not in origins:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{origins[name]}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load


def import_on_call(module: str, name: str) -> Callable[..., Any]:
    """Return a function that imports a module and calls something that it defines.

    Parameters
    ----------
    module : str
        Full name of the module.
    name : str
        Class or function of the module.

    Returns
    -------
    callable
        Passes its arguments on and returns the result.
    """

    def call(*arguments: Any) -> Any:
        return getattr(import_module(module), name)(*arguments)

    return call
