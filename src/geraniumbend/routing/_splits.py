"""Distribution of requests over groups by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.model import Rule


class GroupSplitter:
    """Distributes the requests of rules over several groups by weight.

    Uses smooth weighted round robin, which keeps the shares exact over a few requests;
    a random choice comes close to them only over hundreds.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[Rule, dict[str, float]]] = {}

    def choose(self, rule: Rule) -> str:
        """Return the group that the next request of a rule goes to."""
        if not rule.split:
            return rule.group
        state = self._credits.get(rule.name)
        if state is None or state[0].split != rule.split:
            state = (rule, dict.fromkeys((part.group for part in rule.split), 0.0))
            self._credits[rule.name] = state
        credits = state[1]
        for part in rule.split:
            credits[part.group] += part.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in rule.split)
        return chosen
