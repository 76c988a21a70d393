"""Callers and operators of the real-machine soak."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from bench._soak_servers import build_configuration

if TYPE_CHECKING:
    from bench._real_checks import Observations
    from bench._real_cluster import RealCluster
    from bench._real_process import HostProcess

CALLERS = 12
CALL_RATE_PER_S = 8.0
REQUEST_TIMEOUT_S = 2.0
OPERATORS = 2
CALL_TIMEOUT_S = 1.0
# Range of the pause between two changes of an operator, in seconds.
CHANGE_PAUSE_S = (0.1, 0.8)
# Platform's bounds `config-apply` and `ack`, in seconds.
APPLY_S = 2.0
ACKNOWLEDGE_S = 4.0
# An operator gives up a change that nobody acknowledges for so long, in seconds.
GIVE_UP_S = 60.0
# Each change adds a route that this many later changes keep.
KEPT_CHANGES = 8
# Versions go up in such steps; the ones between are those of invalid documents.
VERSION_STEP = 10
INVALID_SHARE = 0.1
REFUSED_STATUSES = (400, 409, 412, 413, 422)


class Callers:
    """Callers that use open connections until they break, and operators.

    Parameters
    ----------
    cluster : RealCluster
        Cluster that is called.
    observations : Observations
        Records what they see.
    seed : int
        Seed of their choices.
    """

    def __init__(
        self, cluster: RealCluster, observations: Observations, seed: int
    ) -> None:
        self._cluster = cluster
        self._seen = observations
        self._random = random.Random(f"callers-{seed}")
        self._requests = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._operators: list[asyncio.Task[None]] = []
        self._slow_until_s = float("-inf")

    def start(self) -> None:
        """Start the callers."""
        calls = [self._call_repeatedly() for _ in range(CALLERS)]
        self._tasks += [asyncio.create_task(call) for call in calls]

    def start_operators(self) -> None:
        """Start the operators."""
        changes = [self._change_repeatedly() for _ in range(OPERATORS)]
        self._operators = [asyncio.create_task(change) for change in changes]

    async def stop_operators(self) -> None:
        """Cancel the operators; changes under way get no clear answer."""
        for task in self._operators:
            task.cancel()
        await asyncio.gather(*self._operators, return_exceptions=True)

    async def stop(self) -> None:
        """Stop callers and operators, and raise what ended one of them."""
        for task in self._tasks:
            task.cancel()
        await self.stop_operators()
        ended = await asyncio.gather(
            *self._tasks, *self._operators, return_exceptions=True
        )
        for error in ended:
            if isinstance(error, Exception):
                raise error

    def allow_late(self, duration_s: float) -> None:
        """Allow late acknowledgements for a time from now on, in seconds."""
        until_s = time.monotonic() + duration_s
        self._slow_until_s = max(self._slow_until_s, until_s)

    def end_late(self) -> None:
        """Allow no late acknowledgements any more."""
        self._slow_until_s = time.monotonic()

    async def change(self) -> bool:
        """Send the next change until it is acknowledged; return whether it was."""
        self._seen.sent_changes += 1
        number = self._seen.sent_changes
        document = build_change(number)
        sent_s = time.monotonic()
        pause_s = 0.05
        while time.monotonic() < sent_s + GIVE_UP_S:
            status, _ = await self._call_control("POST", "/-/config/put", document)
            if status == 200:
                self._seen.record_acknowledgement(number)
                self._check_time(number, sent_s)
                return True
            if status in REFUSED_STATUSES:
                self._seen.report("refused_change", f"change {number}: {status}")
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.5)
        self._check_time(number, sent_s)
        return False

    async def read(self) -> int | None:
        """Read the configuration at any control host; return its change or None."""
        least = self._seen.get_acknowledged(time.monotonic())
        status, body = await self._call_control("GET", "/-/config/get")
        if status != 200:
            return None
        document = json.loads(body)
        number, rest = divmod(int(document["version"][1:]), VERSION_STEP)
        if rest:
            self._seen.report("invalid_accepted", f"read {document['version']}")
        elif number < least:
            self._seen.report("reverted", f"read {number} after {least}")
        elif number and _list_names(document) != _list_names(build_change(number)):
            self._seen.report("reverted", f"routes of change {number} differ")
        return number

    async def _change_repeatedly(self) -> None:
        while True:
            await self.change()
            await self.read()
            if self._random.random() < INVALID_SHARE:
                await self._send_invalid()
            await asyncio.sleep(self._random.uniform(*CHANGE_PAUSE_S))

    async def _send_invalid(self) -> None:
        document = build_change(self._seen.sent_changes)
        document["version"] = f"r{self._seen.sent_changes * VERSION_STEP + 5}"
        document["services"]["rows"].pop()
        status, _ = await self._call_control("POST", "/-/config/put", document)
        if status == 200:
            self._seen.report("invalid_accepted", f"{document['version']}")

    def _check_time(self, number: int, sent_s: float) -> None:
        """Report a change that took too long although the core was calm."""
        now_s = time.monotonic()
        begin_s = max(sent_s, self._cluster.get_calm_since())
        if now_s > max(begin_s + ACKNOWLEDGE_S, self._slow_until_s):
            self._seen.report(
                "late_acknowledgements", f"change {number}: {now_s - sent_s:.2f} s"
            )

    async def _call_repeatedly(self) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=1, force_close=False)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            host = self._choose_gateway()
            while True:
                if not await self._call(session, host):
                    host = self._choose_gateway()
                await asyncio.sleep(self._random.expovariate(CALL_RATE_PER_S))

    def _choose_gateway(self) -> HostProcess:
        gateways = self._cluster.gateways
        ready = [host for host in gateways if host.name in self._cluster.ready]
        return self._random.choice(ready or gateways)

    async def _call(self, session: aiohttp.ClientSession, host: HostProcess) -> bool:
        """Send one request; return whether there was a response."""
        self._requests += 1
        request_id = f"q{self._requests}"
        kind = self._random.choice(("safe", "unsafe", "added"))
        change = 0
        if kind == "added":
            newest = self._seen.get_acknowledged(time.monotonic())
            change = max(1, newest - self._random.randint(0, 2 * KEPT_CHANGES))
        method = "POST" if kind == "unsafe" else "GET"
        target = f"{method} /{kind}/{change or self._requests}/"
        self._seen.invariants.record_sent(request_id, target)
        sent_s = self._seen.record_sent(self._requests)
        number = self._requests
        is_calm = self._cluster.is_in_touch(host)
        applied = self._seen.get_acknowledged(sent_s - APPLY_S)
        status, body = await self._exchange(session, host, method, target, request_id)
        self._seen.invariants.record_response(request_id, status, body)
        self._seen.record_answer(number, status in (200, 404))
        if kind == "added" and is_calm and self._cluster.is_in_touch(host):
            self._check_in_force(host, change, applied, status)
        return status != 0

    def _check_in_force(
        self, host: HostProcess, change: int, applied: int, status: int
    ) -> None:
        """Report a response that no configuration that may be in force allows."""
        is_there = self._seen.sent_changes - KEPT_CHANGES <= change <= applied
        is_dropped = change < applied - KEPT_CHANGES
        if (status == 404 and is_there) or (status == 200 and is_dropped):
            detail = f"{host.name}, route of {change}, applied {applied}: {status}"
            self._seen.report("not_in_force", detail)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        host: HostProcess,
        method: str,
        target: str,
        request_id: str,
    ) -> tuple[int, str]:
        headers = {
            "Host": "h.example",
            "Geraniumbend-Request-Id": request_id,
            "Geraniumbend-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        url = self._cluster.get_url(host, "front", target.partition(" ")[2])
        data = b"order" if method == "POST" else None
        try:
            async with session.request(
                method, url, headers=headers, data=data, allow_redirects=False
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, ""

    async def _call_control(
        self, method: str, path: str, body: dict[str, object] | None = None
    ) -> tuple[int, bytes]:
        host = self._random.choice(self._cluster.controls)
        url = self._cluster.get_url(host, "control", path)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


def build_change(number: int) -> dict[str, Any]:
    """Return the configuration of a change, with the routes of the ones before it."""
    document: dict[str, Any] = build_configuration(number * VERSION_STEP, 0)
    first = max(1, number - KEPT_CHANGES)
    document["routes"]["rows"] += [
        [f"a{n}", "h.example", f"/added/{n}/", *_ADDED_ROUTE]
        for n in range(first, number + 1)
    ]
    return document


_ADDED_ROUTE = ("safe", "2s", "1s", 1, None, 2, "one")


def _list_names(document: dict[str, Any]) -> set[str]:
    column = document["routes"]["columns"].index("name")
    return {row[column] for row in document["routes"]["rows"]}
