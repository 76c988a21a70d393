from __future__ import annotations

import asyncio
import signal
from typing import Any

import aiohttp

from bench._backend_server import BackendServerStandIn
from bench._cluster import Cluster
from bench._experiments import Options, experiments
from bench._operator import Accepted, Operator

GATEWAYS = 13
CHANGES_PER_PHASE = 6
# Limit of the wait for one change; a gateway that needs longer counts as this slow.
CHANGE_LIMIT_S = 6.0
REQUEST_PAUSE_S = 0.01
STEADY_S = 1.0


class Observer:
    """Sends requests through one gateway and notes which group answers.

    Parameters
    ----------
    address : str
        Caller listener as ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.group = ""
        self.wanted = ""
        self.seen_at_s = 0.0
        self.reverted = 0
        self.errors = 0
        self.requests = 0

    def expect(self, group: str) -> None:
        """Wait for answers of another group from now on."""
        self.wanted = group
        self.seen_at_s = 0.0

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Send one request after the other until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            # Judged by the state at sending: the next change may overtake the answer.
            wanted, was_in_force = self.wanted, self.seen_at_s > 0
            try:
                async with session.get(f"http://{self.address}/x") as answer:
                    text = await answer.text()
                    ok = answer.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ok = False
            self.requests += 1
            if not ok:
                self.errors += 1
            elif wanted == self.wanted:
                self._note(text.split("-")[0], was_in_force, loop.time())
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _note(self, group: str, was_in_force: bool, now_s: float) -> None:
        if group == self.wanted:
            self.seen_at_s = self.seen_at_s or now_s
        elif was_in_force:
            self.reverted += 1


class _Trial:
    def __init__(self, cluster: Cluster, operator: Operator) -> None:
        self.cluster = cluster
        self.operator = operator
        self.observers = [Observer(address) for address in cluster.callers]
        self.accepted: list[Accepted] = []

    async def change(self) -> float:
        """Apply one change and return the milliseconds until the last gateway."""
        group = "b" if len(self.accepted) % 2 == 0 else "a"
        rule = {"name": "x", "group": group, "deadline_s": 2.0}
        for observer in self.observers:
            observer.expect(group)
        operation = {"operation": "set_rule", "rule": rule}
        accepted = await self.operator.apply([operation])
        self.accepted.append(accepted)
        loop = asyncio.get_running_loop()
        while loop.time() < accepted.at_s + CHANGE_LIMIT_S:
            if all(observer.seen_at_s for observer in self.observers):
                break
            await asyncio.sleep(0.005)
        last_s = max(o.seen_at_s or loop.time() for o in self.observers)
        return max(0.0, last_s - accepted.at_s) * 1000

    async def changes(self) -> list[float]:
        """Apply several changes one after the other."""
        return [await self.change() for _ in range(CHANGES_PER_PHASE)]

    async def change_with_stopped_host(self, number: int) -> list[float]:
        """Apply changes while one control host answers nothing."""
        process = self.cluster.controls[number]
        addresses = list(self.operator.addresses)
        self.operator.addresses.pop(number)
        process.signal(signal.SIGSTOP)
        try:
            return await self.changes()
        finally:
            process.signal(signal.SIGCONT)
            self.operator.addresses[:] = addresses

    async def count_lost(self) -> int:
        """Return the acknowledged changes that the history lacks."""
        answer = await self.operator.get("/v1/history?limit=1000")
        known = {(e["revision"], e["change_id"]) for e in answer["history"]}
        return sum((a.revision, a.change_id) not in known for a in self.accepted)


@experiments.register("config")
async def measure_config(options: Options) -> dict[str, Any]:
    """Change the configuration under traffic, with hosts stopped and killed."""
    cluster = Cluster(gateways=GATEWAYS, controls=3)
    servers = [
        BackendServerStandIn(
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
        await asyncio.sleep(3 * STEADY_S)
        trial = _Trial(cluster, operator)
        for observer in trial.observers:
            observer.expect("a")
            tasks.append(asyncio.create_task(observer.run(session)))
        await asyncio.sleep(STEADY_S)
        return await _run(trial)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await session.close()
        await operator.close()
        await cluster.stop()
        for server in servers:
            await server.stop()


async def _run(trial: _Trial) -> dict[str, Any]:
    calm = await trial.changes()
    leader = await trial.operator.find_leader()
    follower_stopped = await trial.change_with_stopped_host((leader + 1) % 3)
    await asyncio.sleep(STEADY_S)
    leader = await trial.operator.find_leader()
    leader_stopped = await trial.change_with_stopped_host(leader)
    await asyncio.sleep(STEADY_S)
    controls = trial.cluster.controls
    errors_before = sum(observer.errors for observer in trial.observers)
    await trial.change()
    await asyncio.gather(*(process.kill() for process in controls))
    await asyncio.sleep(STEADY_S)
    errors_without_control = (
        sum(observer.errors for observer in trial.observers) - errors_before
    )
    await asyncio.gather(*(process.start() for process in controls))
    lost = await trial.count_lost()
    after_restart = await trial.change()
    lost += await trial.count_lost()
    measured = [*calm, *follower_stopped, *leader_stopped, after_restart]
    return {
        "gateways": GATEWAYS,
        "changes": len(trial.accepted),
        "in_force_max_ms": round(max(measured), 1),
        "calm_max_ms": round(max(calm), 1),
        "follower_stopped_max_ms": round(max(follower_stopped), 1),
        "leader_stopped_max_ms": round(max(leader_stopped), 1),
        "after_restart_ms": round(after_restart, 1),
        "reverted": sum(observer.reverted for observer in trial.observers),
        "lost": lost,
        "requests": sum(observer.requests for observer in trial.observers),
        "errors": sum(observer.errors for observer in trial.observers),
        "errors_without_control": errors_without_control,
    }
