from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from geraniumbend.errors import ProtocolError
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

SNAPSHOT_FORMAT = 1
RETENTION_MS = 24 * 3600 * 1000
MAX_ANSWER_BYTES = 256 * 1024
# Limits of one journal. They are part of the replicated state's rules, so they are
# constants and no settings that could differ between hosts. An order without its
# answer takes about 0.5 KiB.
MAX_ORDERS = 200_000
MAX_ANSWERS_BYTES = 64 * 1024 * 1024
# A claim message that is still on its way when its token is released must not
# establish the claim afterwards; connections give up much earlier than this. A token
# that is dropped too early can only block its key, because its owner runs nothing.
VOID_MS = 15 * 60 * 1000
MAX_VOID = 100_000


class Result(NamedTuple):
    """Result of a claim or of its end.

    Parameters
    ----------
    state : str
        ``granted``, ``completed``, ``running``, ``unknown``, ``mismatch``,
        ``released``, ``full`` or ``absent``.
    answer : bytes or None, default=None
        Stored answer of a completed order.
    detail : str, default=""
        Reason, for the caller's problem document.
    """

    state: str
    answer: bytes | None = None
    detail: str = ""


class Order(msgspec.Struct, array_like=True):
    """State of one key.

    Parameters
    ----------
    caller, request : bytes
        Digests of the caller and of the request.
    token : str
        Token of the claim.
    owner : str
        Gateway that holds or held the claim.
    state : {"claimed", "lapsed", "abandoned", "completed"}
        ``lapsed`` and ``abandoned`` are both reported as unknown; only the owner
        of a lapsed claim may still prove that it did not run.
    until_ms : int
        End of the lease or of the retention, on the journal's clock.
    answer : bytes or None
        Stored answer.
    """

    caller: bytes
    request: bytes
    token: str
    owner: str
    state: str
    until_ms: int
    answer: bytes | None = None


