"""Experiment on orders that are sent again."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import aiohttp

from bench._cluster import Cluster, Process
from bench._experiments import Options, experiments
from bench._operator import Operator
from bench._raw_client import compute_quantile
from bench._stub_backend_server import StubBackendServer

GATEWAYS = 4
CALLERS = 24
FAULT_LOAD_S = 14.0
LATENCY_SAMPLES = 400
RATE_MEASUREMENT_S = 3.0
MAX_ATTEMPTS = 8
ATTEMPT_TIMEOUT_S = 4.0
DOWNTIME_S = 1.0
SETTLE_S = 1.5
# Share of the responses that a caller discards, as if they were lost, to resend the
# order through any gateway.
LOST_RESPONSE_SHARE = 0.1


class Order:
    """One order and the responses that its caller got.

    Parameters
    ----------
    key : str
        Idempotency key.
    path : str
        Path with query, different for each order.

    Attributes
    ----------
    responses : set of str
        Distinct bodies of responses with status 200.
    not_run_responses : int
        Error responses that say that the order did not run.
    attempts : int
        Requests sent for the order.
    """

    def __init__(self, key: str, path: str) -> None:
        self.key = key
        self.path = path
        self.responses: set[str] = set()
        self.not_run_responses = 0
        self.attempts = 0


class OrderCaller:
    """Sends orders and resends them with the same key through any gateway.

    Parameters
    ----------
    callers : list of str
        Caller listeners as ``ip:port``.
    seed : int
        Seed of all random choices.
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
        """Place a new order.

        Parameters
        ----------
        prefix : str, default="order"
            Name of the rule that matches the path, and prefix of the key.
        resend : bool, default=True
            Resend the order until an attempt is final, at most `MAX_ATTEMPTS` times.

        Returns
        -------
        float
            Duration of the last attempt, in seconds.
        """
        number = len(self.orders)
        order = Order(f"{prefix}-{number}", f"/{prefix}/{number}?ms=2")
        self.orders.append(order)
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            finished = await self._send_attempt(order)
            if finished and self._random.random() < LOST_RESPONSE_SHARE and resend:
                finished = False
            if finished or order.attempts >= MAX_ATTEMPTS or not resend:
                return loop.time() - started_s
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def place_until(self, end_s: float, resend: bool) -> int:
        """Place orders sequentially until a time of the loop's clock, in seconds.

        Returns
        -------
        int
            Orders placed.
        """
        count = 0
        while asyncio.get_running_loop().time() < end_s:
            await self.place(resend=resend)
            count += 1
        return count

    async def _send_attempt(self, order: Order) -> bool:
        order.attempts += 1
        url = f"http://{self._random.choice(self._callers)}{order.path}"
        headers = {"Idempotency-Key": order.key, "Authorization": "caller"}
        try:
            async with self._session.post(
                url, data=b"pay", headers=headers
            ) as response:
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            self.statuses["none"] += 1
            return False
        run_state = (
            "" if status == 200 else "not_run" if '"not_run"' in text else "unknown"
        )
        self.statuses[f"{status} {run_state}".strip()] += 1
        if status == 200:
            order.responses.add(text)
        elif run_state == "not_run":
            order.not_run_responses += 1
        return status in (200, 409)


def count_violations(orders: list[Order], runs: Counter[str]) -> dict[str, int]:
    """Compare the callers' responses with the runs at the backend servers.

    Parameters
    ----------
    orders : list of Order
        Orders with their responses.
    runs : Counter
        Number of runs at all backend servers, by key.

    Returns
    -------
    dict
        Number of orders that ran more than once, that ran although every attempt was
        refused as not run, and that got a response other than that of their only run.
    """
    ran_twice = sum(runs[order.key] > 1 for order in orders)
    refused_but_run = sum(
        order.not_run_responses == order.attempts and runs[order.key] > 0
        for order in orders
    )
    wrong_responses = 0
    for order in orders:
        other_order = any(f" {order.path} " not in text for text in order.responses)
        without_run = bool(order.responses) and runs[order.key] == 0
        wrong_responses += other_order or without_run or len(order.responses) > 1
    return {
        "executed_twice": ran_twice,
        "refused_but_run": refused_but_run,
        "wrong_answers": wrong_responses,
    }


@experiments.register("orders")
async def measure_orders(options: Options) -> dict[str, Any]:
    """Place orders while gateways and leaders of the order journal are killed."""
    cluster = Cluster(gateways=GATEWAYS, controls=3)
    servers = [
        StubBackendServer(f"s{number}", {"app": "pay"}, 32, cluster.announces)
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
        await asyncio.sleep(3 * SETTLE_S)
        added_latency = await _measure_added_latency(caller, options.scale)
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
        **count_violations(caller.orders, runs),
        **added_latency,
        "orders_per_second": rate,
        "orders": len(caller.orders),
        "resent": sum(order.attempts > 1 for order in caller.orders),
        "unanswered": sum(not order.responses for order in caller.orders),
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


async def _measure_added_latency(caller: OrderCaller, scale: float) -> dict[str, float]:
    """Measure the latency that the order journal adds.

    Alternates orders with plain requests of the same kind, which claim no key.
    """
    latencies_ms: dict[str, list[float]] = {"order": [], "plain": []}
    for _ in range(max(20, int(LATENCY_SAMPLES * scale))):
        for prefix, values in latencies_ms.items():
            values.append(await caller.place(prefix, resend=False) * 1000)
    caller.orders = [o for o in caller.orders if not o.key.startswith("plain")]
    quantiles = {
        name: {q: compute_quantile(values, q) for q in (0.5, 0.99)}
        for name, values in latencies_ms.items()
    }
    return {
        "added_p50_ms": round(quantiles["order"][0.5] - quantiles["plain"][0.5], 2),
        "added_p99_ms": round(quantiles["order"][0.99] - quantiles["plain"][0.99], 2),
        "plain_p99_ms": round(quantiles["plain"][0.99], 2),
    }


async def _measure_rate(caller: OrderCaller, scale: float) -> float:
    length_s = max(0.5, RATE_MEASUREMENT_S * scale)
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
        return await _kill_processes(cluster, operator, options.seed, end_s)
    finally:
        await asyncio.gather(*load)


async def _kill_processes(
    cluster: Cluster, operator: Operator, seed: int, end_s: float
) -> list[str]:
    generator = random.Random(seed)
    kills: list[str] = []
    kill_kinds = ["gateway", "leader", "both"]
    while asyncio.get_running_loop().time() < end_s - 2 * DOWNTIME_S:
        kind = kill_kinds[len(kills) % len(kill_kinds)]
        victims: list[Process] = []
        if kind != "leader":
            victims.append(generator.choice(cluster.gateways))
        if kind != "gateway":
            number = await operator.find_leader("orders-0")
            victims.append(cluster.controls[number])
        await asyncio.gather(*(victim.kill() for victim in victims))
        kills.append(kind)
        await asyncio.sleep(DOWNTIME_S)
        await asyncio.gather(*(victim.start() for victim in victims))
        await asyncio.sleep(DOWNTIME_S)
    return kills
