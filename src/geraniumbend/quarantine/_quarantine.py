"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, ProtocolError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.quarantine._ports import QuarantineEntry
from geraniumbend.quarantine._suspect_requests import ENTRY_LIFETIME_S, SuspectRequests
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.quarantine._ports import MembershipPort
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

RECORD_KIND = "quarantine"
NOTICE_KIND = "quarantine-notice"
# Maximum time that a response to a caller is delayed until the other gateways have
# acknowledged a notice, in seconds.
NOTIFY_TIMEOUT_S = 0.3
# A request that succeeded within this time, in seconds, is not blamed for the loss of a
# server. Otherwise the failure of a rack would quarantine popular pages, because they
# are in flight on several of its servers.
RECENT_SUCCESS_S = 10.0
MAX_RECENT_SUCCESSES = 10_000
# A trial is a run of a suspected request. A request waits at most this time, in
# seconds, for the trial of another request on the same gateway.
TRIAL_WAIT_S = 1.0
TRIAL_POLL_S = 0.02
# A trial on another gateway counts as ended after this time, in seconds, because that
# gateway may have crashed.
TRIAL_LIFETIME_S = 30.0
# Losses of a request that a record names at most, the latest ones; a record has room
# for 900 bytes, and two losses are enough to refuse the request.
MAX_PUBLISHED_LOSSES = 8

declare_event(
    410,
    "request_quarantined",
    "error",
    "Two backend servers were lost while running one request; it is refused on every "
    "gateway. List and clear entries with geraniumbend quarantine.",
)
declare_event(
    411, "request_cleared", "info", "A request fingerprint was cleared from quarantine."
)


