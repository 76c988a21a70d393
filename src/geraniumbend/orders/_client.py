from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.errors import (
    GeraniumbendError,
    NotLeaderError,
    RefusedError,
    UnavailableError,
)
from geraniumbend.logs import declare_event, log_event
from geraniumbend.orders._journal import MAX_ANSWER_BYTES
from geraniumbend.orders._shards import choose_shard
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.ports import RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

ATTEMPT_TIMEOUT_S = 0.8
WAIT_SLICE_S = 1.0
RETRY_DELAY_S = 0.03
LEASE_GRACE_S = 2.0
# How long a caller's answer waits for the journal, and how long the end of a claim
# is sent again at the side afterwards.
FINISH_LIMIT_S = 3.0
FINISH_ATTEMPTS_S = 600.0

declare_event(
    710,
    "order_end_not_recorded",
    "error",
    "The end of a claim could not be recorded; its outcome is unknown to retries.",
)


class Claim(NamedTuple):
    """Answer of the journal to a claim.

    Parameters
    ----------
    state : {"granted", "completed", "running", "unknown", "mismatch"}
        Only a granted order may go to a backend server.
    key : str
        Key of the order.
    token : str
        Token that ends the claim.
    answer : bytes or None, default=None
        Stored answer of a completed order.
    detail : str, default=""
        Reason, for the caller's problem document.
    """

    state: str
    key: str
    token: str
    answer: bytes | None = None
    detail: str = ""


class _Attempt:
    """Progress of a claim.

    A message whose answer was lost makes it uncertain: the message may still be
    recorded, even after a later message of the same claim was answered.
    """

    def __init__(self) -> None:
        self.uncertain = False
        self.result: Any = None

    @property
    def state(self) -> str:
        return self.result.state if self.result is not None else ""


