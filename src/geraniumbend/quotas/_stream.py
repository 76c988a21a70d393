"""Reports of one gateway to one allocator of a tenant, and the answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.quotas._messages import QuotaReport, QuotaState

if TYPE_CHECKING:
    import random

# Time for which a permit may be used, in seconds, counted from the request for it.
PERMIT_LIFETIME_S = 0.5
# Time without an answer after which an allocator counts as silent, in seconds.
SILENCE_S = 0.3
# Time after which another allocator is asked beside the one that has not answered, in
# seconds.
ASK_TIMEOUT_S = 0.04
# Time after which the same allocator is asked again while a request waits, in seconds.
ASK_AGAIN_S = 0.08
# Period in seconds at which an unanswered report is repeated, and time after which the
# repetitions end until the next request.
REPEAT_S = 0.2
MAX_REPEAT_S = 30.0
# Time after the replacement of a silent allocator for which a gateway still admits on
# its own, in seconds, unless the new one grants before. A new bucket begins in debt.
TAKEOVER_ALONE_S = 0.5
# Time for which an answer to a request for permits is recognised, in seconds. Permits
# that arrive too late are returned.
ASK_MEMORY_S = 5.0


class Permit(NamedTuple):
    """Permission to admit one request.

    Parameters
    ----------
    expires_at : float
        Reading of the clock after which it is void.
    stream : Stream
        Reports to the allocator that granted it.
    session : int
        Session in which it was granted.
    """

    expires_at: float
    stream: Stream
    session: int


class Stream:
    """Counts what a gateway uses at one allocator, and holds its last answer.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    index : int
        Which of its allocators.
    rng : random.Random
        Chooses the identifiers of sessions.

    Attributes
    ----------
    node : str
        Gateway that is the allocator.
    used, acknowledged : int
        Requests admitted without a permit less refunds, and what is acknowledged of it.
    restricted : bool
        Whether the allocator's last answer restricts the tenant.
    hold_until : float
        Reading of the clock before which no permits are asked for.
    wait_s : float
        Last estimate of the wait of refused requests, in seconds.
    pending_since : float or None
        Reading when the first message without an answer was sent.
    replaced_at : float
        Reading when the allocator replaced a silent one and has granted nothing since.
    """

    def __init__(self, tenant: str, index: int, rng: random.Random) -> None:
        self._tenant = tenant
        self._index = index
        self._rng = rng
        self._number = 0
        self._heard_number = 0
        self._asks: dict[int, tuple[float, int]] = {}
        self._sent_at = -math.inf
        self.node = ""
        self.session = 0
        self.used = 0
        self.acknowledged = 0
        self.restricted = True
        self.hold_until = -math.inf
        self.wait_s = 0.0
        self.pending_since: float | None = None
        self.replaced_at = -math.inf

    def replace(self, node: str, now: float) -> None:
        """Follow a change of the allocator."""
        if self.is_silent(now):
            self.replaced_at = now
        self.connect(node)

    def connect(self, node: str) -> None:
        """Begin a new count at an allocator; unacknowledged uses are reported to it."""
        self.used = max(0, self.count_unacknowledged())
        self.acknowledged = 0
        self.node = node
        self.session = self._rng.getrandbits(62)
        self._number = self._heard_number = 0
        self._asks.clear()
        self.restricted = True
        self.hold_until = -math.inf
        self.pending_since = None

    def count_unacknowledged(self) -> int:
        """Return the uses that the allocator has not acknowledged."""
        return self.used - self.acknowledged

    def is_silent(self, now: float) -> bool:
        """Tell whether the allocator has not answered for some time."""
        return self.pending_since is not None and now - self.pending_since > SILENCE_S

    def find_missing_since(self, now: float) -> float | None:
        """Return since when there is no allocator that answers or grants, if so."""
        if self.pending_since is not None and self.is_silent(now):
            return self.pending_since + SILENCE_S
        if now - self.replaced_at < TAKEOVER_ALONE_S:
            return self.replaced_at
        return None

    def count_asked(self, now: float) -> int:
        """Return the permits asked for shortly ago that have not been answered."""
        if self.is_silent(now):
            return 0
        return sum(
            wanted
            for asked_at, wanted in self._asks.values()
            if now - asked_at < ASK_TIMEOUT_S
        )

    def may_answer(self, now: float) -> bool:
        """Tell whether an answer to a request for permits may still arrive soon."""
        return not self.is_silent(now) and any(
            now - asked_at < REPEAT_S for asked_at, _ in self._asks.values()
        )

    def may_ask(self, now: float) -> bool:
        """Tell whether permits may be asked for."""
        if now < self.hold_until:
            return False
        if self.is_silent(now):
            # Also after the repetitions have ended: the link may be back.
            return now - self._sent_at >= REPEAT_S
        return all(now - asked_at >= ASK_AGAIN_S for asked_at, _ in self._asks.values())

    def is_repetition_due(self, now: float) -> bool:
        """Tell whether a report is to be sent although no request asks for it."""
        if now - self._sent_at < REPEAT_S:
            return False
        if self.pending_since is None:
            return self.used != self.acknowledged
        return now - self.pending_since < MAX_REPEAT_S

    def sent_lately(self, now: float, period_s: float) -> bool:
        """Tell whether a report was sent within the last seconds."""
        return now - self._sent_at < period_s

    def build_report(
        self, now: float, wanted: int = 0, refused: int = 0
    ) -> QuotaReport:
        """Return the next report; it is assumed to be sent now."""
        self._number += 1
        self._sent_at = now
        if self.pending_since is None:
            self.pending_since = now
        if wanted:
            self._asks[self._number] = (now, wanted)
        return QuotaReport(
            self._tenant,
            self._index,
            self.session,
            self._number,
            self.used,
            self.acknowledged,
            wanted,
            refused,
        )

    def accept(self, now: float, state: QuotaState) -> list[Permit]:
        """Apply an answer; return the permits that it carries."""
        if not state.number:
            self.restricted = True
            return []
        if state.session != self.session:
            return []
        asked_at, wanted = self._asks.pop(state.number, (now, 0))
        if state.permits or not state.restricted:
            self.replaced_at = -math.inf
        if state.number > self._heard_number:
            self._heard_number = state.number
            self.acknowledged = state.used
            self.restricted = state.restricted
            if state.permits < wanted:
                self.hold_until = now + state.hold_off_s
                self.wait_s = state.wait_s
            elif not state.restricted:
                self.wait_s = 0.0
            self.pending_since = None if state.number == self._number else now
        expires_at = asked_at + PERMIT_LIFETIME_S
        if expires_at <= now:
            self.used -= min(state.permits, wanted)
            return []
        return [Permit(expires_at, self, self.session)] * min(state.permits, wanted)

    def expire_asks(self, now: float) -> None:
        """Forget requests for permits that will not be answered in time."""
        for number, (asked_at, _) in list(self._asks.items()):
            if now - asked_at > ASK_MEMORY_S:
                del self._asks[number]

    def refund(self, session: int) -> None:
        """Return one use or permit of a session to the allocator."""
        if session == self.session:
            self.used -= 1
