from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import aiohttp

from bench._backend_server import BackendServerStandIn
from bench._cluster import Cluster, Process
from bench._experiments import Options, experiments
from bench._operator import Operator
from bench._raw_client import take_quantile

GATEWAYS = 4
CALLERS = 24
FAULT_LOAD_S = 14.0
COMPARED_REQUESTS = 400
RATE_S = 3.0
MAX_ATTEMPTS = 8
ATTEMPT_TIMEOUT_S = 4.0
DOWN_S = 1.0
STEADY_S = 1.5
# Share of the answers that a caller "loses" and asks for again through another gateway.
LOST_ANSWERS = 0.1


class Order:
    """One order and what its caller saw.

    Parameters
    ----------
    key : str
        Idempotency key.
    path : str
        Path with query, different for each order.
    """

    def __init__(self, key: str, path: str) -> None:
        self.key = key
        self.path = path
        self.answers: set[str] = set()
        self.not_run = 0
        self.attempts = 0


class OrderCaller:
    """Sends orders and resends them by their key through any gateway.

    Parameters
    ----------
    callers : list of str
        Caller listeners as ``ip:port``.
    seed : int
        Seed of all choices.
    """

    def __init__(self, callers: list[str], seed: int) -> None:
        self._callers = callers
        self._random = random.Random(seed)
        self.orders: list[Order] = []
        self.statuses: Counter[str] = Counter()
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def place(self, prefix: str = "order", resend: bool = True) -> float:
        """Place a new order and return the seconds of its last attempt."""
        number = len(self.orders)
        order = Order(f"{prefix}-{number}", f"/{prefix}/{number}?ms=2")
        self.orders.append(order)
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            finished = await self._attempt(order)
            if finished and self._random.random() < LOST_ANSWERS and resend:
                finished = False
            if finished or order.attempts >= MAX_ATTEMPTS or not resend:
                return loop.time() - started_s
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def place_until(self, end_s: float, resend: bool) -> int:
        """Place orders one after the other until a reading of the loop's clock."""
        count = 0
        while asyncio.get_running_loop().time() < end_s:
            await self.place(resend=resend)
            count += 1
        return count

    async def _attempt(self, order: Order) -> bool:
        order.attempts += 1
        url = f"http://{self._random.choice(self._callers)}{order.path}"
        headers = {"Idempotency-Key": order.key, "Authorization": "caller"}
        try:
            async with self._session.post(url, data=b"pay", headers=headers) as answer:
                text = await answer.text()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError):
            self.statuses["none"] += 1
            return False
        run = "" if status == 200 else "not_run" if '"not_run"' in text else "unknown"
        self.statuses[f"{status} {run}".strip()] += 1
        if status == 200:
            order.answers.add(text)
        elif run == "not_run":
            order.not_run += 1
        return status in (200, 409)


def judge(orders: list[Order], runs: Counter[str]) -> dict[str, int]:
    """Compare what callers saw with what backend servers ran.

    Parameters
    ----------
    orders : list of Order
        Orders with their answers.
    runs : Counter
        Runs by key at all backend servers.

    Returns
    -------
    dict
        Numbers of orders that ran twice, that ran although every attempt was refused
        as not run, and that got an answer other than the one of their only run.
    """
    twice = sum(runs[order.key] > 1 for order in orders)
    refused = sum(
        order.not_run == order.attempts and runs[order.key] > 0 for order in orders
    )
    wrong = 0
    for order in orders:
        foreign = any(f" {order.path} " not in text for text in order.answers)
        unfounded = bool(order.answers) and runs[order.key] == 0
        wrong += foreign or unfounded or len(order.answers) > 1
    return {
        "executed_twice": twice,
        "refused_but_run": refused,
        "wrong_answers": wrong,
    }


