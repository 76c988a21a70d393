"""Experiment on processor time and memory by number of servers and rules."""

from __future__ import annotations

import asyncio
import gc
import resource
import tempfile
import time
import tracemalloc
import uuid
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from bench._experiments import Options, experiments
from bench._fits import fit_line
from geraniumbend.adapters.rpc import RpcClients
from geraniumbend.configuration import (
    ConfigurationStore,
    SetLabels,
    apply_operations,
    describe_operation,
)
from geraniumbend.keys import KeyRing
from geraniumbend.model import BackendServer, Configuration, Group, Rule, RuleMatch
from geraniumbend.replication import Replica
from geraniumbend.routing import RequestProperties, Router, RuleTable, ServerTable
from geraniumbend.settings import ControlSettings
from geraniumbend.timers import LoopTimers
from geraniumbend.wire import encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

TARGET_SERVERS = 15_000
TARGET_SERVICES = 690
TARGET_CHANGES_PER_DAY = 37_000
SERVERS_PER_SERVICE = TARGET_SERVERS / TARGET_SERVICES
SERVER_SIZES = (1_000, 4_000, 15_000)
SERVICE_SIZES = (45, 180, 690)
GROUP_SIZES = (15, 60, 240)
CHANGE_COUNTS = (200, 400, 800)
SHARD_COUNTS = (1, 4, 8)
IDLE_S = 2.0
RELABEL_OPERATIONS = (SetLabels("server-1", {"wave": "2"}),)


class _FixedGatewayShare:
    """Share of one gateway in a cluster of 13 gateways."""

    def gateway_share(self) -> float:
        return 1 / 13


def build_servers(count: int) -> dict[str, BackendServer]:
    """Return servers with `SERVERS_PER_SERVICE` of them in each service."""
    return {
        f"server-{number}": BackendServer(
            f"server-{number}",
            "127.0.0.1",
            1024 + number % 60_000,
            f"domain-{number % 16}",
            {"app": f"service-{number % max(1, round(count / SERVERS_PER_SERVICE))}"},
            slots=6,
        )
        for number in range(count)
    }


def build_configuration(services: int) -> Configuration:
    """Return one group and one rule for each service."""
    groups = {
        f"service-{number}": Group(f"service-{number}", f"app=service-{number}")
        for number in range(services)
    }
    rules = {
        f"rule-{number}": Rule(
            f"rule-{number}",
            f"service-{number}",
            RuleMatch(path_prefix=f"/service-{number}/"),
        )
        for number in range(services)
    }
    return Configuration(1, groups, rules)


