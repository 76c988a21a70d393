"""Experiment on the disk writes of departures."""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from typing import Any

from bench._experiments import Options, experiments
from geraniumbend.adapters.disk import LocalDisk
from geraniumbend.membership import DepartureLog
from geraniumbend.membership._records import SERVER, Record
from geraniumbend.membership._server_records import DEREGISTERED, FINAL_VERSION

RATES_PER_S = (30, 300, 1_000)
DURATION_S = 5.0
# Content of a record with the labels that the platform's servers announce.
CONTENT_BYTES = 120


class CountingDisk(LocalDisk):
    """Local disk that counts its syncs."""

    def __init__(self) -> None:
        super().__init__()
        self.syncs = 0

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        self.syncs += 1
        super().sync(path)


@experiments.register("departures")
async def measure_departures(options: Options) -> dict[str, Any]:
    """Measure how long departures wait for the disk of one control host."""
    rng = random.Random(options.seed)
    return {
        f"at_{rate}_per_s": await _store_at_rate(rate, options.scale, rng)
        for rate in RATES_PER_S
    }


async def _store_at_rate(
    rate_per_s: int, scale: float, rng: random.Random
) -> dict[str, float]:
    disk = CountingDisk()
    departed: list[Record] = []
    with tempfile.TemporaryDirectory() as folder:
        log = DepartureLog(disk, folder, lambda: departed)
        cpu_start_s, start_s = time.process_time(), time.monotonic()
        waits = []
        for number in range(round(rate_per_s * DURATION_S * scale)):
            record = _create_record(number, rng)
            departed.append(record)
            waits.append(asyncio.ensure_future(_measure_append(log, record)))
            due_s = start_s + (number + 1) / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        waited_ms = [1_000 * wait_s for wait_s in await asyncio.gather(*waits)]
        cpu_s, taken_s = time.process_time() - cpu_start_s, time.monotonic() - start_s
    disk.close()
    percentiles = statistics.quantiles(waited_ms, n=100)
    return {
        "departures": len(waited_ms),
        "syncs": disk.syncs,
        "stored_p50_ms": round(percentiles[49], 2),
        "stored_p99_ms": round(percentiles[98], 2),
        "cpu_share": round(cpu_s / taken_s, 4),
    }


async def _measure_append(log: DepartureLog, record: Record) -> float:
    start_s = time.monotonic()
    await log.append(record)
    return time.monotonic() - start_s


def _create_record(number: int, rng: random.Random) -> Record:
    return Record(
        SERVER,
        "",
        f"server-{number}",
        1,
        FINAL_VERSION,
        DEREGISTERED,
        "control-1",
        rng.randbytes(CONTENT_BYTES),
        0.0,
    )
