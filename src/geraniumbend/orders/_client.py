"""Claims of order keys by a gateway."""

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
from geraniumbend.orders._journal import MAX_RESPONSE_BYTES
from geraniumbend.orders._shards import choose_shard
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from geraniumbend.ports import RpcCaller
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService

# Timeout of one call to a control host, besides the time that it lets a claim wait.
ATTEMPT_TIMEOUT_S = 0.8
# Longest time that one call lets a claim wait for a running order with the same key.
LONG_POLL_S = 1.0
RETRY_DELAY_S = 0.03
# Time by which the lease of a claim outlasts the deadline of its request.
LEASE_GRACE_S = 2.0
# Longest time that a caller's response waits until the journal has recorded the end of
# the claim.
FINISH_WAIT_S = 3.0
# Time for which the end of a claim is sent again in the background.
FINISH_RETRY_S = 600.0

declare_event(
    710,
    "order_end_not_recorded",
    "error",
    "The end of a claim could not be recorded; retries of its order get unknown.",
)


class Claim(NamedTuple):
    """Result of a claim, with the token that ends it.

    Parameters
    ----------
    state : {"granted", "completed", "running", "unknown", "mismatch"}
        Only the order of a granted claim may be sent to a backend server.
    key : str
        Key of the order.
    token : str
        Token that identifies the claim when it is ended.
    response : bytes or None, default=None
        Stored response to a completed order.
    detail : str, default=""
        Reason, for the caller's problem document.
    """

    state: str
    key: str
    token: str
    response: bytes | None = None
    detail: str = ""


class _ClaimProgress:
    """Progress of a claim.

    Attributes
    ----------
    has_unanswered_message : bool
        Whether a message of this claim has got no response, because it is on its way or
        the response was lost. Such a message may still be recorded, even after the
        response to a later message of the claim.
    result : OrderResult or None
        Last result from a control host.
    """

    def __init__(self) -> None:
        self.has_unanswered_message = False
        self.result: Any = None

    @property
    def state(self) -> str:
        return self.result.state if self.result is not None else ""


class OrderClient:
    """Claims the keys of orders for a gateway and records how the orders ended.

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
        """Claim a key; wait while another order with the same key runs.

        Parameters
        ----------
        key : str
            Key that the caller sent.
        caller_digest, request_digest : bytes or str
            Digests of the caller's identity and of the request.
        owner : str
            Name of this gateway.
        deadline_s : float
            Time left for the caller's request, in seconds.

        Returns
        -------
        Claim
            Result that a majority of the control hosts has confirmed.

        Raises
        ------
        RefusedError
            If no majority responded in time. The order has not run; a claim that may
            have been recorded is released in the background.
        """
        structs = load_structs("orders")
        claim_order = structs.ClaimOrder(
            key=key,
            caller=_to_bytes(caller_digest),
            request=_to_bytes(request_digest),
            token=uuid.uuid4().hex,
            owner=owner,
            lease_ms=int((deadline_s + LEASE_GRACE_S) * 1000),
        )
        progress = _ClaimProgress()
        try:
            await self._claim_until(
                claim_order, self._timers.now() + deadline_s, progress
            )
        finally:
            if progress.has_unanswered_message and progress.state != "granted":
                self._finish_in_background(key, claim_order.token, "released")
        result = progress.result
        if result is None or result.state in ("released", "full"):
            detail = (
                result.detail
                if result is not None
                else "no majority of the control hosts responded"
            )
            raise RefusedError(
                f"this request has not run: {detail}",
                "send it again with the same key; the key tells whether an earlier "
                "request has run",
                kind="orders_unavailable",
                retry_after_s=1.0,
            )
        return Claim(result.state, key, claim_order.token, result.answer, result.detail)

    async def complete(self, claim: Claim, response: bytes) -> None:
        """Record the response to an order that has run.

        Parameters
        ----------
        claim : Claim
            Granted claim.
        response : bytes
            Response; above 256 KiB only the completion is recorded.

        Raises
        ------
        UnavailableError
            If no majority recorded it within 3 s; it is then sent again in the
            background.
        """
        kept = response if len(response) <= MAX_RESPONSE_BYTES else None
        await self._finish(claim, "completed", kept)

    async def release(self, claim: Claim) -> None:
        """Release the claim of an order that has not run; see `complete`."""
        await self._finish(claim, "released")

    async def abandon(self, claim: Claim) -> None:
        """Record that it is unknown whether an order has run; see `complete`."""
        await self._finish(claim, "unknown")

    async def stop(self) -> None:
        """Cancel the messages that are still sent in the background."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _claim_until(
        self, claim_order: Any, deadline: float, progress: _ClaimProgress
    ) -> None:
        structs = load_structs("orders")
        while True:
            remaining_s = deadline - self._timers.now()
            if remaining_s <= 0:
                return
            wait_ms = int(1000 * min(max(remaining_s - 0.1, 0.0), LONG_POLL_S))
            request = structs.ClaimRequest(claim=claim_order, wait_ms=wait_ms)
            timeout_s = min(remaining_s, wait_ms / 1000 + ATTEMPT_TIMEOUT_S)
            before, progress.has_unanswered_message = (
                progress.has_unanswered_message,
                True,
            )
            try:
                progress.result = await self._call(
                    "orders.claim", claim_order.key, encode(request), timeout_s
                )
                progress.has_unanswered_message = before
            except GeraniumbendError as error:
                if isinstance(error, NotLeaderError):
                    progress.has_unanswered_message = before
                await self._timers.sleep(random.uniform(0.5, 1.5) * RETRY_DELAY_S)
                continue
            # With no time left to wait, another call would only make a busy loop.
            if progress.state != "running" or wait_ms == 0:
                return

    async def _finish(
        self, claim: Claim, state: str, response: bytes | None = None
    ) -> None:
        task = self._finish_in_background(claim.key, claim.token, state, response)
        timeout = asyncio.ensure_future(self._timers.sleep(FINISH_WAIT_S))
        try:
            await asyncio.wait([task, timeout], return_when=asyncio.FIRST_COMPLETED)
        finally:
            timeout.cancel()
        if not task.done() or task.cancelled() or not task.result():
            raise UnavailableError(
                f"no majority recorded the order as {state} in {FINISH_WAIT_S:g} s",
                "a retry of the order gets the outcome unknown until it is recorded",
            )

    def _finish_in_background(
        self, key: str, token: str, state: str, response: bytes | None = None
    ) -> asyncio.Task[bool]:
        task = asyncio.ensure_future(self._send_finish(key, token, state, response))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send_finish(
        self, key: str, token: str, state: str, response: bytes | None
    ) -> bool:
        structs = load_structs("orders")
        finish = structs.FinishOrder(key=key, token=token, state=state, answer=response)
        deadline = self._timers.now() + FINISH_RETRY_S
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
            response = await self._clients.call(host, method, body, timeout_s)
        except NotLeaderError as error:
            self._leaders.pop(shard, None)
            if error.leader:
                self._leaders[shard] = error.leader
            raise
        except UnavailableError:
            self._leaders.pop(shard, None)
            raise
        result = decode(load_structs("orders").OrderResult, response)
        if result.shards != self._shards:
            self._shards = result.shards
            self._leaders.clear()
        self._leaders[choose_shard(key, self._shards)] = host
        return result


def _to_bytes(digest: bytes | str) -> bytes:
    return digest.encode() if isinstance(digest, str) else digest
