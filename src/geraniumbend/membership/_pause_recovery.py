"""Detection of pauses of the process, and what follows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._anti_entropy import AntiEntropy
    from geraniumbend.membership._failure_detector import FailureDetector
    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import MemberTable
    from geraniumbend.membership._server_directory import ServerDirectory
    from geraniumbend.timers import Subscription, TimerService

# A process that did not run for this long may have been declared dead meanwhile: the
# fastest peer needs one probe period and the suspicion timeout, 2.5 s together.
MIN_PAUSE_S = 2.0
RECOVERY_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.5
# Interval in seconds at which a request checks whether the recovery has ended.
RECOVERY_POLL_S = 0.005

declare_event(
    808,
    "process_paused",
    "warning",
    "This process did not run for some seconds; check its host for pauses.",
)


class PauseRecovery:
    """Detects pauses of this process and synchronises with peers after each.

    Until it has synchronised, the process neither spreads nor expires records, since
    its records are as old as the pause is long.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    detector : FailureDetector
        Pending probes and suspicion timeouts.
    gossip : Gossip
        Queued changes.
    servers : ServerDirectory
        Leases of backend servers.
    anti_entropy : AntiEntropy
        Synchronises with a peer.
    list_peers : callable
        Returns addresses to synchronise with.
    timers : TimerService
        Clock.

    Attributes
    ----------
    count : int
        Number of pauses so far.
    recovering : bool
        Whether the synchronisation after a pause is not finished.
    """

    def __init__(
        self,
        members: MemberTable,
        detector: FailureDetector,
        gossip: Gossip,
        servers: ServerDirectory,
        anti_entropy: AntiEntropy,
        list_peers: Callable[[], list[str]],
        timers: TimerService,
    ) -> None:
        self.count = 0
        self.recovering = False
        self._members = members
        self._failure_detector = detector
        self._gossip = gossip
        self._server_directory = servers
        self._anti_entropy = anti_entropy
        self._list_peers = list_peers
        self._timers = timers
        self._last_ran = timers.now()
        self._recovery: Subscription | None = None

    def start(self) -> None:
        """Detect pauses from now on."""
        self._last_ran = self._timers.now()

    def stop(self) -> None:
        """Cancel a running recovery."""
        if self._recovery is not None:
            self._recovery.cancel()

    def check_not_paused(self) -> bool:
        """Start a recovery after a long pause; return whether there was none."""
        now = self._timers.now()
        paused_s = now - self._last_ran
        last_ran, self._last_ran = self._last_ran, now
        if paused_s <= MIN_PAUSE_S:
            return True
        self.count += 1
        log_event(808, seconds=round(paused_s, 3))
        self._failure_detector.cancel_probes()
        self._failure_detector.restart_suspicions()
        self._gossip.clear_queue()
        self._server_directory.set_deadlines_from(last_ran)
        self._members.raise_incarnation()
        self._start_recovery()
        return False

    async def wait_recovered(self, max_wait_s: float) -> bool:
        """Wait for the end of the recovery if this process was paused.

        Parameters
        ----------
        max_wait_s : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether the records are as recent as those of the peers.
        """
        self.check_not_paused()
        end_s = self._timers.now() + max_wait_s
        while self.recovering and self._timers.now() < end_s:
            await self._timers.sleep(RECOVERY_POLL_S)
        return not self.recovering

    def _start_recovery(self) -> None:
        self.recovering = True
        self._anti_entropy.serving = False
        self.stop()
        self._recovery = self._timers.after(0.0, self._recover)

    async def _recover(self) -> None:
        deadline = self._timers.now() + RECOVERY_TIMEOUT_S
        while not await self._anti_entropy.run(
            self._list_peers(), True, budgeted=False
        ):
            if self._timers.now() >= deadline:
                break
            await self._timers.sleep(RETRY_DELAY_S)
        self._server_directory.keep_servers_of_live_holders()
        # Requests that wait for the recovery choose from the servers delivered here.
        self._server_directory.deliver_changes()
        self.recovering = False
        self._anti_entropy.serving = True
