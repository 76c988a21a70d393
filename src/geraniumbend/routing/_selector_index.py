from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.routing._selectors import Selector


class SelectorIndex:
    """Finds the groups whose selector may match a server's labels.

    A group is filed under the values of one label that its selector requires, so that
    a server is compared with the few groups that share a value with it, not with all.
    """

    def __init__(self) -> None:
        self._keys: dict[str, list[tuple[str, str]]] = {}
        self._groups: dict[tuple[str, str], dict[str, None]] = {}
        self._unfiled: dict[str, None] = {}

    def add(self, group: str, selector: Selector) -> None:
        """File a group; an earlier selector of the group is replaced.

        Parameters
        ----------
        group : str
            Name of the group.
        selector : Selector
            Its selector.
        """
        self.remove(group)
        required = [item for item in selector.requirements if item.operator == "in"]
        if not required:
            self._unfiled[group] = None
            return
        narrowest = min(required, key=lambda item: len(item.values))
        keys = [(narrowest.label, value) for value in narrowest.values]
        self._keys[group] = keys
        for key in keys:
            self._groups.setdefault(key, {})[group] = None

    def remove(self, group: str) -> None:
        """Forget a group."""
        self._unfiled.pop(group, None)
        for key in self._keys.pop(group, ()):
            filed = self._groups[key]
            filed.pop(group, None)
            if not filed:
                del self._groups[key]

    def find_candidates(self, labels: Mapping[str, str]) -> dict[str, None]:
        """Return the groups that may match labels; others certainly do not."""
        candidates = dict(self._unfiled)
        for key in labels.items():
            candidates.update(self._groups.get(key, {}))
        return candidates
