"""Modules of libraries whose code runs only when it is used."""

from __future__ import annotations

import sys
from importlib.util import module_from_spec
from types import ModuleType
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.machinery import ModuleSpec


class DeferredModule(ModuleType):
    """Module or package whose code runs when a name that it defines is asked for."""

    def __getattr__(self, name: str) -> Any:
        spec = self.__spec__
        if spec is None or spec.loader is None:
            raise AttributeError(f"module {self.__name__!r} has no attribute {name!r}")
        self.__class__ = ModuleType  # type: ignore[assignment]
        spec.loader.exec_module(self)
        return getattr(self, name)


def defer_module(name: str) -> None:
    """Let a module be imported without its code, or those of a package without its own.

    The code runs when a name that it defines is asked for, so that other users of the
    module notice no difference. Neither is the code of its parent package run.

    Parameters
    ----------
    name : str
        Full name; does nothing if it is imported already, or missing.
    """
    spec = None if name in sys.modules else _find_spec(name)
    if spec is None:
        return
    module = module_from_spec(spec)
    module.__class__ = DeferredModule
    sys.modules[name] = module
    parent, _, child = name.rpartition(".")
    if parent in sys.modules:
        setattr(sys.modules[parent], child, module)


def _find_spec(name: str) -> ModuleSpec | None:
    # importlib.util.find_spec would import the parent package.
    path: Sequence[str] | None = None
    parent, _, _ = name.rpartition(".")
    if parent:
        spec = _find_spec(parent)
        if spec is None:
            return None
        path = spec.submodule_search_locations
    found = (finder.find_spec(name, path) for finder in sys.meta_path)
    return next((spec for spec in found if spec is not None), None)
