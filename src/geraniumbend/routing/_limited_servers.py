"""Choice among servers that name limits or are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.routing._policies import SelectionContext
    from geraniumbend.routing._server_views import ServerView

# A limited server with a permit is preferred unless its latency is this many times the
# group's mean.
PREFERRED_SLOWNESS = 3.0


class LimitsPort(Protocol):
    """Limits of backend servers, and permits to send requests to these."""

    def has_limits(self) -> bool:
        """Tell whether any server names a limit."""
        ...

    def is_limited(self, server_id: str) -> bool:
        """Tell whether a server names a limit or is cold."""
        ...

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server is limited because it is cold."""
        ...

    def is_blocked(self, server_id: str) -> bool:
        """Tell whether a server is limited and no permit for it is at hand."""
        ...

    def has_permit(self, server_id: str) -> bool:
        """Tell whether a server is limited and a permit for it is at hand."""
        ...

    async def request_permits(
        self, server_ids: Iterable[str], has_alternative: bool = False
    ) -> None:
        """Ask for permits where none are at hand, and wait shortly for them."""
        ...

    def estimate_wait_s(self, server_ids: Iterable[str]) -> float:
        """Return the time until a blocked server may take a request, in seconds."""
        ...


class LimitedServers:
    """Choice among servers of which some name a limit on their requests a second.

    Parameters
    ----------
    limits : LimitsPort or None, default=None
        Limits and permits; None if no server names a limit.
    """

    def __init__(self, limits: LimitsPort | None = None) -> None:
        self._limits = limits

    def are_any(self) -> bool:
        """Tell whether any server names a limit."""
        return self._find_limits() is not None

    def is_limited(self, view: ServerView) -> bool:
        """Tell whether a server names a limit or is cold."""
        return self._limits is not None and self._limits.is_limited(view.server_id)

    def exclude_limited(self, views: list[ServerView]) -> list[ServerView]:
        """Return the servers without a limit, which alone are probed on demand."""
        limits = self._find_limits()
        if limits is None:
            return views
        return [view for view in views if not limits.is_limited(view.server_id)]

    def exclude_blocked(self, views: list[ServerView]) -> list[ServerView]:
        """Return the servers that may get a request now."""
        limits = self._find_limits()
        if limits is None:
            return views
        return [view for view in views if not limits.is_blocked(view.server_id)]

    def list_permitted(
        self, views: list[ServerView], context: SelectionContext
    ) -> list[ServerView]:
        """Return the servers that are preferred because a permit is at hand.

        An unused permit is lost, and without responses nobody hears that the limit has
        ended. Servers that are failing, slow or without a free slot are not preferred.
        """
        limits = self._find_limits()
        if limits is None:
            return []
        return [
            view
            for view in views
            if limits.has_permit(view.server_id)
            and not limits.is_cold(view.server_id)
            and _is_fit(view, context)
        ]

    def prefer_warm(
        self, views: list[ServerView], context: SelectionContext
    ) -> list[ServerView]:
        """Leave out the cold servers while another one has a free slot.

        A cold server is slow. It is used, with its permits, when the others are full or
        failing; its load report, which shows free slots, attracts nothing.

        Parameters
        ----------
        views : list of ServerView
            Servers that may get a request now.
        context : SelectionContext
            Request.

        Returns
        -------
        list of ServerView
            Servers to choose from: the warm ones, or the cold ones if no warm one has a
            free slot.
        """
        cold, warm = self._split_cold(views)
        return warm if not cold or _has_room(warm, context.now) else cold

    def needs_cold(self, views: list[ServerView], context: SelectionContext) -> bool:
        """Tell whether a cold server with a permit is the best that is left."""
        usable = self.exclude_blocked(views)
        cold, warm = self._split_cold(usable)
        return bool(cold) and not _has_room(warm, context.now)

    async def request_permits(self, views: list[ServerView], now: float) -> None:
        """Ask for permits of the limited servers that a request may be sent to.

        While a server that is not cold has a free slot, no permits of cold ones are
        asked for; otherwise the request waits shortly for these.
        """
        limits = self._find_limits()
        if limits is None:
            return
        cold, warm = self._split_cold(views)
        if cold and _has_room(warm, now):
            cold, views = [], warm
        limited = [v.server_id for v in views if limits.is_limited(v.server_id)]
        if limited:
            has_alternative = not cold and len(limited) < len(views)
            await limits.request_permits(limited, has_alternative)

    def _split_cold(
        self, views: list[ServerView]
    ) -> tuple[list[ServerView], list[ServerView]]:
        """Return the cold and the other servers."""
        limits = self._find_limits()
        if limits is None:
            return [], views
        cold = [view for view in views if limits.is_cold(view.server_id)]
        if not cold:
            return cold, views
        return cold, [v for v in views if not limits.is_cold(v.server_id)]

    def check_blocked(self, group: str, views: list[ServerView]) -> None:
        """Refuse a request for which only servers at their limits are left.

        Parameters
        ----------
        group : str
            Name of the group.
        views : list of ServerView
            Servers that are left, none of which may get a request now.

        Raises
        ------
        RefusedError
            If there is such a server; the request was not run.
        """
        if self._limits is None or not views:
            return
        raise RefusedError(
            f"all backend servers left of group {group!r} are at their limits",
            "retry after the stated delay",
            kind="limited",
            retry_after_s=self._limits.estimate_wait_s(v.server_id for v in views),
        )

    def _find_limits(self) -> LimitsPort | None:
        """Return the limits, None if no server names one."""
        limits = self._limits
        return limits if limits is not None and limits.has_limits() else None


def _has_room(views: list[ServerView], now: float) -> bool:
    """Tell whether a server that is not failing has a free slot."""
    return any(
        view.estimate_in_flight(now) + 1 <= view.slots and not view.is_failing(now)
        for view in views
    )


def _is_fit(view: ServerView, context: SelectionContext) -> bool:
    now = context.now
    if view.is_failing(now) or view.estimate_in_flight(now) + 1 > view.slots:
        return False
    latency_s = view.estimate_latency(
        context.request_class, now, context.mean_s, context.tail_s
    )
    return latency_s <= PREFERRED_SLOWNESS * context.mean_s
