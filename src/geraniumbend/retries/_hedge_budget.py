"""Budget of the extra work that hedges cause."""

from __future__ import annotations

from collections import Counter
from typing import Any

# Hedges that a group may have saved up, so that a burst of slow responses after an idle
# time can be hedged.
MAX_SAVED_HEDGES = 5.0


class _Account:
    """What a group has earned: hedges, and seconds of server time."""

    __slots__ = ("hedges", "seconds")

    def __init__(self, service_s: float) -> None:
        # One hedge at the start: a gateway with few requests would wait long for it.
        self.hedges = 1.0
        self.seconds = service_s


class HedgeBudget:
    """Bounds hedges by a share of the requests and of their server time.

    Each idempotent request that is sent earns a share of a hedge and of its service
    time; each hedge spends one hedge and its service time. Every gateway keeps the
    share for itself, so that it holds for all of them together.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self.totals: Counter[str] = Counter()

    def record_request(self, group: str, service_s: float, ratio: float) -> None:
        """Earn the share of one request.

        Parameters
        ----------
        group : str
            Group of the request.
        service_s : float
            Mean service time of its class, in seconds.
        ratio : float
            Extra work allowed, as a share of requests and of server time.
        """
        account = self._find(group, service_s)
        account.hedges = min(MAX_SAVED_HEDGES, account.hedges + ratio)
        highest_s = max(MAX_SAVED_HEDGES * service_s, account.seconds)
        account.seconds = min(highest_s, account.seconds + ratio * service_s)

    def allows(self, group: str, service_s: float) -> bool:
        """Tell whether a hedge may be sent, without spending the budget."""
        account = self._find(group, service_s)
        return account.hedges >= 1.0 and account.seconds >= service_s

    def spend(self, group: str, service_s: float) -> None:
        """Spend one hedge and its service time."""
        account = self._find(group, service_s)
        account.hedges -= 1.0
        account.seconds = max(0.0, account.seconds - service_s)

    def refund(self, group: str, service_s: float) -> None:
        """Give back what `spend` took for a hedge that was not sent."""
        account = self._find(group, service_s)
        account.hedges = min(MAX_SAVED_HEDGES, account.hedges + 1.0)
        account.seconds += service_s

    def count(self, outcome: str) -> None:
        """Count a hedge that started or won, or the reason why none was sent."""
        self.totals[outcome] += 1

    def read_totals(self) -> dict[tuple[str, ...], float]:
        """Return the counts by outcome, for the metrics."""
        return {(outcome,): float(total) for outcome, total in self.totals.items()}

    def dump(self) -> dict[str, Any]:
        """Return counts, and what each group has saved up, for operators."""
        return {
            "totals": dict(self.totals),
            "saved": {
                group: {
                    "hedges": round(account.hedges, 2),
                    "seconds": round(account.seconds, 3),
                }
                for group, account in self._accounts.items()
            },
        }

    def _find(self, group: str, service_s: float) -> _Account:
        account = self._accounts.get(group)
        if account is None:
            account = self._accounts[group] = _Account(service_s)
        return account