@experiments.register("orders")
async def measure_orders(options: Options) -> dict[str, Any]:
    """Place orders while gateways and the journal's leader are killed."""
    cluster = Cluster(gateways=GATEWAYS, controls=3)
    servers = [
        BackendServerStandIn(f"s{number}", {"app": "pay"}, 32, cluster.announces)
        for number in range(3)
    ]
    operator = Operator(cluster.api.split(","))
    caller = OrderCaller(cluster.callers, options.seed)
    try:
        await cluster.start()
        for server in servers:
            await server.start()
        await operator.apply(_describe_rules())
        await cluster.wait_until_ready()
        await asyncio.sleep(3 * STEADY_S)
        added = await _compare(caller, options.scale)
        rate = await _measure_rate(caller, options.scale)
        faults = await _run_with_faults(cluster, operator, caller, options)
    finally:
        await caller.close()
        await operator.close()
        await cluster.stop()
        for server in servers:
            await server.stop()
    runs = Counter(run.key for server in servers for run in server.runs if run.key)
    return {
        **judge(caller.orders, runs),
        **added,
        "orders_per_second": rate,
        "orders": len(caller.orders),
        "resent": sum(order.attempts > 1 for order in caller.orders),
        "unanswered": sum(not order.answers for order in caller.orders),
        "faults": faults,
        "statuses": dict(sorted(caller.statuses.items())),
        "seed": options.seed,
    }


def _describe_rules() -> list[dict[str, Any]]:
    def rule(name: str, **more: Any) -> dict[str, Any]:
        document = {"name": name, "group": "pay", "deadline_s": 3.0, **more}
        document["match"] = {"path_prefix": f"/{name}/"}
        return {"operation": "set_rule", "rule": document}

    group = {"name": "pay", "selector": "app=pay"}
    return [
        {"operation": "set_group", "group": group},
        rule("order", order={}),
        rule("plain"),
    ]


async def _compare(caller: OrderCaller, scale: float) -> dict[str, float]:
    """Alternate orders and requests of the same kind without a claim."""
    taken: dict[str, list[float]] = {"order": [], "plain": []}
    for _ in range(max(20, int(COMPARED_REQUESTS * scale))):
        for prefix, values in taken.items():
            values.append(await caller.place(prefix, resend=False) * 1000)
    caller.orders = [o for o in caller.orders if not o.key.startswith("plain")]
    quantiles = {
        name: {q: take_quantile(values, q) for q in (0.5, 0.99)}
        for name, values in taken.items()
    }
    return {
        "added_p50_ms": round(quantiles["order"][0.5] - quantiles["plain"][0.5], 2),
        "added_p99_ms": round(quantiles["order"][0.99] - quantiles["plain"][0.99], 2),
        "plain_p99_ms": round(quantiles["plain"][0.99], 2),
    }


async def _measure_rate(caller: OrderCaller, scale: float) -> float:
    length_s = max(0.5, RATE_S * scale)
    end_s = asyncio.get_running_loop().time() + length_s
    counts = await asyncio.gather(
        *(caller.place_until(end_s, False) for _ in range(CALLERS))
    )
    return round(sum(counts) / length_s, 1)


async def _run_with_faults(
    cluster: Cluster, operator: Operator, caller: OrderCaller, options: Options
) -> list[str]:
    end_s = asyncio.get_running_loop().time() + FAULT_LOAD_S * options.scale
    load = [
        asyncio.create_task(caller.place_until(end_s, True)) for _ in range(CALLERS)
    ]
    try:
        return await _kill_in_turn(cluster, operator, options.seed, end_s)
    finally:
        await asyncio.gather(*load)


async def _kill_in_turn(
    cluster: Cluster, operator: Operator, seed: int, end_s: float
) -> list[str]:
    choice = random.Random(seed)
    done: list[str] = []
    kinds = ["gateway", "leader", "both"]
    while asyncio.get_running_loop().time() < end_s - 2 * DOWN_S:
        kind = kinds[len(done) % len(kinds)]
        victims: list[Process] = []
        if kind != "leader":
            victims.append(choice.choice(cluster.gateways))
        if kind != "gateway":
            number = await operator.find_leader("orders-0")
            victims.append(cluster.controls[number])
        await asyncio.gather(*(victim.kill() for victim in victims))
        done.append(kind)
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(victim.start() for victim in victims))
        await asyncio.sleep(DOWN_S)
    return done
