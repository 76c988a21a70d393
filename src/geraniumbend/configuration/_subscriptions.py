"""Long polls of subscribers at a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from geraniumbend.configuration._notifier import Notifier
from geraniumbend.configuration._operations import describe_configuration
from geraniumbend.errors import StorageError, UnavailableError
from geraniumbend.wire import compress, decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.configuration._leader_relay import LeaderRelay
    from geraniumbend.configuration._store import ConfigurationStore
    from geraniumbend.timers import Subscription, TimerService

# A host that cannot reach the leader refuses its subscribers within about 1 s, so
# that they find a host with majority contact within the 2 s goal of guarantee G7.
CHECK_PERIOD_S = 0.25
CHECK_TIMEOUT_S = 0.4
CONTACT_VALIDITY_S = 0.9
CATCH_UP_TIMEOUT_S = 0.5
MAX_WAIT_S = 30.0
# If the changes are larger than this, the whole configuration is sent instead.
MAX_CHANGES_BYTES = 1024 * 1024


class Subscriptions:
    """Responds to the long polls of subscribers from the local replica.

    Parameters
    ----------
    relay : LeaderRelay
        Confirms the newest revision with the leader.
    store : ConfigurationStore
        State machine of the local replica.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self, relay: LeaderRelay, store: ConfigurationStore, timers: TimerService
    ) -> None:
        self._relay = relay
        self._store = store
        self._timers = timers
        self._notifier = Notifier(timers)
        self._majority_contact_at: float | None = None
        self._encoded: tuple[tuple[int, int, bool], bytes] | None = None
        self._initial_check: Subscription | None = None
        self._periodic_check: Subscription | None = None
        store.subscribe(self._notifier.notify)

    def register(self, server: RpcServer) -> None:
        """Register the RPC method that subscribers call."""
        server.handle("configuration.poll")(self._handle_poll)

    def start(self) -> None:
        """Start the periodic checks of the contact with a majority."""
        # Without an immediate check, a new control host refuses its first subscribers.
        self._initial_check = self._timers.after(0, self.check_majority_contact)
        self._periodic_check = self._timers.every(
            CHECK_PERIOD_S, self.check_majority_contact, 0.2
        )

    def stop(self) -> None:
        """Stop the periodic checks."""
        for subscription in (self._initial_check, self._periodic_check):
            if subscription is not None:
                subscription.cancel()

    @property
    def has_majority_contact(self) -> bool:
        """Whether this host recently held every change that a majority accepted."""
        contact_at = self._majority_contact_at
        return (
            contact_at is not None
            and self._timers.now() - contact_at <= CONTACT_VALIDITY_S
        )

    async def check_majority_contact(self) -> None:
        """Compare the local revision with the leader's and record majority contact."""
        checked_at = self._timers.now()
        try:
            revision = await self._relay.confirm(CHECK_TIMEOUT_S)
        except (StorageError, UnavailableError):
            revision = None
        if revision is not None and self._store.current.revision >= revision:
            self._majority_contact_at = checked_at
        if not self.has_majority_contact:
            self._notifier.notify()

    async def wait_for_change(self, known_revision: int, limit_s: float) -> None:
        """Wait until a revision newer than the subscriber's is in force.

        Parameters
        ----------
        known_revision : int
            Revision that the subscriber holds.
        limit_s : float
            Time limit in seconds.

        Raises
        ------
        UnavailableError
            If this host has no recent contact with a majority.
        """
        deadline = self._timers.now() + min(limit_s, MAX_WAIT_S)
        if not self.has_majority_contact:
            # The periodic check has not run yet, or the busy event loop delayed it.
            await self.check_majority_contact()
        while True:
            if not self.has_majority_contact:
                raise UnavailableError(
                    "this control host has no recent contact with a majority",
                    "subscribe at another control host",
                )
            remaining_s = deadline - self._timers.now()
            if self._store.current.revision > known_revision or remaining_s <= 0:
                return
            await self._notifier.wait(remaining_s)

    async def _handle_poll(self, body: bytes) -> bytes:
        request = decode(load_structs("configuration").PollRequest, body)
        if request.confirm:
            await self._catch_up(await self._relay.confirm(CATCH_UP_TIMEOUT_S))
        await self.wait_for_change(request.known_revision, request.wait_ms / 1000)
        return self._encode_response(
            request.known_revision, bool(request.accepts_packed)
        )

    def _encode_response(self, known_revision: int, is_packed: bool) -> bytes:
        """Return an encoded response; subscribers of one revision share it.

        Compressed, many new rules fit a thin link in the time that a subscriber waits.
        Otherwise it would ask again, and the second response would fill the link too.
        """
        key = (known_revision, self._store.current.revision, is_packed)
        if self._encoded is None or self._encoded[0] != key:
            content = encode(self._build_response(known_revision))
            if is_packed:
                response = load_structs("configuration").PollResponse(
                    revision=key[1], packed=compress(content)
                )
                content = encode(response)
            self._encoded = (key, content)
        return self._encoded[1]

    async def _catch_up(self, revision: int) -> None:
        """Wait until the local replica has applied a revision."""
        deadline = self._timers.now() + CATCH_UP_TIMEOUT_S
        while self._store.current.revision < revision:
            remaining_s = deadline - self._timers.now()
            if remaining_s <= 0:
                raise UnavailableError(
                    f"this control host has not reached revision {revision}",
                    "subscribe at another control host",
                )
            await self._notifier.wait(remaining_s)

    def _build_response(self, known_revision: int) -> Any:
        structs = load_structs("configuration")
        current = self._store.current
        changes = self._store.changes_since(known_revision)
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