class OrderClient:
    """Claims keys for a gateway and reports how orders ended.

    Parameters
    ----------
    hosts : list of str
        Peer addresses of control hosts.
    clients : RpcCaller
        Calls to control hosts.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self, hosts: list[str], clients: RpcCaller, timers: TimerService
    ) -> None:
        self._hosts = list(hosts)
        self._clients = clients
        self._timers = timers
        self._shards = 1
        self._leaders: dict[int, str] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(
        cls, settings: Settings, clients: RpcCaller, timers: TimerService
    ) -> OrderClient:
        """Build the client of a gateway from the process's settings."""
        return cls(settings.gateway.control, clients, timers)

    async def claim(
        self,
        key: str,
        caller_digest: bytes | str,
        request_digest: bytes | str,
        owner: str,
        deadline_s: float,
    ) -> Claim:
        """Claim a key; a running order of the same key is waited for.

        Parameters
        ----------
        key : str
            Key that the caller sent.
        caller_digest, request_digest : bytes or str
            Digests of the caller and of the request.
        owner : str
            Name of this gateway.
        deadline_s : float
            Seconds left for the caller's request.

        Returns
        -------
        Claim
            Answer of a majority.

        Raises
        ------
        RefusedError
            If no majority answered in time. The order has not run; a claim that may
            have been recorded is released at the side.
        """
        structs = load_structs("orders")
        wanted = structs.ClaimOrder(
            key=key,
            caller=_to_bytes(caller_digest),
            request=_to_bytes(request_digest),
            token=uuid.uuid4().hex,
            owner=owner,
            lease_ms=int((deadline_s + LEASE_GRACE_S) * 1000),
        )
        attempt = _Attempt()
        try:
            await self._claim_until(wanted, self._timers.now() + deadline_s, attempt)
        finally:
            if attempt.uncertain and attempt.state != "granted":
                self._finish_aside(key, wanted.token, "released")
        result = attempt.result
        if result is None or result.state in ("released", "full"):
            detail = result.detail if result is not None else "no majority answered"
            raise RefusedError(
                f"this request has not run: {detail}",
                "send it again with the same key; the key tells whether an earlier "
                "request has run",
                kind="orders_unavailable",
                retry_after_s=1.0,
            )
        return Claim(result.state, key, wanted.token, result.answer, result.detail)

    async def complete(self, claim: Claim, answer: bytes) -> None:
        """Record the answer of an order that has run.

        Parameters
        ----------
        claim : Claim
            Granted claim.
        answer : bytes
            Answer; above 256 KiB only the completion is recorded.

        Raises
        ------
        UnavailableError
            If no majority recorded it in 3 s; it is then sent again at the side.
        """
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else None
        await self._finish(claim, "completed", kept)

    async def release(self, claim: Claim) -> None:
        """Give a claim back whose order provably has not run; see `complete`."""
        await self._finish(claim, "released")

    async def abandon(self, claim: Claim) -> None:
        """Record that it is unknown whether an order has run; see `complete`."""
        await self._finish(claim, "unknown")

    async def stop(self) -> None:
        """Cancel what is still sent at the side."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _claim_until(
        self, wanted: Any, deadline: float, attempt: _Attempt
    ) -> None:
        structs = load_structs("orders")
        while True:
            remaining_s = deadline - self._timers.now()
            if remaining_s <= 0:
                return
            wait_ms = int(1000 * min(max(remaining_s - 0.1, 0.0), WAIT_SLICE_S))
            request = structs.ClaimRequest(claim=wanted, wait_ms=wait_ms)
            timeout_s = min(remaining_s, wait_ms / 1000 + ATTEMPT_TIMEOUT_S)
            before, attempt.uncertain = attempt.uncertain, True
            try:
                attempt.result = await self._call(
                    "orders.claim", wanted.key, encode(request), timeout_s
                )
                attempt.uncertain = before
            except GeraniumbendError as error:
                if isinstance(error, NotLeaderError):
                    attempt.uncertain = before
                await self._timers.sleep(random.uniform(0.5, 1.5) * RETRY_DELAY_S)
                continue
            # Without time left to wait, asking again at once would only be a busy loop.
            if attempt.state != "running" or wait_ms == 0:
                return

    async def _finish(
        self, claim: Claim, state: str, answer: bytes | None = None
    ) -> None:
        task = self._finish_aside(claim.key, claim.token, state, answer)
        expiry = asyncio.ensure_future(self._timers.sleep(FINISH_LIMIT_S))
        try:
            await asyncio.wait([task, expiry], return_when=asyncio.FIRST_COMPLETED)
        finally:
            expiry.cancel()
        if not task.done() or task.cancelled() or not task.result():
            raise UnavailableError(
                f"the journal has not recorded that the order is {state}",
                "a retry of the order is answered as unknown until it is recorded",
            )

    def _finish_aside(
        self, key: str, token: str, state: str, answer: bytes | None = None
    ) -> asyncio.Task[bool]:
        task = asyncio.ensure_future(self._send_finish(key, token, state, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send_finish(
        self, key: str, token: str, state: str, answer: bytes | None
    ) -> bool:
        structs = load_structs("orders")
        finish = structs.FinishOrder(key=key, token=token, state=state, answer=answer)
        deadline = self._timers.now() + FINISH_ATTEMPTS_S
        delay_s = RETRY_DELAY_S
        while self._timers.now() < deadline:
            try:
                result = await self._call(
                    "orders.finish", key, encode(finish), ATTEMPT_TIMEOUT_S
                )
            except GeraniumbendError:
                await self._timers.sleep(random.uniform(0.5, 1.5) * delay_s)
                delay_s = min(delay_s * 1.5, 1.0)
                continue
            return bool(result.state == state)
        log_event(710, key=key, state=state)
        return False

    async def _call(self, method: str, key: str, body: bytes, timeout_s: float) -> Any:
        shard = choose_shard(key, self._shards)
        host = self._leaders.get(shard) or random.choice(self._hosts)
        try:
            answer = await self._clients.call(host, method, body, timeout_s)
        except NotLeaderError as error:
            self._leaders.pop(shard, None)
            if error.leader:
                self._leaders[shard] = error.leader
            raise
        except UnavailableError:
            self._leaders.pop(shard, None)
            raise
        result = decode(load_structs("orders").OrderResult, answer)
        if result.shards != self._shards:
            self._shards = result.shards
            self._leaders.clear()
        self._leaders[choose_shard(key, self._shards)] = host
        return result


def _to_bytes(digest: bytes | str) -> bytes:
    return digest.encode() if isinstance(digest, str) else digest
