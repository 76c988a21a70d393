"""Experiment on limits that backend servers name."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any, NamedTuple

from bench._experiments import Options, experiments
from bench._limit_model import (
    DETECTION_S,
    DOMAINS,
    MESSAGE_LOSS,
    SLOTS,
    ModelGateway,
    ModelServer,
    Network,
)
from bench._limit_rule import (
    STABLE_WINDOW_S,
    WINDOW_S,
    LimitRule,
    Send,
    iterate_windows,
)
from bench._virtual_clock import run_virtually
from geraniumbend.model import BackendServer

GATEWAYS = (13, 311)
LIMIT_PER_S = 4.8
DEMAND_FACTOR = 10.0
UNLIMITED_SERVERS = 3
# Times in seconds.
NAMED_AT_S = 5.0
CALM_S = 60.0
FREEZE_S = 3.0
CUT_S = 6.0
# Time until all gateways know that another one is there, and between faults.
DISCOVERY_S = 0.5
PAUSE_BETWEEN_S = 12.0


class Scenario(NamedTuple):
    """Size and variant of one simulated run.

    Parameters
    ----------
    gateways : int
        Number of gateways.
    seed : int
        Seed of all random choices.
    scale : float
        Factor on the length of the calm part.
    keeps_limits : bool
        False for the decisions of the code before limits were kept.
    """

    gateways: int
    seed: int
    scale: float
    keeps_limits: bool


class LimitRun:
    """One run: calm, then faults and changes of the limit.

    Parameters
    ----------
    scenario : Scenario
        Size and variant.
    loss : float, default=MESSAGE_LOSS
        Probability that a message between gateways is lost.
    delay_factor : float, default=1.0
        Factor on the delays of these messages.
    """

    def __init__(
        self,
        scenario: Scenario,
        loss: float = MESSAGE_LOSS,
        delay_factor: float = 1.0,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._network = Network(self._rng, loss, delay_factor)
        self._servers = {
            name: ModelServer(BackendServer(name, "10.0.0.1", 80, slots=SLOTS))
            for name in ("limited", *(f"s{n}" for n in range(UNLIMITED_SERVERS)))
        }
        self._limited = self._servers["limited"]
        self._rule = LimitRule()
        self._weights: dict[str, float] = {}
        self._requests: set[asyncio.Task[None]] = set()

    def start(self) -> asyncio.Task[None]:
        """Start gateways and callers; return the task that sends the requests."""
        for number in range(self._scenario.gateways):
            self._add_gateway(f"gateway-{number}", DOMAINS[number % len(DOMAINS)])
            self._weights[f"gateway-{number}"] = (1.0, 1.0, 3.0, 0.5)[number % 4]
        self._set_live(set(self._network.gateways))
        return asyncio.ensure_future(self._send_requests())

    async def run(self) -> dict[str, Any]:
        """Play the run and return its figures."""
        traffic = self.start()
        count = self._scenario.gateways
        await asyncio.sleep(NAMED_AT_S)
        self.name_limit(LIMIT_PER_S)
        calm_from_s = NAMED_AT_S + STABLE_WINDOW_S + 2.0
        calm_until_s = calm_from_s + CALM_S * self._scenario.scale
        await asyncio.sleep(calm_from_s - NAMED_AT_S)
        bytes_before = self._network.bytes_sent
        await asyncio.sleep(calm_until_s - calm_from_s)
        bytes_sent = self._network.bytes_sent - bytes_before
        await self._inject_faults()
        await self._change_limits()
        traffic.cancel()
        calm_s = calm_until_s - calm_from_s
        calm = [
            s for s in self._limited.sends if calm_from_s <= s.time_s < calm_until_s
        ]
        most = max(
            (n for _, n in iterate_windows(calm, calm_from_s, calm_until_s, WINDOW_S)),
            default=0,
        )
        served = sum(send.served for send in calm)
        gateways = self._network.gateways.values()
        return {
            "gateways": count,
            "max_over_allowed": round(self.measure_over_allowed(), 3),
            "max_over_limit": round(most / (LIMIT_PER_S * WINDOW_S), 3),
            "share_used": round(served / (LIMIT_PER_S * calm_s), 3),
            "fairness": round(self._measure_fairness(calm), 3),
            "refused": sum(gateway.refused for gateway in gateways),
            "refused_beside_room": sum(g.refused_beside_room for g in gateways),
            "bytes_per_gateway_s": round(bytes_sent / count / calm_s, 1),
        }

    def _add_gateway(self, name: str, domain: str) -> ModelGateway:
        scenario = self._scenario
        gateway = ModelGateway(
            self._network,
            name,
            domain,
            self._servers,
            scenario.gateways,
            scenario.keeps_limits,
        )
        self._network.gateways[name] = gateway
        gateway.start()
        return gateway

    def _set_live(self, live: set[str], among: set[str] | None = None) -> None:
        for name, gateway in self._network.gateways.items():
            if among is None or name in among:
                gateway.membership.live = live | {name}

    async def _send_requests(self) -> None:
        """Start requests at the demand of all gateways, unevenly spread."""
        rate = DEMAND_FACTOR * LIMIT_PER_S
        for turn in itertools.count():
            await asyncio.sleep(self._rng.expovariate(rate))
            if not turn % 64:
                names = list(self._network.gateways)
                weights = [self._weights[name] for name in names]
            (name,) = self._rng.choices(names, weights)
            gateway = self._network.gateways[name]
            if not gateway.stopped:
                request = asyncio.ensure_future(gateway.handle_request())
                self._requests.add(request)
                request.add_done_callback(self._requests.discard)

    def name_limit(self, per_s: float | None) -> None:
        """Let the limited server name a limit from now on, or none."""
        self._limited.limit_per_s = per_s
        self._rule.state(asyncio.get_running_loop().time(), per_s)

    async def _inject_faults(self) -> None:
        names = list(self._network.gateways)
        allocator = self._find_allocator()
        other = next(name for name in names if name != allocator)
        for fault, name in (
            (self.restart, other),
            (self.restart, allocator),
            (self.freeze, allocator),
        ):
            await fault(name)
            await asyncio.sleep(PAUSE_BETWEEN_S)
        await self.cut(DOMAINS[0])
        await asyncio.sleep(PAUSE_BETWEEN_S)
        await self.join("gateway-new")
        await asyncio.sleep(PAUSE_BETWEEN_S)

    def _find_allocator(self) -> str:
        gateway = next(iter(self._network.gateways.values()))
        return gateway.limits._allocators.choose("limited")

    async def restart(self, name: str) -> None:
        """Kill a gateway; it is back after a second and knows all others."""
        old = self._network.gateways[name]
        old.stop()
        await asyncio.sleep(1.0)
        fresh = self._add_gateway(name, old.domain)
        fresh.membership.live = set(self._network.gateways)
        self._excuse(name)

    async def freeze(self, name: str) -> None:
        """Pause a gateway for so long that the others count it as lost."""
        gateway = self._network.gateways[name]
        others = set(self._network.gateways) - {name}
        gateway.pause()
        await asyncio.sleep(DETECTION_S)
        self._set_live(others, others)
        await asyncio.sleep(FREEZE_S - DETECTION_S)
        gateway.resume()
        self._excuse(name)
        await asyncio.sleep(DISCOVERY_S)
        self._set_live(set(self._network.gateways))

    async def cut(self, domain: str) -> None:
        """Cut a failure domain from the others; both sides reach the server.

        No gateway is excused, although the platform's rule would excuse those cut off.
        """
        gateways = self._network.gateways
        inside = {name for name in gateways if gateways[name].domain == domain}
        outside = set(gateways) - inside
        self._network.reachable = lambda source, target: (
            (source in inside) == (target in inside)
        )
        await asyncio.sleep(DETECTION_S)
        self._set_live(inside, inside)
        self._set_live(outside, outside)
        await asyncio.sleep(CUT_S - DETECTION_S)
        self._network.reachable = lambda source, target: True
        await asyncio.sleep(DISCOVERY_S)
        self._set_live(set(gateways))

    async def join(self, name: str) -> None:
        """Start another gateway, of which the others hear some time later."""
        self._weights[name] = 1.0
        fresh = self._add_gateway(name, DOMAINS[0])
        fresh.membership.live = set(self._network.gateways)
        await asyncio.sleep(DISCOVERY_S)
        self._set_live(set(self._network.gateways))

    async def _change_limits(self) -> None:
        steps = (LIMIT_PER_S / 2, LIMIT_PER_S * 2, 0.5, 0.0, None, LIMIT_PER_S)
        for per_s in steps:
            self.name_limit(per_s)
            await asyncio.sleep(PAUSE_BETWEEN_S)

    def _excuse(self, name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._network.gateways[name].excused_until = now_s + STABLE_WINDOW_S

    def measure_over_allowed(self) -> float:
        """Return the largest count in a window, divided by what the rule allows."""
        end_s = asyncio.get_running_loop().time()
        return self._rule.measure(self._limited.sends, end_s)

    def _measure_fairness(self, sends: list[Send]) -> float:
        """Return Jain's index of the requests served for gateways of equal demand."""
        equal = [name for name, weight in self._weights.items() if weight == 1.0]
        counts = {name: 0 for name in equal if name in self._network.gateways}
        for send in sends:
            if send.served and send.gateway in counts:
                counts[send.gateway] += 1
        squares = sum(count**2 for count in counts.values())
        return sum(counts.values()) ** 2 / (len(counts) * squares) if squares else 0.0


@experiments.register("server_limit")
async def measure_server_limit(options: Options) -> dict[str, Any]:
    """Keep a limit that a server names, with 13 and 311 gateways.

    The gateways' limits, routers and on-demand probes are the real ones and exchange
    their real messages; network, membership and servers are modelled in virtual time.

    Parameters
    ----------
    options : Options
        Seed, and factor on the length of the calm part.

    Returns
    -------
    dict
        Figures by number of gateways, and those of the code before for 13.
    """
    result: dict[str, Any] = {}
    variants = [("gateways", count, True) for count in GATEWAYS]
    for key, count, keeps_limits in [*variants, ("before", GATEWAYS[0], False)]:
        scenario = Scenario(count, options.seed, options.scale, keeps_limits)
        run = LimitRun(scenario)
        result[f"{key}_{count}"] = await asyncio.to_thread(run_virtually, run.run())
    return result
