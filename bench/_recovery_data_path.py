"""Requests through gateways while control hosts are killed."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from bench._cluster import Cluster
from bench._config import Observer
from bench._operator import AcceptedChange, Operator
from bench._stub_backend_server import StubBackendServer

GATEWAYS = 3
SETTLE_S = 1.0
LEADER_DOWN_S = 2.5
CONTROLS_DOWN_S = 2.0


class DataPathTrial:
    """Sends requests through gateways while control hosts are killed."""

    def __init__(self) -> None:
        self._cluster = Cluster(gateways=GATEWAYS, controls=3)
        self._operator = Operator(self._cluster.api.split(","))
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3))
        self._servers = [
            StubBackendServer(
                f"a-{number}", {"app": "a"}, 50, self._cluster.announces, seed=number
            )
            for number in range(2)
        ]
        self._observers = [Observer(address) for address in self._cluster.callers]
        self._accepted: list[AcceptedChange] = []
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self) -> dict[str, Any]:
        """Run the trial.

        Returns
        -------
        dict
            Requests and errors of the data path, longest gap between applied changes
            in seconds, number of applied changes and of lost ones.
        """
        try:
            await self._start()
            gap_s = await self._kill_leader()
            lost = await self._kill_all()
        finally:
            await self._stop()
        return {
            "data_path_requests": sum(o.requests for o in self._observers),
            "data_path_errors": sum(o.errors for o in self._observers),
            "apply_gap_s": round(gap_s, 2),
            "applied_changes": len(self._accepted),
            "lost": lost,
        }

    async def _start(self) -> None:
        await self._cluster.start()
        for server in self._servers:
            await server.start()
        group = {"name": "a", "selector": "app=a"}
        await self._operator.apply([{"operation": "set_group", "group": group}])
        await self._apply_change()
        await self._cluster.wait_until_ready()
        # Every gateway knows the backend servers after one round of announcements.
        await asyncio.sleep(3 * SETTLE_S)
        for observer in self._observers:
            self._tasks.append(asyncio.create_task(observer.run(self._session)))
        await asyncio.sleep(SETTLE_S)

    async def _apply_change(self) -> None:
        rule = {
            "name": "x",
            "group": "a",
            "deadline_s": 2.0 + len(self._accepted) / 1000,
        }
        operation = {"operation": "set_rule", "rule": rule}
        self._accepted.append(await self._operator.apply([operation]))

    async def _kill_leader(self) -> float:
        leader = await self._operator.find_leader()
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        killed_at_s = last_s + SETTLE_S
        kill_task: asyncio.Task[None] | None = None
        longest_gap_s = 0.0
        while loop.time() < killed_at_s + LEADER_DOWN_S:
            if kill_task is None and loop.time() >= killed_at_s:
                kill_task = asyncio.create_task(self._cluster.controls[leader].kill())
            await self._apply_change()
            longest_gap_s = max(longest_gap_s, loop.time() - last_s)
            last_s = loop.time()
        assert kill_task is not None
        await kill_task
        await self._cluster.controls[leader].start()
        await asyncio.sleep(SETTLE_S)
        return longest_gap_s

    async def _kill_all(self) -> int:
        await asyncio.gather(*(process.kill() for process in self._cluster.controls))
        await asyncio.sleep(CONTROLS_DOWN_S)
        await asyncio.gather(*(process.start() for process in self._cluster.controls))
        response = await self._operator.get("/v1/history?limit=1000")
        known = {(e["revision"], e["change_id"]) for e in response["history"]}
        lost = sum((a.revision, a.change_id) not in known for a in self._accepted)
        await self._apply_change()
        return lost

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        await self._operator.close()
        await self._cluster.stop()
        for server in self._servers:
            await server.stop()