class Quarantine:
    """Refuses requests that crash backend servers.

    A request is suspected once a server was lost while running it. A suspected request
    runs only as a trial, one at a time. It is quarantined, which means refused by all
    gateways, after a second loss. A success clears it.

    Parameters
    ----------
    node : str
        Name of this gateway.
    membership : MembershipPort
        Announced servers, and the notices and records that gateways exchange.
    timers : TimerService
        Clock.
    """

    def __init__(
        self, node: str, membership: MembershipPort, timers: TimerService
    ) -> None:
        self._node = node
        self._membership = membership
        self._timers = timers
        self._suspect_requests = SuspectRequests(timers)
        self._recent_successes: OrderedDict[str, float] = OrderedDict()
        self._claims: dict[str, dict[str, float]] = {}
        self._trial_fingerprint = ""
        self._send_tasks: set[asyncio.Task[object]] = set()
        membership.subscribe_records(RECORD_KIND, self._apply_record)
        membership.subscribe_records(NOTICE_KIND, self._apply_notice)
        for (publisher, key), value in membership.records(RECORD_KIND).items():
            self._apply_record(publisher, key, value)

    @classmethod
    def from_config(
        cls, settings: Settings, membership: MembershipPort, timers: TimerService
    ) -> Quarantine:
        """Create the quarantine of a node from its settings."""
        return cls(settings.node.name, membership, timers)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that is quarantined or is running as a trial.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.

        Raises
        ------
        RefusedError
            If the request is quarantined or another trial prevents it from running.
        """
        if fingerprint not in self._suspect_requests:
            return
        if self._suspect_requests.is_quarantined(fingerprint):
            raise RefusedError(
                "request refused because backend servers were lost while they ran it",
                "ask the operator to clear the quarantine entry",
                kind="quarantined",
                retry_after_s=self._suspect_requests.remaining_s(fingerprint),
            )
        if self._trial_fingerprint == fingerprint or self._claimed_by_peer(fingerprint):
            raise _build_trial_refusal()

    async def begin_run(self, fingerprint: str) -> None:
        """Wait until a request may run, and start a trial if it is suspected.

        Only one trial of a request runs at a time across all gateways, so that copies
        sent through several gateways cannot crash more than one further server. Each
        gateway runs one trial at a time, so that an innocent request that was in flight
        on the crashed server does not run beside the faulty one again. The caller must
        call `end_run` when the request has ended.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.

        Raises
        ------
        RefusedError
            If the request is quarantined or another trial prevents it from running.
        """
        self.check(fingerprint)
        if fingerprint not in self._suspect_requests:
            return
        wait_end = self._timers.now() + TRIAL_WAIT_S
        while self._trial_fingerprint:
            if self._timers.now() >= wait_end:
                raise _build_trial_refusal()
            await self._timers.sleep(TRIAL_POLL_S)
            self.check(fingerprint)
            if fingerprint not in self._suspect_requests:
                return
        self._trial_fingerprint = fingerprint
        try:
            await self._notify_peers("claim", fingerprint)
            if self._claimed_by_peer(fingerprint):
                raise _build_trial_refusal()
            if self._suspect_requests.is_quarantined(fingerprint):
                self.check(fingerprint)
        except BaseException:
            self.end_run(fingerprint)
            raise

    def end_run(self, fingerprint: str) -> None:
        """End the trial that `begin_run` started; no effect on other requests."""
        if self._trial_fingerprint == fingerprint:
            self._trial_fingerprint = ""
            self._notify_in_background("release", fingerprint)

    async def report_loss(self, fingerprint: str, server_id: str) -> None:
        """Record a server that was lost while it ran a request; notify all gateways.

        Returns when the live gateways have acknowledged, or after 0.3 s. A caller that
        retries through another gateway then reaches one that knows of the loss.

        Parameters
        ----------
        fingerprint : str
            Digest of method, path, query and body.
        server_id : str
            Server whose connection broke before the response and that refuses new
            connections.
        """
        succeeded_at = self._recent_successes.get(fingerprint)
        if (
            succeeded_at is not None
            and self._timers.now() - succeeded_at < RECENT_SUCCESS_S
        ):
            self.end_run(fingerprint)
            return
        server = self._membership.servers().get(server_id)
        loss = f"{server_id}/{server.incarnation if server else 0}"
        self._add_loss(fingerprint, loss)
        try:
            self._publish(fingerprint)
        finally:
            await self._notify_peers("loss", fingerprint, loss)
            self.end_run(fingerprint)

    def report_success(self, fingerprint: str) -> None:
        """Clear a request to which a server has responded."""
        self._recent_successes[fingerprint] = self._timers.now()
        self._recent_successes.move_to_end(fingerprint)
        if len(self._recent_successes) > MAX_RECENT_SUCCESSES:
            self._recent_successes.popitem(last=False)
        if fingerprint in self._suspect_requests:
            self._clear_everywhere(fingerprint)
        self.end_run(fingerprint)

    def entries(self) -> list[QuarantineEntry]:
        """Return all suspected and quarantined requests."""
        return [
            QuarantineEntry(
                fingerprint,
                self._suspect_requests.losses(fingerprint),
                self._suspect_requests.is_quarantined(fingerprint),
                self._suspect_requests.remaining_s(fingerprint),
            )
            for fingerprint in self._suspect_requests.fingerprints()
        ]

    def clear(self, fingerprint: str) -> bool:
        """Remove a request from the quarantine on all gateways.

        Returns
        -------
        bool
            Whether the request was suspected or quarantined.
        """
        known = fingerprint in self._suspect_requests
        self._clear_everywhere(fingerprint)
        return known

    def _add_loss(self, fingerprint: str, loss: str) -> None:
        was_quarantined = self._suspect_requests.is_quarantined(fingerprint)
        self._suspect_requests.add(fingerprint, loss)
        if self._suspect_requests.is_quarantined(fingerprint) and not was_quarantined:
            losses = self._suspect_requests.losses(fingerprint)
            log_event(410, fingerprint=fingerprint, servers=list(losses))

    def _clear_everywhere(self, fingerprint: str) -> None:
        """Clear a request; publish which losses do not count any more.

        A gateway that is down hears no notice. When it comes back, others still hold
        the losses that it published.
        """
        self._clear(fingerprint)
        is_known = bool(self._suspect_requests.list_cleared_losses(fingerprint))
        if is_known or self._has_record(fingerprint):
            self._publish(fingerprint)
        self._notify_in_background("clear", fingerprint)

    def _clear(self, fingerprint: str) -> None:
        self._claims.pop(fingerprint, None)
        if self._suspect_requests.clear(fingerprint):
            log_event(411, fingerprint=fingerprint)

    def _has_record(self, fingerprint: str) -> bool:
        return (self._node, fingerprint) in self._membership.records(RECORD_KIND)

    def _publish(self, fingerprint: str) -> None:
        """Publish what is known of a request; withdraw the record if nothing is."""
        losses = self._suspect_requests.losses(fingerprint)
        cleared = self._suspect_requests.list_cleared_losses(fingerprint)
        record = load_structs("quarantine").QuarantineRecord(
            losses=list(losses[-MAX_PUBLISHED_LOSSES:]),
            cleared=list(cleared[-MAX_PUBLISHED_LOSSES:]),
        )
        if losses or cleared:
            self._membership.publish(
                RECORD_KIND, fingerprint, encode(record), ENTRY_LIFETIME_S
            )
        else:
            self._membership.publish(RECORD_KIND, fingerprint, b"", 0)

    def _claimed_by_peer(self, fingerprint: str) -> bool:
        now = self._timers.now()
        claims = self._claims.get(fingerprint, {})
        return any(
            now - claimed_at < TRIAL_LIFETIME_S for claimed_at in claims.values()
        )

    def _drop_expired_claims(self) -> None:
        """Drop the claims of gateways that ended without releasing them."""
        oldest_s = self._timers.now() - TRIAL_LIFETIME_S
        live = {
            fingerprint: {
                node: claimed_at
                for node, claimed_at in claims.items()
                if claimed_at > oldest_s
            }
            for fingerprint, claims in self._claims.items()
        }
        self._claims = {name: claims for name, claims in live.items() if claims}

    async def _notify_peers(
        self, action: str, fingerprint: str, loss: str = ""
    ) -> None:
        notice = load_structs("quarantine").QuarantineNotice(
            action=action, fingerprint=fingerprint, loss=loss
        )
        await self._membership.notify_peers(
            NOTICE_KIND, encode(notice), NOTIFY_TIMEOUT_S
        )

    def _notify_in_background(self, action: str, fingerprint: str) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(
            self._notify_peers(action, fingerprint)
        )
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def _apply_notice(self, node: str, key: str, value: bytes | None) -> None:
        if node == self._node or value is None:
            return
        try:
            notice = decode(load_structs("quarantine").QuarantineNotice, value)
        except ProtocolError:
            return
        if notice.action == "loss":
            self._claims.get(notice.fingerprint, {}).pop(node, None)
            self._add_loss(notice.fingerprint, notice.loss)
        elif notice.action == "clear":
            self._clear(notice.fingerprint)
            if self._has_record(notice.fingerprint):
                self._publish(notice.fingerprint)
        elif notice.action == "claim":
            self._drop_expired_claims()
            claims = self._claims.setdefault(notice.fingerprint, {})
            claims[node] = self._timers.now()
        elif notice.action == "release":
            claims = self._claims.get(notice.fingerprint, {})
            claims.pop(node, None)
            if not claims:
                self._claims.pop(notice.fingerprint, None)

    def _apply_record(self, node: str, key: str, value: bytes | None) -> None:
        """Apply the record of a gateway, also of an earlier process of this one.

        What this gateway published before it was restarted is known only from records
        that the others have kept.
        """
        if not value:
            return
        try:
            record = decode(load_structs("quarantine").QuarantineRecord, value)
        except GeraniumbendError:
            return
        suspects = self._suspect_requests
        if record.cleared and suspects.forget_losses(key, record.cleared):
            log_event(411, fingerprint=key)
        if not suspects.was_cleared(key):
            cleared = suspects.list_cleared_losses(key)
            for loss in record.losses:
                if loss not in cleared:
                    self._add_loss(key, loss)
        if node == self._node:
            self._complete_own_record(key, record)

    def _complete_own_record(self, fingerprint: str, heard: Any) -> None:
        """Publish again if an earlier process knew of losses that the record lacks."""
        value = self._membership.records(RECORD_KIND).get((self._node, fingerprint))
        if not value:
            return
        known = decode(load_structs("quarantine").QuarantineRecord, value)
        told = {*known.losses, *known.cleared}
        if not told.issuperset((*heard.losses, *heard.cleared)):
            self._publish(fingerprint)


def _build_trial_refusal() -> RefusedError:
    return RefusedError(
        "request is suspected of crashing a backend server and already runs",
        "retry after the stated delay",
        kind="quarantined",
        retry_after_s=1.0,
    )
