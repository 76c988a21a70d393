"""Gateways with the real decisions, run within the process of an experiment."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import aiohttp

from geraniumbend.admission import Admission, AdmissionRequest
from geraniumbend.errors import RefusedError
from geraniumbend.model import Configuration, Group
from geraniumbend.routing import Outcome, Router, ServerTable, parse_report
from geraniumbend.timers import LoopTimers

if TYPE_CHECKING:
    from bench._server_pool import ServerPool

GROUP = "load"
LOAD_REPORT_HEADER = "endpoint-load-metrics"


class EqualShares:
    """Demand shares for gateways that get equal demand.

    Parameters
    ----------
    gateways : int
        Number of gateways.
    """

    def __init__(self, gateways: int) -> None:
        self.gateways = gateways

    def gateway_share(self) -> float:
        """Return the share of one gateway, between 0 and 1."""
        return 1 / self.gateways

    def demand_share(self, group: str) -> float:
        """Return the share of one gateway, between 0 and 1."""
        return 1 / self.gateways

    def record_demand(self, group: str, amount: float) -> None:
        """Ignore the demand; the shares stay equal."""


class Permit(Protocol):
    """Permission to run one request."""

    def release(self) -> None:
        """Give the permit back so that the next request may run."""
        ...


class AdmissionProtocol(Protocol):
    """Interface of admission that the load uses."""

    async def admit(self, request: AdmissionRequest) -> Permit:
        """Wait for the permit of a request."""
        ...


class FifoAdmission:
    """Baseline admission: a first-in, first-out queue with a concurrency limit.

    A request waits up to its deadline.

    Parameters
    ----------
    limit : int
        Highest number of requests in flight.
    """

    def __init__(self, limit: int) -> None:
        self._free_permits = limit
        self._waiters: deque[asyncio.Future[None]] = deque()

    async def admit(self, request: AdmissionRequest) -> Permit:
        """Wait until a request may run.

        Raises
        ------
        RefusedError
            If the deadline passes first.
        """
        if self._free_permits:
            self._free_permits -= 1
            return self
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters.append(waiter)
        try:
            await asyncio.wait_for(waiter, request.deadline - LoopTimers().now())
        except TimeoutError as error:
            raise RefusedError("deadline passed in the queue") from error
        return self

    def release(self) -> None:
        """Give the permit back so that the next request may run."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_permits += 1


class Result(NamedTuple):
    """Result of one request as its caller sees it.

    Parameters
    ----------
    ok : bool
        Whether a complete response came before the deadline.
    latency_s : float
        Time to the response or the error, in seconds.
    refused : bool
        Whether admission refused the request or its deadline passed before sending.
    server_id : str
        Server that got the request; empty when refused.
    """

    ok: bool
    latency_s: float
    refused: bool
    server_id: str


class InProcessGateway:
    """Admission and routing of one gateway, run in this process without retries.

    Requests go to the servers over real connections.

    Parameters
    ----------
    name : str
        Name of the gateway.
    policy : str
        Routing policy; ``default`` also uses the project's admission.
    pool : ServerPool
        Backend servers; all belong to one group.
    gateways : int
        Number of gateways.
    session : aiohttp.ClientSession
        HTTP session for requests to the servers.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self,
        name: str,
        policy: str,
        pool: ServerPool,
        gateways: int,
        session: aiohttp.ClientSession,
        seed: int,
    ) -> None:
        self.timers = LoopTimers()
        self.table = ServerTable(self.timers)
        groups = {GROUP: Group(GROUP, "app=load", policy=policy)}
        self.table.update(pool.servers, Configuration(1, groups))
        shares = EqualShares(gateways)
        self.router = Router(self.table, shares, self.timers, name, seed=seed)
        self.admission: Any
        if policy == "default":
            self.admission = Admission(self.table, shares, self.timers, seed=seed)
        else:
            self.admission = FifoAdmission(-(-pool.count * pool.slots // gateways))
        self._session = session

    async def fetch(
        self,
        path: str,
        request_class: str = "short",
        sheet: str = "",
        caller: str = "",
        deadline: float = 0.0,
    ) -> Result:
        """Send one request through admission and routing.

        Parameters
        ----------
        path : str
            Path with query.
        request_class : str, default="short"
            Request class.
        sheet, caller : str, default=""
            Sheet id and caller of the request.
        deadline : float, default=0.0
            Time on the clock of `timers` at which the response is due, in seconds.

        Returns
        -------
        Result
            Result as the caller sees it.
        """
        started_at_s = self.timers.now()
        request = AdmissionRequest(GROUP, request_class, sheet, caller, deadline)
        try:
            permit = await self.admission.admit(request)
        except RefusedError:
            return Result(False, self.timers.now() - started_at_s, True, "")
        try:
            result = await self._send(path, request_class, deadline, started_at_s)
        finally:
            permit.release()
        return result

    async def _send(
        self, path: str, request_class: str, deadline: float, started_at_s: float
    ) -> Result:
        sent_at_s = self.timers.now()
        remaining_s = deadline - sent_at_s
        if remaining_s <= 0:
            return Result(False, sent_at_s - started_at_s, True, "")
        view = self.router.choose(GROUP, request_class, (), remaining_s)
        self.router.start_request(view, request_class)
        status = 0
        url = f"http://127.0.0.1:{view.server.port}{path}"
        timeout = aiohttp.ClientTimeout(total=remaining_s)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                await response.read()
                status = response.status
                report = response.headers.get(LOAD_REPORT_HEADER)
        except (aiohttp.ClientError, TimeoutError):
            report = None
        now = self.timers.now()
        parsed = None if report is None else parse_report(report)
        if parsed is not None:
            self.router.observe_report(view, parsed)
        ok = status == 200
        outcome = Outcome(status, now - sent_at_s, now - sent_at_s, not ok)
        self.router.finish_request(view, request_class, outcome)
        return Result(ok and now <= deadline, now - started_at_s, False, view.server_id)


def connect() -> aiohttp.ClientSession:
    """Return an HTTP session without a connection limit."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
