"""Invariants that the soak checks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from bench._soak_servers import Run, expected_body

if TYPE_CHECKING:
    from bench._soak_servers import SoakServer

# Time after the acknowledgement of its draining in which a server may still get new
# requests.
DRAIN_GRACE_S = 2.0
# Time after a pause of a process in which it may still forward requests that it
# accepted before the pause; these do not violate `DRAIN_GRACE_S`.
PAUSE_GRACE_S = 5.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(NamedTuple):
    """Observed violation of an invariant.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    detail : str
        Observation that contradicts it.
    """

    invariant: str
    detail: str


class InvariantChecker:
    """Records requests, runs and responses, and checks the invariants of the system.

    The invariants are ``unsent_request`` (a server runs only requests that were sent),
    ``duplicate_run`` (an unsafe request runs at most once), ``refused`` (a request that
    was refused as not run does not run), ``wrong_response`` (a caller gets the whole
    response to its own request) and ``drain`` (a draining server gets no new requests).
    `Soak` also reports ``configuration``, ``recovery``, ``shutdown``, ``reload`` (a
    process that has started outlasts SIGHUP), ``limit`` (a server gets no more than
    the limit that it names allows), ``key`` (nothing runs with a key that is unknown or
    removed), ``key_leak`` (no key reaches a server), ``tenant`` (a server gets the
    right tenant), ``unauthenticated`` (a configured key is accepted), ``quota``,
    ``evacuation`` and ``cold``.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.runs: dict[str, list[Run]] = {}
        self.statuses: Counter[str] = Counter()
        self.paused_at_s = float("-inf")
        self._sent: dict[str, str] = {}
        self._refused: dict[str, int] = {}

    def record_run(self, run: Run) -> None:
        """Record a run at a server and check it."""
        runs = self.runs.setdefault(run.request_id, [])
        runs.append(run)
        sent = self._sent.get(run.request_id)
        if sent != run.target:
            self.report("unsent_request", f"{run} differs from the sent {sent}")
        if len(runs) > 1 and "/unsafe/" in run.target:
            self.report("duplicate_run", f"{runs}")
        if run.request_id in self._refused:
            self.report(
                "refused", f"{run} after status {self._refused[run.request_id]}"
            )

    def record_sent(self, request_id: str, target: str) -> None:
        """Record a request; call this before it is sent."""
        self._sent[request_id] = target

    def record_response(self, request_id: str, status: int, body: str) -> None:
        """Record and check a response; status 0 is no response."""
        target = self._sent[request_id]
        self.statuses[f"{status} {target.split('/')[1]}"] += 1
        if status == 200 and body != expected_body(request_id, target):
            self.report("wrong_response", f"{request_id} {target} got {body[:80]!r}")
        if status not in NOT_RUN_STATUSES:
            return
        runs = self.runs.get(request_id)
        if not runs:
            self._refused[request_id] = status
        elif "/unsafe/" in target:
            # The status of a server that has run a safe request is passed on.
            self.report("refused", f"status {status} despite {runs}")

    def find_server(self, request_id: str) -> str:
        """Return the server at which a request last began to run, empty if at none."""
        runs = self.runs.get(request_id)
        return runs[-1].server_id if runs else ""

    def check_drained(self, servers: list[SoakServer]) -> None:
        """Report runs that began more than `DRAIN_GRACE_S` after draining was known."""
        for server in servers:
            grace_end_s = server.drained_at_s + DRAIN_GRACE_S
            for runs in self.runs.values():
                for run in runs:
                    is_late = (
                        run.server_id == server.server_id
                        and run.started_s > grace_end_s
                    )
                    if is_late and run.started_s > self.paused_at_s + PAUSE_GRACE_S:
                        self.report(
                            "drain", f"{run}, draining since {server.drained_at_s}"
                        )

    def report(self, invariant: str, detail: str) -> None:
        """Record the violation of an invariant."""
        self.violations.append(Violation(invariant, detail))
