"""Transfer of the cluster state to a node that joins."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from geraniumbend.tasks import spawn_task

if TYPE_CHECKING:
    import random

    from geraniumbend.membership._anti_entropy import AntiEntropy
    from geraniumbend.timers import TimerService

# Time in seconds without a response after which the next seed is contacted in parallel.
# A seed on a host without power never responds.
SEED_STAGGER_S = 0.25
# Pause between rounds over all seeds, in seconds; it doubles up to the limit. The first
# is short because seeds that start with this process listen within tenths of a second.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5


class ClusterJoiner:
    """Fetches the state of the cluster from the first seed that responds.

    Parameters
    ----------
    anti_entropy : AntiEntropy
        Synchronises with a seed.
    timers : TimerService
        Clock.
    rng : random.Random
        Chooses the order of the seeds and the length of the pauses.

    Attributes
    ----------
    joined : bool
        Whether a seed has responded, or no seeds are set.
    """

    def __init__(
        self, anti_entropy: AntiEntropy, timers: TimerService, rng: random.Random
    ) -> None:
        self.joined = False
        self._anti_entropy = anti_entropy
        self._timers = timers
        self._rng = rng
        self._task: asyncio.Task[None] | None = None

    async def start(self, seeds: list[str], max_wait_s: float) -> None:
        """Join; return after the first round over the seeds or the longest wait.

        Parameters
        ----------
        seeds : list of str
            Peer addresses.
        max_wait_s : float
            Longest wait in seconds; further attempts run in the background.
        """
        if not seeds:
            self.joined = True
            return
        first_round: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._task = spawn_task(self._run(seeds, first_round))
        timeout = asyncio.ensure_future(self._timers.sleep(max_wait_s))
        try:
            await asyncio.wait(
                {first_round, timeout}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timeout.cancel()

    def stop(self) -> None:
        """Cancel further attempts."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, seeds: list[str], first_round: asyncio.Future[None]) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while not self.joined:
            self.joined = await self._try_seeds(seeds)
            if not first_round.done():
                first_round.set_result(None)
            if self.joined:
                return
            await self._timers.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _try_seeds(self, seeds: list[str]) -> bool:
        """Contact the seeds one after another; return whether one has responded."""
        remaining = self._rng.sample(seeds, len(seeds))
        pending: set[asyncio.Future[Any]] = set()
        try:
            while remaining or pending:
                if remaining:
                    attempt = self._anti_entropy.run(
                        [remaining.pop()], False, budgeted=False
                    )
                    pending.add(asyncio.ensure_future(attempt))
                timeout: asyncio.Future[Any] = asyncio.ensure_future(
                    self._timers.sleep(SEED_STAGGER_S)
                )
                done, _ = await asyncio.wait(
                    pending | {timeout} if remaining else pending,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                timeout.cancel()
                responded = pending & done
                pending -= responded
                if any(task.result() for task in responded):
                    return True
            return False
        finally:
            for task in pending:
                task.cancel()
