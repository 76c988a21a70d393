"""Registries of implementations by name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from geraniumbend.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one extension point by name.

    Parameters
    ----------
    kind : str
        Noun for an entry in error messages, for example ``interface``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that stores an entry under a name.

        Parameters
        ----------
        name : str
            Unique name of the entry.

        Returns
        -------
        callable
            Decorator that returns its argument unchanged.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def store(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return store

    def get(self, name: str) -> T:
        """Return the entry with a name.

        Parameters
        ----------
        name : str
            Name given at registration.

        Returns
        -------
        object
            The entry.

        Raises
        ------
        SettingsError
            If no entry has the name.
        """
        if name in self._entries:
            return self._entries[name]
        from difflib import get_close_matches

        matches = get_close_matches(name, self._entries, n=1)
        remedy = (
            f"did you mean {matches[0]!r}" if matches else f"use one of {self.names()}"
        )
        raise SettingsError(f"unknown {self.kind} {name!r}", remedy)

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._entries)
