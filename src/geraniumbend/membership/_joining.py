from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import random

    from geraniumbend.membership._sync import AntiEntropy
    from geraniumbend.timers import TimerService

# The next seed is asked after this time in seconds without an answer, beside the ones
# that were asked before; a seed without power never answers.
STAGGER_S = 0.25
# Pause between the rounds over all seeds, in seconds. It doubles up to the limit, since
# seeds that start with this process listen within tenths of a second.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
ROUNDS = 20


class Joining:
    """Takes the state of the cluster from the first seed that answers.

    Parameters
    ----------
    sync : AntiEntropy
        Asks one seed.
    timers : TimerService
        Clock.
    rng : random.Random
        Order of the seeds and length of the pauses.

    Attributes
    ----------
    joined : bool
        A seed has answered, or there is none to ask.
    """

    def __init__(
        self, sync: AntiEntropy, timers: TimerService, rng: random.Random
    ) -> None:
        self.joined = False
        self._sync = sync
        self._timers = timers
        self._rng = rng
        self._running: asyncio.Task[None] | None = None

    async def start(self, seeds: list[str], patience_s: float) -> None:
        """Join, and return once that is done or was waited for long enough.

        Parameters
        ----------
        seeds : list of str
            Peer addresses.
        patience_s : float
            Longest wait in seconds; seeds are asked further in the background.
        """
        if not seeds:
            self.joined = True
            return
        first_round: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._running = asyncio.ensure_future(self._run(seeds, first_round))
        pause = asyncio.ensure_future(self._timers.sleep(patience_s))
        try:
            await asyncio.wait(
                {first_round, pause}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            pause.cancel()

    def stop(self) -> None:
        """Ask no further seeds."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self, seeds: list[str], first_round: asyncio.Future[None]) -> None:
        pause_s = FIRST_PAUSE_S
        for _ in range(ROUNDS):
            self.joined = await self._ask(seeds)
            if not first_round.done():
                first_round.set_result(None)
            if self.joined:
                return
            await self._timers.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _ask(self, seeds: list[str]) -> bool:
        """Ask the seeds one after the other; whether one has answered."""
        waiting = self._rng.sample(seeds, len(seeds))
        asked: set[asyncio.Future[Any]] = set()
        try:
            while waiting or asked:
                if waiting:
                    asking = self._sync.run([waiting.pop()], False, budgeted=False)
                    asked.add(asyncio.ensure_future(asking))
                pause: asyncio.Future[Any] = asyncio.ensure_future(
                    self._timers.sleep(STAGGER_S)
                )
                done, _ = await asyncio.wait(
                    asked | {pause} if waiting else asked,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                pause.cancel()
                answered = asked & done
                asked -= answered
                if any(task.result() for task in answered):
                    return True
            return False
        finally:
            for task in asked:
                task.cancel()