def measure_retained_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that a value still holds allocated after it was built."""
    gc.collect()
    tracemalloc.start()
    value = build()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return used_bytes


def measure_cpu_us(run: Callable[[], Any], rounds: int) -> float:
    """Return the mean CPU time of one call after a warm-up call, in microseconds."""
    run()
    started = time.process_time()
    for _ in range(rounds):
        run()
    return (time.process_time() - started) / rounds * 1e6


def describe_fit(
    unit: str, sizes: Sequence[int], figures: Sequence[float], target: float
) -> dict[str, Any]:
    """Return measured points, their fitted line and its value at the target size."""
    fit = fit_line(sizes, figures)
    return {
        "unit": unit,
        "sizes": list(sizes),
        "figures": [round(figure, 3) for figure in figures],
        "slope": round(fit.slope, 6),
        "slope_error": round(fit.slope_error, 6),
        "intercept": round(fit.intercept, 3),
        "target": target,
        "at_target": round(fit.predict(target), 3),
    }


@experiments.register("slopes")
async def measure_slopes(options: Options) -> dict[str, Any]:
    """Measure how memory, CPU time and disk space grow with the size of a cluster."""
    result: dict[str, Any] = {}
    result.update(_measure_server_table())
    result.update(_measure_configuration())
    result["choice_cpu"] = _measure_server_choice(options.seed)
    result.update(await _measure_log())
    result["idle_shard_cpu"] = await _measure_idle_shards()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    result["peak_resident_mb"] = round(usage.ru_maxrss / 1024, 1)
    return result


def _measure_server_table() -> dict[str, Any]:
    memory_mb: list[float] = []
    build_ms: list[float] = []
    update_ms: list[float] = []
    for count in SERVER_SIZES:
        servers = build_servers(count)
        configuration = build_configuration(round(count / SERVERS_PER_SERVICE))
        timers = LoopTimers()

        def build(
            servers: dict[str, BackendServer] = servers,
            configuration: Configuration = configuration,
            timers: LoopTimers = timers,
        ) -> ServerTable:
            table = ServerTable(timers)
            table.update(servers, configuration)
            return table

        build_ms.append(measure_cpu_us(build, 1) / 1000)
        memory_mb.append(measure_retained_bytes(build) / 1e6)
        table = build()
        update_ms.append(
            measure_cpu_us(partial(_change_one_label, table, servers, configuration), 9)
            / 1000
        )
    return {
        "server_table_memory": describe_fit(
            "MB", SERVER_SIZES, memory_mb, TARGET_SERVERS
        ),
        "server_table_build": describe_fit(
            "ms", SERVER_SIZES, build_ms, TARGET_SERVERS
        ),
        "server_table_update": describe_fit(
            "ms", SERVER_SIZES, update_ms, TARGET_SERVERS
        ),
    }


def _change_one_label(
    table: ServerTable, servers: dict[str, BackendServer], configuration: Configuration
) -> None:
    first_server = servers["server-0"]
    wave = str(int(first_server.labels.get("wave", "0")) + 1)
    servers["server-0"] = first_server._replace(
        labels={**first_server.labels, "wave": wave}
    )
    table.update(servers, configuration)


def _measure_configuration() -> dict[str, Any]:
    memory_mb: list[float] = []
    build_ms: list[float] = []
    apply_us: list[float] = []
    match_us: list[float] = []
    for services in SERVICE_SIZES:
        configuration = build_configuration(services)
        memory_mb.append(
            measure_retained_bytes(partial(build_configuration, services)) / 1e6
        )
        build_ms.append(measure_cpu_us(partial(RuleTable, configuration), 5) / 1000)
        apply_us.append(
            measure_cpu_us(
                partial(apply_operations, configuration, RELABEL_OPERATIONS, 2), 50
            )
        )
        table = RuleTable(configuration)
        request = RequestProperties(
            "sheet.example", f"/service-{services - 1}/x", "GET", {}
        )
        match_us.append(measure_cpu_us(partial(table.find, request), 5_000))
    sizes = SERVICE_SIZES
    return {
        "configuration_memory": describe_fit("MB", sizes, memory_mb, TARGET_SERVICES),
        "rule_table_build": describe_fit("ms", sizes, build_ms, TARGET_SERVICES),
        "change_apply_cpu": describe_fit("us", sizes, apply_us, TARGET_SERVICES),
        "rule_match_cpu": describe_fit("us", sizes, match_us, TARGET_SERVICES),
    }


def _measure_server_choice(seed: int) -> dict[str, Any]:
    figures = []
    for size in GROUP_SIZES:
        servers = {
            server.server_id: server._replace(labels={"app": "service-0"})
            for server in build_servers(size).values()
        }
        timers = LoopTimers()
        table = ServerTable(timers)
        table.update(servers, build_configuration(1))
        router = Router(
            table, _FixedGatewayShare(), timers, "gateway-0", "domain-0", seed
        )

        def choose(router: Router = router) -> None:
            router.choose("service-0", "short", (), 1.0)

        figures.append(measure_cpu_us(choose, 2_000))
    return describe_fit("us", GROUP_SIZES, figures, SERVERS_PER_SERVICE)


class _SingleVoterLog:
    """Replicated log with a single voter in a temporary folder."""

    def __init__(self, folder: str, shard: str = "config") -> None:
        self.store = ConfigurationStore()
        clients = RpcClients(KeyRing([(1, b"loopback-experiments")]))
        self.replica = Replica(
            shard,
            "control-0",
            folder,
            {"control-0": "127.0.0.1:1"},
            self.store,
            clients,
            LoopTimers(),
            ControlSettings(),
        )

    async def start(self) -> None:
        await self.replica.start()
        while not self.replica.is_leader:
            await asyncio.sleep(0.01)

    async def change(self, revision: int) -> None:
        structs = load_structs("configuration")
        operation = SetLabels(f"server-{revision % 500}", {"wave": str(revision)})
        operations = msgspec.json.encode([describe_operation(operation)])
        command = structs.Change(
            change_id=str(uuid.uuid4()),
            expected_revision=revision,
            operations=operations,
            operator="bench",
            time_ms=revision,
        )
        await self.replica.propose(encode(structs.Command(change=command)))


async def _measure_log() -> dict[str, Any]:
    cpu_ms: list[float] = []
    disk_kb: list[float] = []
    for count in CHANGE_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            log = _SingleVoterLog(folder)
            await log.start()
            started = time.process_time()
            for number in range(count):
                await log.change(number)
            cpu_ms.append((time.process_time() - started) * 1000)
            files = (path for path in Path(folder).rglob("*") if path.is_file())
            disk_kb.append(sum(path.stat().st_size for path in files) / 1000)
            await log.replica.stop()
    target = TARGET_CHANGES_PER_DAY
    return {
        "log_change_cpu": describe_fit("ms", CHANGE_COUNTS, cpu_ms, target),
        "log_change_bytes": describe_fit("kB", CHANGE_COUNTS, disk_kb, target),
    }


async def _measure_idle_shards() -> dict[str, Any]:
    figures = []
    for count in SHARD_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            logs = [
                _SingleVoterLog(folder, f"orders-{number}") for number in range(count)
            ]
            for log in logs:
                await log.start()
            started = time.process_time()
            await asyncio.sleep(IDLE_S)
            cpu_s = time.process_time() - started
            figures.append(cpu_s / IDLE_S * 100)
            for log in logs:
                await log.replica.stop()
    return describe_fit("% of a core", SHARD_COUNTS, figures, 16)
