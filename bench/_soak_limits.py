"""Limits that the servers of the soak name, and what is sent to them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from bench._limit_rule import TOLD_S, LimitRule, Send

if TYPE_CHECKING:
    from bench._soak_servers import SoakServer

# Time in seconds for which a restart, freeze or end of a gateway excuses it: the start
# of its process and the rule's stable window.
EXCUSE_S = 6.0
MIN_LIMIT_PER_S = 1.0
MAX_LIMIT_PER_S = 20.0
# Durations in seconds: of one value of a limit, and between limits.
VALUE_S = (3.0, 7.0)
BREAK_S = (0.5, 2.0)


class LimitWatch:
    """Lets servers name limits, and counts what gateways send them meanwhile.

    Parameters
    ----------
    seed : int
        Seed of the choices, which are independent of those of the faults.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"limits-{seed}")
        self._rules: dict[str, LimitRule] = {}
        self._sends: dict[str, list[Send]] = defaultdict(list)
        # Gateway that each request was sent to, and when it first passed on a limit.
        self._gateways: dict[str, str] = {}
        self._told_at: dict[tuple[str, str], float] = {}
        self._disturbed_at: dict[str, float] = {}

    def record_sent(self, request_id: str, gateway: str) -> None:
        """Record to which gateway a caller sends a request."""
        self._gateways[request_id] = gateway

    def record_told(self, request_id: str, server_id: str) -> None:
        """Record that a response with a limit of a server has reached its caller."""
        key = (server_id, self._gateways[request_id])
        self._told_at.setdefault(key, time.monotonic())

    def record_disturbance(self, gateway: str) -> None:
        """Record that the process of a gateway ends, starts, pauses or goes on."""
        self._disturbed_at[gateway] = time.monotonic()

    def record_arrival(self, server_id: str, request_id: str) -> None:
        """Count a request at a server that names a limit, or a probe."""
        if server_id not in self._rules:
            return
        now_s = time.monotonic()
        gateway = self._gateways.get(request_id, "")
        # A probe has no id, so any gateway may have sent it.
        senders = [gateway] if gateway else self._list_gateways()
        counts = all(self._binds(server_id, sender, now_s) for sender in senders)
        self._sends[server_id].append(Send(now_s, gateway, counts, bool(gateway)))

    async def vary_limits(self, servers: list[SoakServer], end_s: float) -> None:
        """Name, change and withdraw limits, of one server at a time."""
        while time.monotonic() < end_s:
            server = self._random.choice(servers)
            for _ in range(self._random.randint(2, 4)):
                per_s = self._random.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S)
                self._name(server, round(per_s, 2))
                await self._wait(VALUE_S, end_s)
            self._name(server, None)
            await self._wait(BREAK_S, end_s)

    def measure(self) -> dict[str, float]:
        """Return by server the largest count divided by what its limit allowed."""
        now_s = time.monotonic()
        return {
            name: rule.measure(self._sends[name], now_s)
            for name, rule in self._rules.items()
        }

    def count_sends(self) -> int:
        """Return the requests and probes at limited servers that the rule counts."""
        return sum(send.counts for sends in self._sends.values() for send in sends)

    def _binds(self, server_id: str, gateway: str, now_s: float) -> bool:
        """Tell whether a gateway must keep the limit of a server by now."""
        told_at = self._told_at.get((server_id, gateway), float("inf"))
        disturbed_at = self._disturbed_at.get(gateway, float("-inf"))
        return now_s >= told_at + TOLD_S and now_s > disturbed_at + EXCUSE_S

    def _name(self, server: SoakServer, per_s: float | None) -> None:
        rule = self._rules.setdefault(server.server_id, LimitRule())
        rule.state(time.monotonic(), per_s)
        server.limit_per_s = per_s
        if per_s is None:
            for key in [key for key in self._told_at if key[0] == server.server_id]:
                del self._told_at[key]

    async def _wait(self, range_s: tuple[float, float], end_s: float) -> None:
        delay_s = self._random.uniform(*range_s)
        await asyncio.sleep(max(0.0, min(delay_s, end_s - time.monotonic())))

    def _list_gateways(self) -> set[str]:
        return set(self._gateways.values())
