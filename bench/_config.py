"""Experiment on the time until configuration changes are in force."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import aiohttp

from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._operator import AcceptedChange, Operator
from bench._stub_backend_server import StubBackendServer

GATEWAYS = 13
CHANGES_PER_PHASE = 6
# A gateway that has not applied a change after this time counts with this time.
CHANGE_TIMEOUT_S = 6.0
REQUEST_PAUSE_S = 0.01
SETTLE_S = 1.0


class Observer:
    """Sends requests through one gateway and records which group responds.

    Parameters
    ----------
    address : str
        Caller listener as ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.group = ""
        self.expected_group = ""
        self.first_seen_at_s = 0.0
        self.reverted = 0
        self.errors = 0
        self.requests = 0

    def expect(self, group: str) -> None:
        """Expect responses of another group from now on."""
        self.expected_group = group
        self.first_seen_at_s = 0.0

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Send requests sequentially until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            # Compare with the state at sending: the next change may be applied before
            # the response arrives.
            expected_group, was_in_force = self.expected_group, self.first_seen_at_s > 0
            try:
                async with session.get(f"http://{self.address}/x") as response:
                    text = await response.text()
                    ok = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ok = False
            self.requests += 1
            if not ok:
                self.errors += 1
            elif expected_group == self.expected_group:
                self._record(text.split("-")[0], was_in_force, loop.time())
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _record(self, group: str, was_in_force: bool, now_s: float) -> None:
        if group == self.expected_group:
            self.first_seen_at_s = self.first_seen_at_s or now_s
        elif was_in_force:
            self.reverted += 1


class _ConfigTrial:
    def __init__(self, cluster: Cluster, operator: Operator) -> None:
        self.cluster = cluster
        self.operator = operator
        self.observers = [Observer(address) for address in cluster.callers]
        self.accepted: list[AcceptedChange] = []

    async def apply_change(self) -> float:
        """Apply one change and return the delay of the slowest gateway in ms."""
        group = "b" if len(self.accepted) % 2 == 0 else "a"
        rule = {"name": "x", "group": group, "deadline_s": 2.0}
        for observer in self.observers:
            observer.expect(group)
        operation = {"operation": "set_rule", "rule": rule}
        accepted = await self.operator.apply([operation])
        self.accepted.append(accepted)
        loop = asyncio.get_running_loop()
        while loop.time() < accepted.at_s + CHANGE_TIMEOUT_S:
            if all(observer.first_seen_at_s for observer in self.observers):
                break
            await asyncio.sleep(0.005)
        last_s = max(o.first_seen_at_s or loop.time() for o in self.observers)
        return max(0.0, last_s - accepted.at_s) * 1000

    async def apply_changes(self) -> list[float]:
        """Apply several changes sequentially and return their delays."""
        return [await self.apply_change() for _ in range(CHANGES_PER_PHASE)]

    async def apply_changes_with_stopped_host(self, number: int) -> list[float]:
        """Apply changes while one control host is suspended with SIGSTOP."""
        process = self.cluster.controls[number]
        addresses = list(self.operator.addresses)
        self.operator.addresses.pop(number)
        process.signal(signal.SIGSTOP)
        try:
            return await self.apply_changes()
        finally:
            process.signal(signal.SIGCONT)
            self.operator.addresses[:] = addresses

    async def count_lost_changes(self) -> int:
        """Return the number of acknowledged changes missing from the history."""
        response = await self.operator.get("/v1/history?limit=1000")
        known = {(e["revision"], e["change_id"]) for e in response["history"]}
        return sum((a.revision, a.change_id) not in known for a in self.accepted)


@experiments.register("config")
async def measure_config(options: Options) -> dict[str, Any]:
    """Measure how long configuration changes take to reach all gateways.

    Requests run through all gateways meanwhile. Changes are applied with all control
    hosts running, with a follower suspended, with the leader suspended, and after all
    control hosts were killed and restarted.
    """
    cluster = Cluster(gateways=GATEWAYS, controls=3)
    servers = [
        StubBackendServer(
            f"{group}-{number}", {"app": group}, 50, cluster.announces, seed=number
        )
        for group in ("a", "b")
        for number in range(2)
    ]
    operator = Operator(cluster.api.split(","))
    timeout = aiohttp.ClientTimeout(total=3)
    session = aiohttp.ClientSession(timeout=timeout)
    tasks: list[asyncio.Task[None]] = []
    try:
        await cluster.start()
        for server in servers:
            await server.start()
        groups = [
            {
                "operation": "set_group",
                "group": {"name": name, "selector": f"app={name}"},
            }
            for name in ("a", "b")
        ]
        rule = {"name": "x", "group": "a", "deadline_s": 2.0}
        await operator.apply([*groups, {"operation": "set_rule", "rule": rule}])
        await cluster.wait_until_ready()
        await asyncio.sleep(3 * SETTLE_S)
        trial = _ConfigTrial(cluster, operator)
        for observer in trial.observers:
            observer.expect("a")
            tasks.append(asyncio.create_task(observer.run(session)))
        await asyncio.sleep(SETTLE_S)
        return await _run_phases(trial)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await session.close()
        await operator.close()
        await cluster.stop()
        for server in servers:
            await server.stop()


async def _run_phases(trial: _ConfigTrial) -> dict[str, Any]:
    undisturbed = await trial.apply_changes()
    leader = await trial.operator.find_leader()
    follower_stopped = await trial.apply_changes_with_stopped_host((leader + 1) % 3)
    await asyncio.sleep(SETTLE_S)
    leader = await trial.operator.find_leader()
    leader_stopped = await trial.apply_changes_with_stopped_host(leader)
    await asyncio.sleep(SETTLE_S)
    controls = trial.cluster.controls
    errors_before = sum(observer.errors for observer in trial.observers)
    await trial.apply_change()
    await asyncio.gather(*(process.kill() for process in controls))
    await asyncio.sleep(SETTLE_S)
    errors_without_control = (
        sum(observer.errors for observer in trial.observers) - errors_before
    )
    await asyncio.gather(*(process.start() for process in controls))
    lost = await trial.count_lost_changes()
    after_restart = await trial.apply_change()
    lost += await trial.count_lost_changes()
    measured = [*undisturbed, *follower_stopped, *leader_stopped, after_restart]
    return {
        "gateways": GATEWAYS,
        "changes": len(trial.accepted),
        "in_force_max_ms": round(max(measured), 1),
        "calm_max_ms": round(max(undisturbed), 1),
        "follower_stopped_max_ms": round(max(follower_stopped), 1),
        "leader_stopped_max_ms": round(max(leader_stopped), 1),
        "after_restart_ms": round(after_restart, 1),
        "reverted": sum(observer.reverted for observer in trial.observers),
        "lost": lost,
        "requests": sum(observer.requests for observer in trial.observers),
        "errors": sum(observer.errors for observer in trial.observers),
        "errors_without_control": errors_without_control,
    }
