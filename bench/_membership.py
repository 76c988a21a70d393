from __future__ import annotations

import asyncio
import json
import random
import socket
import sys
from typing import Any

import numpy as np

from bench._cluster import SECRET
from bench._experiments import Options, experiments

SIZES = (13, 26, 52)
WORKERS = 12
SERVERS_PER_NODE = 30 / 13
SETTLE_S = 4.0
STEADY_S = 4.0
SEEDS = 3


class Worker:
    """A process that hosts some nodes.

    Parameters
    ----------
    nodes : list of dict
        Settings and backend servers of the nodes.
    """

    def __init__(self, nodes: list[dict[str, Any]]) -> None:
        self.nodes = nodes
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until its nodes have joined."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench._membership_worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await self._exchange({"nodes": self.nodes})

    async def ask(self, do: str, **fields: Any) -> dict[str, Any]:
        """Send a command and return its answer."""
        return await self._exchange({"do": do, **fields})

    async def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def _exchange(self, document: dict[str, Any]) -> dict[str, Any]:
        assert self.process is not None
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps(document).encode() + b"\n")
        await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        answer: dict[str, Any] = json.loads(line)
        return answer


def reserve_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, so that no node's connection occupies another node's port.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        Ports.
    """
    found: list[int] = []
    for port in random.sample(range(20_000, 32_000), 12_000):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            break
    return found


def describe_nodes(count: int) -> list[dict[str, Any]]:
    """Return settings and backend servers of a cluster's nodes."""
    ports = reserve_ports(count)
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in ports[:SEEDS])
    total = round(count * SERVERS_PER_NODE)
    nodes = []
    for number, port in enumerate(ports):
        text = (
            f'[node]\nname = "gateway-{number}"\n'
            f'failure_domain = "domain-{number % 3}"\n'
            f'[[keys]]\nnumber = 1\nsecret = "{SECRET}"\n'
            f"[peer]\nseeds = [{seeds}]\n[peer.listen]\nport = {port}\n"
        )
        servers = [f"server-{i}" for i in range(number, total, count)]
        nodes.append({"settings": text, "servers": servers})
    return nodes


async def measure(count: int, steady_s: float) -> dict[str, float]:
    """Measure one size of cluster.

    Parameters
    ----------
    count : int
        Number of nodes.
    steady_s : float
        Length of the undisturbed measurement, in seconds.

    Returns
    -------
    dict
        Seconds to notice, and bytes per second and CPU share per node.
    """
    nodes = describe_nodes(count)
    victim = Worker([nodes[-1]])
    # The victim's backend servers would go with it.
    nodes[0]["servers"] += nodes[-1]["servers"]
    victim.nodes[0]["servers"] = []
    rest = [Worker(nodes[i : count - 1 : WORKERS]) for i in range(WORKERS)]
    workers = [*rest, victim]
    servers = round(count * SERVERS_PER_NODE)
    try:
        started = asyncio.get_running_loop().time()
        await rest[0].start()
        await asyncio.gather(*(worker.start() for worker in workers[1:]))
        joined = await ask_all(workers, "watch", live=count, servers=servers)
        join_s = asyncio.get_running_loop().time() - started
        await asyncio.sleep(SETTLE_S)
        before = await ask_all(workers, "sample")
        await asyncio.sleep(steady_s)
        after = await ask_all(workers, "sample")
        new = await time_change(
            rest, rest[1].ask("announce", server="new"), count, servers + 1
        )
        gone = await time_change(
            rest, rest[1].ask("depart", server="new"), count, servers
        )
        loop_time = asyncio.get_running_loop().time()
        await victim.kill()
        seen = await ask_all(rest, "watch", live=count - 1, servers=servers)
    finally:
        await asyncio.gather(*(worker.kill() for worker in workers))
    rates, shares = rate_nodes(before, after)
    missing = sum(answer["missing"] for answer in [*joined, *new, *gone, *seen])
    return {
        "nodes": count,
        "backend_servers": servers,
        "dead_gateway_s": round(max(a["at"] for a in seen) - loop_time, 3),
        "new_server_s": round(spread_time(new), 3),
        "deregistered_server_s": round(spread_time(gone), 3),
        "bytes_per_s_mean": round(float(np.mean(rates)), 1),
        "bytes_per_s_max": round(float(np.max(rates)), 1),
        "cpu_share_per_node": round(float(np.mean(shares)), 5),
        "join_s": round(join_s, 3),
        "nodes_that_missed_a_change": missing,
    }


async def ask_all(
    workers: list[Worker], do: str, **fields: Any
) -> list[dict[str, Any]]:
    """Send one command to all workers at once."""
    return list(await asyncio.gather(*(w.ask(do, **fields) for w in workers)))


async def time_change(
    workers: list[Worker], change: Any, live: int, servers: int
) -> list[dict[str, Any]]:
    """Make a change and return it with the times at which workers saw it."""
    # A worker answers one command at a time, so the change comes first.
    changed = await change
    answers = await ask_all(workers, "watch", live=live, servers=servers)
    return [{"at": changed["at"], "missing": 0}, *answers]


def spread_time(answers: list[dict[str, Any]]) -> float:
    """Return the seconds from the first to the last answer."""
    times = [answer["at"] for answer in answers]
    return float(max(times) - times[0])


def rate_nodes(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> tuple[list[float], list[float]]:
    """Return bytes per second and CPU share of each node."""
    rates: list[float] = []
    shares: list[float] = []
    for first, last in zip(before, after, strict=True):
        elapsed = last["at"] - first["at"]
        sent = np.subtract(last["bytes"], first["bytes"])
        rates.extend(float(value) / elapsed for value in sent)
        share = (last["cpu_s"] - first["cpu_s"]) / elapsed / len(sent)
        shares.extend([share] * len(sent))
    return rates, shares


@experiments.register("membership")
async def measure_membership(options: Options) -> dict[str, Any]:
    """Measure detection, spreading and cost at three sizes.

    Real UDP and TCP sockets on loopback; 12 processes share the nodes evenly, and
    one process with a single node is killed.

    Parameters
    ----------
    options : Options
        The scale changes the length of the undisturbed measurement.

    Returns
    -------
    dict
        Figures by size and the slopes per node.
    """
    steady_s = STEADY_S * options.scale
    # The two small clusters together are smaller than the large one.
    small = [measure(size, steady_s) for size in SIZES[:-1]]
    sizes = list(await asyncio.gather(*small))
    sizes.append(await measure(SIZES[-1], steady_s))
    counts = [size["nodes"] for size in sizes]
    slopes = {
        key: float(np.polyfit(counts, [size[key] for size in sizes], 1)[0])
        for key in ("bytes_per_s_mean", "cpu_share_per_node")
    }
    return {
        "sizes": sizes,
        "nodes_per_process": "1 to 5 in 12 processes, and 1 in the killed process",
        "bytes_per_s_per_added_node": round(slopes["bytes_per_s_mean"], 2),
        "cpu_share_per_added_node": round(slopes["cpu_share_per_node"], 7),
        "byte_budget_kept": all(s["bytes_per_s_max"] <= 18_000 for s in sizes),
        "seconds_to_notice": max(s["dead_gateway_s"] for s in sizes),
    }
