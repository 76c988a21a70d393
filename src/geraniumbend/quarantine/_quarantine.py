from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.errors import GeraniumbendError, ProtocolError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.quarantine._suspects import LIFETIME_S, Suspects
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.model import BackendServer
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

RECORDS = "quarantine"
NOTICES = "quarantine-notice"
# The caller's response waits at most this long for the other gateways, in seconds.
NOTIFY_TIMEOUT_S = 0.3
# A request that was answered this recently, in seconds, does not crash every server
# that runs it. Without this rule the loss of a rack would quarantine popular pages,
# because they are in flight on several of its servers.
ANSWERED_S = 10.0
ANSWERED_ENTRIES = 10_000
TRIAL_WAIT_S = 1.0
TRIAL_POLL_S = 0.02
# A trial whose gateway died is forgotten after this time, in seconds.
TRIAL_LIFETIME_S = 30.0

declare_event(
    410,
    "request_quarantined",
    "error",
    "Two backend servers were lost to one request; it is refused on every gateway. "
    "List and clear entries with geraniumbend quarantine.",
)
declare_event(
    411, "request_cleared", "info", "A request fingerprint is no longer suspected."
)


class QuarantineEntry(NamedTuple):
    """A suspected or quarantined request.

    Parameters
    ----------
    fingerprint : str
        Digest of method, path, query and body.
    losses : tuple of str
        Lost servers as ``server_id/incarnation``.
    quarantined : bool
        Whether the request is refused.
    remaining_s : float
        Seconds until the entry expires.
    """

    fingerprint: str
    losses: tuple[str, ...]
    quarantined: bool
    remaining_s: float


class MembershipPort(Protocol):
    """Part of membership that quarantine uses."""

    def servers(self) -> Mapping[str, BackendServer]:
        """Return announced backend servers by id."""
        ...

    def publish(self, kind: str, key: str, value: bytes, lifetime_s: float) -> bool:
        """Publish a record to all nodes."""
        ...

    def records(self, kind: str) -> dict[tuple[str, str], bytes]:
        """Return the records of a kind by node and key."""
        ...

    def subscribe_records(
        self, kind: str, callback: Callable[[str, str, bytes | None], None]
    ) -> None:
        """Call back with node, key and value of records and notices."""
        ...

    async def notify_peers(
        self, kind: str, value: bytes, timeout_s: float
    ) -> list[str]:
        """Send a notice to all live gateways and wait until they have it."""
        ...


