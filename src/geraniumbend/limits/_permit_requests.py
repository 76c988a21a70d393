"""Requests for permits on behalf of callers' requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from geraniumbend.limits._limit_table import LimitTable
    from geraniumbend.limits._permit_exchange import PermitExchange
    from geraniumbend.timers import TimerService

# Longest wait of a caller's request for permits, in seconds: some round trips.
PERMIT_WAIT_S = 0.02
# Servers for which one caller's request asks for permits.
MAX_SERVERS_ASKED = 2
# Rounds in which a request asks for permits of cold servers. Without an upper limit, an
# overloaded group would cost as many messages for each request as it has servers.
MAX_ROUNDS = 3


class PermitRequests:
    """Asks for permits that a caller's request needs.

    Parameters
    ----------
    exchange : PermitExchange
        Exchanges permits with the allocators.
    table : LimitTable
        Known limits.
    timers : TimerService
        Clock.
    rng : random.Random
        Spreads the requests of all gateways over cold servers.
    """

    def __init__(
        self,
        exchange: PermitExchange,
        table: LimitTable,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._exchange = exchange
        self._table = table
        self._timers = timers
        self._rng = rng

    async def request(self, server_ids: Iterable[str], has_alternative: bool) -> None:
        """Ask for permits; see `ServerLimits.request_permits`."""
        unasked = self._spread_cold(server_ids)
        cold = [name for name in unasked if self._is_cold(name)]
        if any(self._has_permit(name) for name in cold):
            return
        timeout: asyncio.Future[None] | None = None
        for _ in range(MAX_ROUNDS):
            answers = self._ask_some(unasked, has_alternative)
            waiting = {answer for answer in answers if not answer.done()}
            if waiting:
                timeout = timeout or asyncio.ensure_future(
                    self._timers.sleep(PERMIT_WAIT_S)
                )
                await asyncio.wait(
                    {*waiting, timeout}, return_when=asyncio.FIRST_COMPLETED
                )
            # A group that is cold as a whole has many servers with few permits each.
            unasked = [name for name in unasked if self._is_cold(name)]
            is_late = timeout is not None and timeout.done()
            if has_alternative or is_late or not unasked:
                break
            if any(self._has_permit(name) for name in cold):
                break
        if timeout is not None:
            timeout.cancel()

    def _spread_cold(self, server_ids: Iterable[str]) -> list[str]:
        """Return servers with the cold ones last and in random order.

        All gateways know the servers in the same order. Without this, they would ask
        for the permits of the first cold ones only.
        """
        names = list(server_ids)
        cold = [name for name in names if self._is_cold(name)]
        if cold:
            self._rng.shuffle(cold)
            names = [name for name in names if not self._is_cold(name)] + cold
        return names

    def _ask_some(
        self, unasked: list[str], has_alternative: bool
    ) -> list[asyncio.Future[None]]:
        """Ask for permits of the first servers of a list, which are removed from it.

        Returns
        -------
        list of asyncio.Future
            Answers to wait for. A request with an alternative waits for no permit of a
            cold server; what arrives is used by the next request.
        """
        answers: list[asyncio.Future[None]] = []
        asked = 0
        while unasked and asked < MAX_SERVERS_ASKED:
            server_id = unasked.pop(0)
            known = self._table.get(server_id)
            if known is None or known.count_permits():
                continue
            was_waiting = known.is_waiting()
            answer = self._exchange.ask(server_id, known)
            if answer is None:
                continue
            if known.is_cold and has_alternative:
                asked += 1
            elif not (has_alternative and was_waiting):
                asked += 1
                answers.append(answer)
        return answers

    def _is_cold(self, server_id: str) -> bool:
        known = self._table.get(server_id)
        return known is not None and known.is_cold

    def _has_permit(self, server_id: str) -> bool:
        known = self._table.get(server_id)
        return known is not None and known.count_permits() > 0
