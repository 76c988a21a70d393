"""State machine of an order log."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from geraniumbend.errors import ProtocolError
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

SNAPSHOT_FORMAT = 1
# Time for which the outcome of an order is kept after its end, on the journal's clock.
RETENTION_MS = 24 * 3600 * 1000
# Larger responses are not stored.
MAX_RESPONSE_BYTES = 256 * 1024
# Limits of one journal. All replicas have to apply commands in the same way, so these
# are constants rather than settings, which could differ between control hosts. An order
# without its response takes about 0.5 KiB of memory.
MAX_ORDERS = 200_000
MAX_TOTAL_RESPONSE_BYTES = 64 * 1024 * 1024
# Time for which a released token stays void, so that a delayed claim message cannot
# establish its claim again. Connections time out long before that. A token that is
# dropped too early can at worst block its key: its owner no longer runs the order.
VOID_TOKEN_RETENTION_MS = 15 * 60 * 1000
MAX_VOID_TOKENS = 100_000


class Result(NamedTuple):
    """Result of a command, or of reading the outcome for a claim.

    Parameters
    ----------
    state : str
        ``granted``, ``completed``, ``running``, ``unknown``, ``mismatch``,
        ``released``, ``full``, ``absent`` or ``advanced``.
    answer : bytes or None, default=None
        Stored response to a completed order.
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
        Digests of the caller's identity and of the request.
    token : str
        Token of the claim.
    owner : str
        Gateway that holds or held the claim.
    state : {"claimed", "lapsed", "abandoned", "completed"}
        The lease of a ``lapsed`` claim has expired; the owner of an ``abandoned`` one
        does not know whether the order ran. Both are reported as unknown, but only the
        owner of a lapsed claim may still release it as not run.
    until_ms : int
        End of the lease or of the retention, on the journal's clock.
    answer : bytes or None
        Stored response.
    """

    caller: bytes
    request: bytes
    token: str
    owner: str
    state: str
    until_ms: int
    answer: bytes | None = None


class OrderJournal:
    """Replicated state machine of one order log.

    Its clock is a counter that the leader advances by commands in the log. All replicas
    therefore expire the same orders, and a jump of the wall clock expires none.
    """

    def __init__(self) -> None:
        self.clock_ms = 0
        self._orders: dict[str, Order] = {}
        self._open_claims: dict[str, None] = {}
        self._retention_queue: deque[tuple[int, str]] = deque()
        self._response_sizes: OrderedDict[str, int] = OrderedDict()
        self._response_bytes = 0
        self._void_tokens: OrderedDict[str, int] = OrderedDict()
        self._callbacks: list[Callable[[str], None]] = []

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call a function with the key of each order whose state changes."""
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
        parsed = decode(structs.OrderCommand, command)
        if parsed.claim is not None:
            result = self._claim(parsed.claim)
        elif parsed.finish is not None:
            result = self._finish(parsed.finish)
        elif parsed.advance is not None:
            result = self._advance(parsed.advance.elapsed_ms)
        else:
            raise ProtocolError(
                f"order command {index} is of no known kind",
                "run the same version on all control hosts",
            )
        return encode(structs.OrderResult(**result._asdict()))

    def peek(self, claim: Any) -> Result | None:
        """Return the result of a claim that needs no command in the log.

        Parameters
        ----------
        claim : ClaimOrder
            Claim of a gateway.

        Returns
        -------
        Result or None
            None if the claim has to be proposed to the log, because the key is free or
            held by the same token, or because the token is void.
        """
        order = self._orders.get(claim.key)
        if order is None or claim.token in self._void_tokens:
            return None
        if (order.caller, order.request) != (claim.caller, claim.request):
            return Result("mismatch", None, "the key belongs to another request")
        if order.state == "claimed":
            return None if order.token == claim.token else Result("running")
        if order.state != "completed":
            return Result("unknown", None, "the outcome of the order is unknown")
        if order.answer is None:
            detail = "the order has run, but its response was not kept"
            return Result("unknown", None, detail)
        return Result("completed", order.answer)

    def choose_clock_period(self) -> float:
        """Return the period in s at which the clock has to advance, 0 if it need not.

        Leases expire within seconds, retention and void tokens within minutes or hours.
        """
        if self._open_claims:
            return 1.0
        return 30.0 if self._orders or self._void_tokens else 0.0

    def snapshot(self) -> bytes:
        """Return the whole state; equal states are encoded to equal bytes."""
        return msgspec.msgpack.encode(
            {
                "format": SNAPSHOT_FORMAT,
                "clock_ms": self.clock_ms,
                "orders": list(self._orders.items()),
                "open": list(self._open_claims),
                "retained": list(self._retention_queue),
                "answers": list(self._response_sizes),
                "void": list(self._void_tokens.items()),
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

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
        self._open_claims = dict.fromkeys(state["open"])
        self._retention_queue = deque(
            (until_ms, key) for until_ms, key in state["retained"]
        )
        self._response_sizes = OrderedDict(
            (key, len(self._orders[key].answer or b"")) for key in state["answers"]
        )
        self._response_bytes = sum(self._response_sizes.values())
        self._void_tokens = OrderedDict(
            (token, until) for token, until in state["void"]
        )
        for key in self._orders:
            self._notify(key)

    def dump(self) -> dict[str, Any]:
        """Return counters for the state dump."""
        return {
            "orders": len(self._orders),
            "open": len(self._open_claims),
            "answers_bytes": self._response_bytes,
            "void_tokens": len(self._void_tokens),
            "clock_ms": self.clock_ms,
        }

    def _claim(self, claim: Any) -> Result:
        if claim.token in self._void_tokens:
            return Result("released", None, "the claim was released")
        existing = self.peek(claim)
        if existing is not None:
            return existing
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
            self._open_claims[claim.key] = None
        return Result("granted")

    def _finish(self, finish: Any) -> Result:
        order = self._orders.get(finish.key)
        if order is None or order.token != finish.token:
            if finish.state == "released":
                self._void_token(finish.token)
                return Result("released")
            return Result("absent", None, "there is no such claim")
        if finish.state == "released":
            return self._release(finish.key, order)
        if order.state == "completed":
            return Result("completed")
        if finish.state == "completed":
            self._start_retention(finish.key, order, "completed")
            if finish.answer is not None and len(finish.answer) <= MAX_RESPONSE_BYTES:
                self._store_response(finish.key, order, finish.answer)
            return Result("completed")
        if order.state == "claimed":
            self._start_retention(finish.key, order, "abandoned")
        return Result("unknown")

    def _release(self, key: str, order: Order) -> Result:
        if order.state not in ("claimed", "lapsed"):
            return Result("unknown", None, "the order may have run")
        del self._orders[key]
        self._open_claims.pop(key, None)
        self._void_token(order.token)
        self._notify(key)
        return Result("released")

    def _start_retention(self, key: str, order: Order, state: str) -> None:
        order.state = state
        order.until_ms = self.clock_ms + RETENTION_MS
        self._open_claims.pop(key, None)
        self._retention_queue.append((order.until_ms, key))
        self._notify(key)

    def _store_response(self, key: str, order: Order, response: bytes) -> None:
        order.answer = response
        self._response_sizes[key] = len(response)
        self._response_bytes += len(response)
        while self._response_bytes > MAX_TOTAL_RESPONSE_BYTES:
            oldest, size = self._response_sizes.popitem(last=False)
            self._orders[oldest].answer = None
            self._response_bytes -= size

    def _void_token(self, token: str) -> None:
        self._void_tokens[token] = self.clock_ms + VOID_TOKEN_RETENTION_MS
        if len(self._void_tokens) > MAX_VOID_TOKENS:
            self._void_tokens.popitem(last=False)

    def _advance(self, elapsed_ms: int) -> Result:
        self.clock_ms += max(0, elapsed_ms)
        for key in list(self._open_claims):
            if self._orders[key].until_ms <= self.clock_ms:
                self._start_retention(key, self._orders[key], "lapsed")
        while self._retention_queue and self._retention_queue[0][0] <= self.clock_ms:
            until_ms, key = self._retention_queue.popleft()
            order = self._orders.get(key)
            if (
                order is not None
                and order.until_ms == until_ms
                and order.state != ("claimed")
            ):
                del self._orders[key]
                self._response_bytes -= self._response_sizes.pop(key, 0)
        while (
            self._void_tokens
            and next(iter(self._void_tokens.values())) <= self.clock_ms
        ):
            self._void_tokens.popitem(last=False)
        return Result("advanced")

    def _notify(self, key: str) -> None:
        for callback in self._callbacks:
            callback(key)
