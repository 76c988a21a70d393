from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from geraniumbend.configuration._notifier import Notifier
from geraniumbend.configuration._operations import describe_configuration
from geraniumbend.errors import UnavailableError
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.configuration._relay import LeaderRelay
    from geraniumbend.configuration._store import ConfigurationStore
    from geraniumbend.timers import Subscription, TimerService

# A host that cannot reach the leader turns its subscribers away within about a
# second, so that they find a host in touch within the 2 s goal of guarantee G7.
CHECK_PERIOD_S = 0.25
CHECK_TIMEOUT_S = 0.4
IN_TOUCH_S = 0.9
CATCH_UP_S = 0.5
MAX_WAIT_S = 30.0
# Longer lists of changes are replaced by the whole configuration.
MAX_CHANGES_BYTES = 1024 * 1024


class Subscriptions:
    """Serves the long polls of subscribers from the local replica.

    Parameters
    ----------
    relay : LeaderRelay
        Way to the leader.
    store : ConfigurationStore
        Local replica.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self, relay: LeaderRelay, store: ConfigurationStore, timers: TimerService
    ) -> None:
        self._relay = relay
        self._store = store
        self._timers = timers
        self._signal = Notifier(timers)
        self._in_touch_at: float | None = None
        self._first_check: Subscription | None = None
        self._checking: Subscription | None = None
        store.subscribe(self._signal.notify)

    def register(self, server: RpcServer) -> None:
        """Serve the calls of subscribers."""
        server.handle("configuration.poll")(self._poll)

    def start(self) -> None:
        """Start to check whether this host is in touch with the majority."""
        # Without a check right away a new control host refuses its first subscribers.
        self._first_check = self._timers.after(0, self.check)
        self._checking = self._timers.every(CHECK_PERIOD_S, self.check, 0.2)

    def stop(self) -> None:
        """Stop the checks."""
        for check in (self._first_check, self._checking):
            if check is not None:
                check.cancel()

    @property
    def has_majority_contact(self) -> bool:
        """Whether this host recently held all that a majority had accepted."""
        seen = self._in_touch_at
        return seen is not None and self._timers.now() - seen <= IN_TOUCH_S

    async def check(self) -> None:
        """Ask the leader for its revision and compare."""
        asked_at = self._timers.now()
        try:
            revision = await self._relay.confirm(CHECK_TIMEOUT_S)
        except UnavailableError:
            revision = None
        if revision is not None and self._store.current.revision >= revision:
            self._in_touch_at = asked_at
        if not self.has_majority_contact:
            self._signal.notify()

    async def wait_for_change(self, known: int, limit_s: float) -> None:
        """Wait for a newer revision than the known one.

        Parameters
        ----------
        known : int
            Revision that the subscriber holds.
        limit_s : float
            Time limit in seconds.

        Raises
        ------
        UnavailableError
            If this host is not in touch with the majority.
        """
        deadline = self._timers.now() + min(limit_s, MAX_WAIT_S)
        if not self.has_majority_contact:
            # The periodic check has not run yet, or a busy event loop delayed it.
            await self.check()
        while True:
            if not self.has_majority_contact:
                raise UnavailableError(
                    "this control host is not in touch with a majority",
                    "subscribe at another control host",
                )
            remaining_s = deadline - self._timers.now()
            if self._store.current.revision > known or remaining_s <= 0:
                return
            await self._signal.wait(remaining_s)

    async def _poll(self, body: bytes) -> bytes:
        request = decode(load_structs("configuration").PollRequest, body)
        if request.confirm:
            await self._catch_up(await self._relay.confirm(CATCH_UP_S))
        await self.wait_for_change(request.known_revision, request.wait_ms / 1000)
        return encode(self._answer(request.known_revision))

    async def _catch_up(self, revision: int) -> None:
        deadline = self._timers.now() + CATCH_UP_S
        while self._store.current.revision < revision:
            remaining_s = deadline - self._timers.now()
            if remaining_s <= 0:
                raise UnavailableError(
                    f"this control host has not reached revision {revision}",
                    "subscribe at another control host",
                )
            await self._signal.wait(remaining_s)

    def _answer(self, known: int) -> Any:
        structs = load_structs("configuration")
        current = self._store.current
        changes = self._store.changes_since(known)
        if changes is not None and (
            sum(len(change.operations) for change in changes) <= MAX_CHANGES_BYTES
        ):
            accepted = [
                structs.AcceptedChange(
                    revision=change.revision, operations=change.operations
                )
                for change in changes
            ]
            return structs.PollResponse(revision=current.revision, changes=accepted)
        document = msgspec.json.encode(describe_configuration(current))
        return structs.PollResponse(
            revision=current.revision, changes=[], complete=True, document=document
        )
