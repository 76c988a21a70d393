"""RPC methods for orders at a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.configuration import Notifier
from geraniumbend.errors import UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.orders._journal import Result
from geraniumbend.orders._shards import choose_shard
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.orders._journal import OrderJournal
    from geraniumbend.ports import Log
    from geraniumbend.timers import Subscription, TimerService

CLOCK_PERIOD_S = 1.0
# A waiting claim is tried again this often, because a host that no longer leads the log
# may not be notified of changes.
RECHECK_PERIOD_S = 0.5
MAX_WAIT_S = 30.0

declare_event(
    700,
    "order_journal_full",
    "error",
    "Claims are refused because an order journal holds its maximum of orders.",
)


class OrderShard(NamedTuple):
    """One order log and its state machine.

    Parameters
    ----------
    log : Log
        Replica of the log in this process.
    journal : OrderJournal
        State machine of the log.
    """

    log: Log
    journal: OrderJournal


class OrderService:
    """Serves the RPC methods for claims and their ends on a control host.

    Parameters
    ----------
    shards : sequence of OrderShard
        Order logs, in the order of their shard numbers.
    timers : TimerService
        Source of time.
    """

    def __init__(self, shards: Sequence[OrderShard], timers: TimerService) -> None:
        self._shards = list(shards)
        self._timers = timers
        self._notifiers: dict[str, Notifier] = {}
        self._clock_advanced_at = [timers.now()] * len(self._shards)
        self._clock_subscription: Subscription | None = None
        self._blocked = ""
        for shard in self._shards:
            shard.journal.subscribe(self._notify_waiters)

    def register(self, server: RpcServer) -> None:
        """Register the RPC methods that gateways call."""
        server.handle("orders.claim")(self._claim)
        server.handle("orders.finish")(self._finish)

    def start(self) -> None:
        """Start to advance the clocks of the journals whose logs this process leads."""
        self._clock_subscription = self._timers.every(
            CLOCK_PERIOD_S, self.advance_clocks
        )

    def stop(self) -> None:
        """Stop advancing the clocks."""
        if self._clock_subscription is not None:
            self._clock_subscription.cancel()

    def block(self, reason: str) -> None:
        """Refuse all claims with a reason; an empty reason allows them again."""
        self._blocked = reason

    def dump(self) -> dict[str, Any]:
        """Return counters of all journals for the state dump."""
        return {
            f"orders-{number}": shard.journal.dump()
            for number, shard in enumerate(self._shards)
        }

    async def advance_clocks(self) -> None:
        """Propose the elapsed time to the logs that this process leads."""
        for number, shard in enumerate(self._shards):
            await self._advance_clock(number, shard)

    async def _advance_clock(self, number: int, shard: OrderShard) -> None:
        now = self._timers.now()
        elapsed_s = now - self._clock_advanced_at[number]
        period_s = shard.journal.choose_clock_period()
        if period_s == 0:
            self._clock_advanced_at[number] = now
            return
        if elapsed_s + CLOCK_PERIOD_S / 2 < period_s:
            return
        # Time without a leader is not counted; orders are then kept longer, which is
        # safe. A new leader counts at most one period that the old one also counted.
        self._clock_advanced_at[number] = now
        structs = load_structs("orders")
        advance = structs.AdvanceClock(elapsed_ms=int(elapsed_s * 1000))
        try:
            await shard.log.propose(encode(structs.OrderCommand(advance=advance)))
        except UnavailableError:
            return

    async def _claim(self, body: bytes) -> bytes:
        if self._blocked:
            raise UnavailableError(
                f"this control host accepts no orders: {self._blocked}",
                "correct its settings",
            )
        structs = load_structs("orders")
        request = decode(structs.ClaimRequest, body)
        claim = request.claim
        shard = self._shards[choose_shard(claim.key, len(self._shards))]
        limit_s = min(request.wait_ms / 1000, MAX_WAIT_S)
        deadline = self._timers.now() + limit_s
        while True:
            result = await self._try_claim(shard, claim)
            remaining_s = deadline - self._timers.now()
            if result.state != "running" or remaining_s <= 0:
                break
            await self._wait(claim.key, min(remaining_s, RECHECK_PERIOD_S))
        if result.state == "full":
            log_event(700, shard=choose_shard(claim.key, len(self._shards)))
        return self._encode(result)

    async def _try_claim(self, shard: OrderShard, claim: Any) -> Result:
        if shard.journal.peek(claim) is not None:
            await shard.log.read_barrier()
            result = shard.journal.peek(claim)
            if result is not None:
                return result
        structs = load_structs("orders")
        command = encode(structs.OrderCommand(claim=claim))
        return _decode(await shard.log.propose(command))

    async def _finish(self, body: bytes) -> bytes:
        structs = load_structs("orders")
        finish = decode(structs.FinishOrder, body)
        shard = self._shards[choose_shard(finish.key, len(self._shards))]
        command = encode(structs.OrderCommand(finish=finish))
        return self._encode(_decode(await shard.log.propose(command)))

    async def _wait(self, key: str, limit_s: float) -> None:
        notifier = self._notifiers.setdefault(key, Notifier(self._timers))
        try:
            await notifier.wait(limit_s)
        finally:
            if not notifier.waiters and self._notifiers.get(key) is notifier:
                del self._notifiers[key]

    def _notify_waiters(self, key: str) -> None:
        notifier = self._notifiers.get(key)
        if notifier is not None:
            notifier.notify()

    def _encode(self, result: Result) -> bytes:
        structs = load_structs("orders")
        return encode(structs.OrderResult(**result._asdict(), shards=len(self._shards)))


def _decode(data: bytes) -> Result:
    result = decode(load_structs("orders").OrderResult, data)
    return Result(result.state, result.answer, result.detail)
