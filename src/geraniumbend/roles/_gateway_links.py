"""Links of a gateway to the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.reachability import ALL_SERVERS, LostLinks, Reachability
from geraniumbend.roles._link_watch import LinkWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from geraniumbend.membership import Membership
    from geraniumbend.model import BackendServer
    from geraniumbend.routing import ServerTable
    from geraniumbend.timers import TimerService


class GatewayLinks:
    """Links of a gateway to the backend servers: judged, published and checked.

    Parameters
    ----------
    membership : Membership
        Backend servers, and records of other gateways.
    table : ServerTable
        Servers by group.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, membership: Membership, table: ServerTable, timers: TimerService
    ) -> None:
        self.reachability = Reachability(
            timers, self._list_groups, self._count_servers, self._handle_change
        )
        self.lost_links = LostLinks(membership)
        self._membership = membership
        self._table = table
        self._timers = timers
        self._watch: LinkWatch | None = None

    def start(self, answers: Callable[[BackendServer, float], Awaitable[bool]]) -> None:
        """Publish lost links, and check whether they work again.

        Parameters
        ----------
        answers : callable
            Tells whether a server answers on a new connection within a time in seconds.
        """
        self._watch = LinkWatch(
            self.reachability,
            self.lost_links,
            answers,
            self._list_servers,
            self._timers,
        )

    def stop(self) -> None:
        """Check no longer."""
        if self._watch is not None:
            self._watch.stop()
            self._watch = None

    def count_lost(self) -> dict[Any, float]:
        """Return the number of groups whose links are lost, for a gauge."""
        return {(): float(len(self.reachability.list_lost()))}

    def _handle_change(self) -> None:
        if self._watch is not None:
            self._watch.update()

    def _list_groups(self, server_id: str) -> Sequence[str]:
        view = self._table.view(server_id)
        return () if view is None else view.groups

    def _count_servers(self, group: str) -> int:
        return len(self._list_servers(group))

    def _list_servers(self, group: str) -> list[BackendServer]:
        if group == ALL_SERVERS:
            return list(self._membership.servers().values())
        return [view.server for view in self._table.available(group)]
