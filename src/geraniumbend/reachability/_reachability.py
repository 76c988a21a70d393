"""Decision whether a gateway has lost its links to a group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Literal

from geraniumbend.logs import declare_event, log_event
from geraniumbend.reachability._group_link import GroupLink

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from geraniumbend.timers import TimerService

    ExchangeKind = Literal["connection", "answer"]

# Stands for the servers of all groups.
ALL_SERVERS = "*"
# Servers that must answer on a new connection before a lost link counts as regained.
CHECKED_SERVERS = 2
# Silent servers from which on a loss of the link is suspected.
SUSPECT_SERVERS = 2
# Time for which a silence must last after it was first seen, in seconds. Answers that
# arrived while the process was paused are read in it.
CONFIRM_S = 0.04
# Shortest and longest time for which a link counts as lost, in seconds. The time
# doubles with each loss that comes soon after the last one.
MIN_HOLD_S = 0.5
MAX_HOLD_S = 8.0
FLAP_MEMORY_S = 10.0

declare_event(
    320,
    "link_lost",
    "warning",
    "No backend server of a group answers this gateway; its requests are forwarded to "
    "gateways that reach the servers.",
)
declare_event(
    321,
    "link_regained",
    "info",
    "Backend servers of a group answer this gateway again.",
)


class _GroupState:
    def __init__(self, connection: GroupLink, answer: GroupLink) -> None:
        self.links: dict[str, GroupLink] = {"connection": connection, "answer": answer}
        self.lost_since: float | None = None
        # Time at which the silence was first seen.
        self.silent_since: float | None = None
        # What was not answered; None if either shows that the link works.
        self.lost_kind: str | None = None
        self.regained_at = float("-inf")
        self.hold_s = MIN_HOLD_S
        self.reached: set[str] = set()


class Reachability:
    """Decides for each group whether this gateway has lost its links to the servers.

    New connections and answers are judged apart: a link may be lost for new connections
    while those that are open live on. The servers of all groups are judged together as
    well, by connections and answers alike, so that a group with few requests is not the
    last to be found.

    Parameters
    ----------
    timers : TimerService
        Clock.
    list_groups : callable
        Returns the names of the groups of a server, by its id.
    count_servers : callable
        Returns the number of servers of a group, or of all for `ALL_SERVERS`.
    on_change : callable
        Called after a link was lost or regained.
    """

    def __init__(
        self,
        timers: TimerService,
        list_groups: Callable[[str], Iterable[str]],
        count_servers: Callable[[str], int],
        on_change: Callable[[], None],
    ) -> None:
        self._timers = timers
        self._list_groups = list_groups
        self._count_servers = count_servers
        self._on_change = on_change
        self._states: dict[str, _GroupState] = {}

    def begin(self, kind: ExchangeKind, server_id: str) -> None:
        """Record that a server was asked for something that needs no work."""
        now = self._timers.now()
        for link in self._list_links(kind, server_id):
            link.begin(server_id, now)

    def succeed(self, kind: ExchangeKind, server_id: str) -> None:
        """Record that a server has accepted a connection or answered.

        An answer on an open connection does not regain a link that was lost for new
        ones.
        """
        now = self._timers.now()
        for group in (ALL_SERVERS, *self._list_groups(server_id)):
            state = self._get_state(group)
            state.links[kind].succeed(server_id, now)
            if state.lost_since is not None and state.lost_kind in (kind, None):
                self.record_check(group, server_id)

    def fail(self, kind: ExchangeKind, server_id: str) -> None:
        """Record that a server refused, or did not answer in time."""
        now = self._timers.now()
        for link in self._list_links(kind, server_id):
            link.fail(server_id, now)

    def abandon(self, kind: ExchangeKind, server_id: str) -> None:
        """Forget an exchange that was given up before an answer was due."""
        for link in self._list_links(kind, server_id):
            link.abandon(server_id)

    def is_lost(self, group: str) -> bool:
        """Tell whether this gateway reaches no server of a group."""
        return self._is_state_lost(ALL_SERVERS) or self._is_state_lost(group)

    def is_suspect(self, group: str) -> bool:
        """Tell whether several servers are silent and none has answered since.

        A server that seems lost then says nothing about the request that it ran.
        """
        return self._is_state_suspect(ALL_SERVERS) or self._is_state_suspect(group)

    def list_lost(self) -> list[str]:
        """Return the groups whose links are lost."""
        return sorted(
            group
            for group, state in self._states.items()
            if state.lost_since is not None
        )

    def record_check(self, group: str, server_id: str) -> None:
        """Record that a server of a lost group has answered on a new connection."""
        state = self._states[group]
        if state.lost_since is None:
            return
        state.reached.add(server_id)
        now = self._timers.now()
        needed = min(CHECKED_SERVERS, self._count_servers(group))
        if len(state.reached) < needed or now - state.lost_since < state.hold_s:
            return
        lost_s = round(now - state.lost_since, 3)
        log_event(321, group=group, lost_s=lost_s, reached=sorted(state.reached))
        state.lost_since = None
        state.regained_at = now
        # What was asked while the link was lost says nothing of its state now.
        regained = self._states.values() if group == ALL_SERVERS else [state]
        for other in regained:
            for link in other.links.values():
                link.forget()
        self._on_change()

    def dump(self) -> dict[str, Any]:
        """Return the lost links with the time for which they are lost, in seconds."""
        now = self._timers.now()
        return {
            group: round(now - state.lost_since, 3)
            for group, state in self._states.items()
            if state.lost_since is not None
        }

    def _is_state_lost(self, group: str) -> bool:
        state = self._states.get(group)
        if state is None:
            return False
        if state.lost_since is None:
            self._judge(group, state)
        return state.lost_since is not None

    def _is_state_suspect(self, group: str) -> bool:
        state = self._states.get(group)
        if state is None:
            return False
        now = self._timers.now()
        return state.lost_since is not None or any(
            link.measure_silence(now).servers >= SUSPECT_SERVERS
            for link in state.links.values()
        )

    def _judge(self, group: str, state: _GroupState) -> None:
        now = self._timers.now()
        servers = self._count_servers(group)
        silent = {
            kind: link
            for kind, link in state.links.items()
            if link.is_silent(servers, now)
        }
        if not silent:
            state.silent_since = None
            return
        if state.silent_since is None:
            state.silent_since = now
        if now - state.silent_since < CONFIRM_S:
            return
        state.silent_since = None
        for kind, link in silent.items():
            silence = link.measure_silence(now)
            log_event(
                320,
                group=group,
                kind=kind,
                servers=servers,
                silent=silence.servers,
                silent_s=round(now - silence.since, 3),
            )
            flaps = now - state.regained_at < FLAP_MEMORY_S
            state.hold_s = min(2 * state.hold_s, MAX_HOLD_S) if flaps else MIN_HOLD_S
            state.lost_since = now
            state.lost_kind = None if group == ALL_SERVERS else kind
            state.reached.clear()
            self._on_change()
            return

    def _list_links(self, kind: ExchangeKind, server_id: str) -> list[GroupLink]:
        groups = (ALL_SERVERS, *self._list_groups(server_id))
        return [self._get_state(group).links[kind] for group in groups]

    def _get_state(self, group: str) -> _GroupState:
        state = self._states.get(group)
        if state is None:
            state = self._states[group] = _create_state(group)
        return state


def _create_state(group: str) -> _GroupState:
    if group == ALL_SERVERS:
        # Either an accepted connection or an answer shows that the gateway has links.
        link = GroupLink()
        return _GroupState(link, link)
    return _GroupState(GroupLink(), GroupLink())
