"""Index of groups by the labels that they select."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.routing._selectors import Selector


class SelectorIndex:
    """Finds the groups whose selector may match a server's labels.

    A group is indexed by the values that its selector lists for one label. A server
    then has to be matched only against the groups that list one of its label values,
    and against groups whose selector lists no values.
    """

    def __init__(self) -> None:
        self._keys: dict[str, list[tuple[str, str]]] = {}
        self._groups: dict[tuple[str, str], dict[str, None]] = {}
        self._unindexed: dict[str, None] = {}

    def add(self, group: str, selector: Selector) -> None:
        """Add a group, or replace the selector of a group.

        Parameters
        ----------
        group : str
            Name of the group.
        selector : Selector
            Selector of the group.
        """
        self.remove(group)
        required = [item for item in selector.requirements if item.operator == "in"]
        if not required:
            self._unindexed[group] = None
            return
        narrowest = min(required, key=lambda item: len(item.values))
        keys = [(narrowest.label, value) for value in narrowest.values]
        self._keys[group] = keys
        for key in keys:
            self._groups.setdefault(key, {})[group] = None

    def remove(self, group: str) -> None:
        """Remove a group."""
        self._unindexed.pop(group, None)
        for key in self._keys.pop(group, ()):
            indexed = self._groups[key]
            indexed.pop(group, None)
            if not indexed:
                del self._groups[key]

    def find_candidates(self, labels: Mapping[str, str]) -> dict[str, None]:
        """Return the groups whose selector may match; all others do not."""
        candidates = dict(self._unindexed)
        for key in labels.items():
            candidates.update(self._groups.get(key, {}))
        return candidates