class Quarantine:
    """Refuses requests that crash backend servers.

    Parameters
    ----------
    node : str
        Name of this gateway.
    membership : MembershipPort
        Notices and records shared by all gateways.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, node: str, membership: MembershipPort, timers: TimerService
    ) -> None:
        self._node = node
        self._membership = membership
        self._timers = timers
        self._suspects = Suspects(timers)
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._claims: dict[str, dict[str, float]] = {}
        self._trial = ""
        self._sending: set[asyncio.Task[object]] = set()
        membership.subscribe_records(RECORDS, self._take_record)
        membership.subscribe_records(NOTICES, self._take_notice)
        for (owner, key), value in membership.records(RECORDS).items():
            self._take_record(owner, key, value)

    @classmethod
    def from_config(
        cls, settings: Settings, membership: MembershipPort, timers: TimerService
    ) -> Quarantine:
        """Build the quarantine of a gateway."""
        return cls(settings.node.name, membership, timers)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that is quarantined or that runs as a trial now.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.

        Raises
        ------
        RefusedError
            If the request must not run.
        """
        if fingerprint not in self._suspects:
            return
        if self._suspects.is_quarantined(fingerprint):
            raise RefusedError(
                "request refused because backend servers were lost while they ran it",
                "ask the operator to clear the quarantine entry",
                kind="quarantined",
                retry_after_s=self._suspects.remaining_s(fingerprint),
            )
        if self._trial == fingerprint or self._claimed_elsewhere(fingerprint):
            raise _refuse_trial()

    async def enter(self, fingerprint: str) -> None:
        """Wait until a request may run; a suspected one runs alone.

        A suspected request runs at most once at a time on all gateways together, so
        that copies sent through several gateways cannot take more than one more
        server. Each gateway runs one suspected request at a time, so that requests
        that were only in flight beside the one that crashed a server do not end up
        beside it again. To be followed by `leave`.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.

        Raises
        ------
        RefusedError
            If the request must not run.
        """
        self.check(fingerprint)
        if fingerprint not in self._suspects:
            return
        give_up = self._timers.now() + TRIAL_WAIT_S
        while self._trial:
            if self._timers.now() >= give_up:
                raise _refuse_trial()
            await self._timers.sleep(TRIAL_POLL_S)
            self.check(fingerprint)
            if fingerprint not in self._suspects:
                return
        self._trial = fingerprint
        try:
            await self._notify("claim", fingerprint)
            if self._claimed_elsewhere(fingerprint):
                raise _refuse_trial()
            if self._suspects.is_quarantined(fingerprint):
                self._trial = ""
                self.check(fingerprint)
        except BaseException:
            self.leave(fingerprint)
            raise

    def leave(self, fingerprint: str) -> None:
        """End the run that `enter` allowed; without effect for other requests."""
        if self._trial == fingerprint:
            self._trial = ""
            self._send_later("release", fingerprint)

    async def report_loss(self, fingerprint: str, server_id: str) -> None:
        """Count a server lost to a request and tell all gateways.

        Returns when the live gateways have acknowledged or after 0.3 s, so that a
        caller who repeats the request through another gateway finds it known there.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.
        server_id : str
            Server whose connection broke before the response and that refuses new
            connections.
        """
        answered = self._answered.get(fingerprint)
        if answered is not None and self._timers.now() - answered < ANSWERED_S:
            self.leave(fingerprint)
            return
        server = self._membership.servers().get(server_id)
        loss = f"{server_id}/{server.incarnation if server else 0}"
        self._add(fingerprint, loss)
        losses = self._suspects.losses(fingerprint)
        record = load_structs("quarantine").QuarantineRecord(losses=list(losses))
        try:
            self._membership.publish(RECORDS, fingerprint, encode(record), LIFETIME_S)
        finally:
            await self._notify("loss", fingerprint, loss)
            self.leave(fingerprint)

    def report_success(self, fingerprint: str) -> None:
        """Clear a request that a server has answered."""
        self._answered[fingerprint] = self._timers.now()
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERED_ENTRIES:
            self._answered.popitem(last=False)
        if fingerprint in self._suspects:
            self._clear(fingerprint)
            self._send_later("clear", fingerprint)
        self.leave(fingerprint)

    def entries(self) -> list[QuarantineEntry]:
        """Return all suspected and quarantined requests."""
        return [
            QuarantineEntry(
                fingerprint,
                self._suspects.losses(fingerprint),
                self._suspects.is_quarantined(fingerprint),
                self._suspects.remaining_s(fingerprint),
            )
            for fingerprint in self._suspects.fingerprints()
        ]

    def clear(self, fingerprint: str) -> bool:
        """Let a request run again on all gateways.

        Returns
        -------
        bool
            Whether the fingerprint was known.
        """
        known = fingerprint in self._suspects
        self._clear(fingerprint)
        self._send_later("clear", fingerprint)
        return known

    def _add(self, fingerprint: str, loss: str) -> None:
        before = self._suspects.is_quarantined(fingerprint)
        self._suspects.add(fingerprint, loss)
        if self._suspects.is_quarantined(fingerprint) and not before:
            losses = self._suspects.losses(fingerprint)
            log_event(410, fingerprint=fingerprint, servers=list(losses))

    def _clear(self, fingerprint: str) -> None:
        self._claims.pop(fingerprint, None)
        if self._suspects.clear(fingerprint):
            log_event(411, fingerprint=fingerprint)
        if (self._node, fingerprint) in self._membership.records(RECORDS):
            self._membership.publish(RECORDS, fingerprint, b"", 0)

    def _claimed_elsewhere(self, fingerprint: str) -> bool:
        now = self._timers.now()
        claims = self._claims.get(fingerprint, {})
        return any(now - since < TRIAL_LIFETIME_S for since in claims.values())

    async def _notify(self, action: str, fingerprint: str, loss: str = "") -> None:
        notice = load_structs("quarantine").QuarantineNotice(
            action=action, fingerprint=fingerprint, loss=loss
        )
        await self._membership.notify_peers(NOTICES, encode(notice), NOTIFY_TIMEOUT_S)

    def _send_later(self, action: str, fingerprint: str) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(
            self._notify(action, fingerprint)
        )
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def _take_notice(self, node: str, key: str, value: bytes | None) -> None:
        if node == self._node or value is None:
            return
        try:
            notice = decode(load_structs("quarantine").QuarantineNotice, value)
        except ProtocolError:
            return
        if notice.action == "loss":
            self._claims.get(notice.fingerprint, {}).pop(node, None)
            self._add(notice.fingerprint, notice.loss)
        elif notice.action == "clear":
            self._clear(notice.fingerprint)
        elif notice.action == "claim":
            claims = self._claims.setdefault(notice.fingerprint, {})
            claims[node] = self._timers.now()
        elif notice.action == "release":
            claims = self._claims.get(notice.fingerprint, {})
            claims.pop(node, None)
            if not claims:
                self._claims.pop(notice.fingerprint, None)

    def _take_record(self, node: str, key: str, value: bytes | None) -> None:
        if node == self._node or not value or self._suspects.was_cleared(key):
            return
        try:
            record = decode(load_structs("quarantine").QuarantineRecord, value)
        except GeraniumbendError:
            return
        for loss in record.losses:
            self._add(key, loss)


def _refuse_trial() -> RefusedError:
    return RefusedError(
        "request is suspected of crashing a backend server and already runs",
        "retry after the stated delay",
        kind="quarantined",
        retry_after_s=1.0,
    )