class OrderJournal:
    """State machine of one order log.

    Time is a counter that the leader advances by entries of the log, so that all
    replicas expire the same orders, and a wall clock that jumps expires none.
    """

    def __init__(self) -> None:
        self.clock_ms = 0
        self._orders: dict[str, Order] = {}
        self._open: dict[str, None] = {}
        self._retained: deque[tuple[int, str]] = deque()
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answers_bytes = 0
        self._void: OrderedDict[str, int] = OrderedDict()
        self._callbacks: list[Callable[[str], None]] = []

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the key of each order whose state changed."""
        self._callbacks.append(callback)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command; see `StateMachine.apply`.

        Parameters
        ----------
        index : int
            Index of the command in the log.
        command : bytes
            Thrift struct ``OrderCommand``.

        Returns
        -------
        bytes
            Thrift struct ``OrderResult``.
        """
        structs = load_structs("orders")
        wanted = decode(structs.OrderCommand, command)
        if wanted.claim is not None:
            result = self._claim(wanted.claim)
        elif wanted.finish is not None:
            result = self._finish(wanted.finish)
        elif wanted.advance is not None:
            result = self._advance(wanted.advance.elapsed_ms)
        else:
            raise ProtocolError(
                f"order command {index} has no known member",
                "run the same version on all control hosts",
            )
        return encode(structs.OrderResult(**result._asdict()))

    def look(self, claim: Any) -> Result | None:
        """Return what a claim would get if the log did not grow, None if it has to.

        Parameters
        ----------
        claim : ClaimOrder
            Claim of a gateway.

        Returns
        -------
        Result or None
            None when the key is free or held by the same token.
        """
        order = self._orders.get(claim.key)
        if order is None or claim.token in self._void:
            return None
        if (order.caller, order.request) != (claim.caller, claim.request):
            return Result("mismatch", None, "the key belongs to another request")
        if order.state == "claimed":
            return None if order.token == claim.token else Result("running")
        if order.state != "completed":
            return Result("unknown", None, "the outcome of the order is unknown")
        if order.answer is None:
            detail = "the order has run, but its answer is not kept"
            return Result("unknown", None, detail)
        return Result("completed", order.answer)

    def needs_clock(self) -> float:
        """Return the period in seconds at which the clock has to advance, or 0."""
        if self._open:
            return 1.0
        return 30.0 if self._orders or self._void else 0.0

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            {
                "format": SNAPSHOT_FORMAT,
                "clock_ms": self.clock_ms,
                "orders": list(self._orders.items()),
                "open": list(self._open),
                "retained": list(self._retained),
                "answers": list(self._answers),
                "void": list(self._void.items()),
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by the output of `snapshot`.

        Raises
        ------
        ProtocolError
            If the snapshot has an unknown format.
        """
        state = msgspec.msgpack.decode(data)
        if state.get("format") != SNAPSHOT_FORMAT:
            raise ProtocolError(
                f"order snapshot has format {state.get('format')!r}",
                "run the same version on all control hosts",
            )
        self.clock_ms = state["clock_ms"]
        self._orders = {
            key: msgspec.convert(order, Order) for key, order in state["orders"]
        }
        self._open = dict.fromkeys(state["open"])
        self._retained = deque((until_ms, key) for until_ms, key in state["retained"])
        self._answers = OrderedDict(
            (key, len(self._orders[key].answer or b"")) for key in state["answers"]
        )
        self._answers_bytes = sum(self._answers.values())
        self._void = OrderedDict((token, until) for token, until in state["void"])
        for key in self._orders:
            self._notify(key)

    def dump(self) -> dict[str, Any]:
        """Return counters for the state dump."""
        return {
            "orders": len(self._orders),
            "open": len(self._open),
            "answers_bytes": self._answers_bytes,
            "void_tokens": len(self._void),
            "clock_ms": self.clock_ms,
        }

    def _claim(self, claim: Any) -> Result:
        if claim.token in self._void:
            return Result("released", None, "the claim was given up")
        known = self.look(claim)
        if known is not None:
            return known
        if claim.key not in self._orders:
            if len(self._orders) >= MAX_ORDERS:
                return Result("full", None, "the order journal is full")
            self._orders[claim.key] = Order(
                claim.caller,
                claim.request,
                claim.token,
                claim.owner,
                "claimed",
                self.clock_ms + claim.lease_ms,
            )
            self._open[claim.key] = None
        return Result("granted")

    def _finish(self, finish: Any) -> Result:
        order = self._orders.get(finish.key)
        if order is None or order.token != finish.token:
            if finish.state == "released":
                self._void_token(finish.token)
                return Result("released")
            return Result("absent", None, "the claim is not held")
        if finish.state == "released":
            return self._release(finish.key, order)
        if order.state == "completed":
            return Result("completed")
        if finish.state == "completed":
            self._retain(finish.key, order, "completed")
            if finish.answer is not None and len(finish.answer) <= MAX_ANSWER_BYTES:
                self._keep_answer(finish.key, order, finish.answer)
            return Result("completed")
        if order.state == "claimed":
            self._retain(finish.key, order, "abandoned")
        return Result("unknown")

    def _release(self, key: str, order: Order) -> Result:
        if order.state not in ("claimed", "lapsed"):
            return Result("unknown", None, "the order may have run")
        del self._orders[key]
        self._open.pop(key, None)
        self._void_token(order.token)
        self._notify(key)
        return Result("released")

    def _retain(self, key: str, order: Order, state: str) -> None:
        order.state = state
        order.until_ms = self.clock_ms + RETENTION_MS
        self._open.pop(key, None)
        self._retained.append((order.until_ms, key))
        self._notify(key)

    def _keep_answer(self, key: str, order: Order, answer: bytes) -> None:
        order.answer = answer
        self._answers[key] = len(answer)
        self._answers_bytes += len(answer)
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            oldest, size = self._answers.popitem(last=False)
            self._orders[oldest].answer = None
            self._answers_bytes -= size

    def _void_token(self, token: str) -> None:
        self._void[token] = self.clock_ms + VOID_MS
        if len(self._void) > MAX_VOID:
            self._void.popitem(last=False)

    def _advance(self, elapsed_ms: int) -> Result:
        self.clock_ms += max(0, elapsed_ms)
        for key in list(self._open):
            if self._orders[key].until_ms <= self.clock_ms:
                self._retain(key, self._orders[key], "lapsed")
        while self._retained and self._retained[0][0] <= self.clock_ms:
            until_ms, key = self._retained.popleft()
            order = self._orders.get(key)
            if (
                order is not None
                and order.until_ms == until_ms
                and order.state != ("claimed")
            ):
                del self._orders[key]
                self._answers_bytes -= self._answers.pop(key, 0)
        while self._void and next(iter(self._void.values())) <= self.clock_ms:
            self._void.popitem(last=False)
        return Result("advanced")

    def _notify(self, key: str) -> None:
        for callback in self._callbacks:
            callback(key)
