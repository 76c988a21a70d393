"""A gateway that restarts runs a request again that is known to crash instances."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import (  # noqa: E402
    Clients,
    Cluster,
    Instance,
    NotRun,
    Operator,
    build_configuration,
    run_case,
)

# `stable-window`: from then on a gateway that was killed is in touch again.
STABLE_S = 3.0
ROUNDS = 7
BACK_AFTER_S = 2.0


async def play(record, trouble):
    cluster = Cluster(record, controls=3, gateways=2)
    clients = Clients(cluster, record)
    crashes = []
    restarts = set()
    number = 100

    async def crash(instance):
        nonlocal number
        await instance.stop()
        await asyncio.sleep(BACK_AFTER_S)
        number += 1
        instance.id = f"i-{number:08x}"
        await instance.start()

    def on_crash(instance):
        crashes.append(time.monotonic())
        task = asyncio.ensure_future(crash(instance))
        restarts.add(task)
        return task

    instances = [Instance(cluster, record, n, "svc-a") for n in range(1, 6)]
    for instance in instances:
        instance.crash_on, instance.on_crash = "/a/poison", on_crash
    killed_at = []
    sent_at = []
    try:
        await cluster.start_all()
        routes = [{"name": "r-a", "host": "a.example", "path-prefix": "/a/",
                   "kind": "safe", "service": "svc-a"}]
        await Operator(cluster, record).put(
            build_configuration(1, routes, [{"name": "svc-a"}])
        )
        for instance in instances:
            await instance.start()
        await cluster.wait_ready(*cluster.gateways)
        await asyncio.sleep(4.0)
        traffic = asyncio.create_task(
            clients.run(10 + 9 * ROUNDS, 10, ["front-1"], "a.example", "/a/list")
        )
        for round_number in range(ROUNDS):
            # The request comes at one machine, and its repetition at the other.
            for front in ("front-1", "front-2"):
                sent_at.append(time.monotonic())
                await clients.request(front, "a.example", "/a/poison")
                await asyncio.sleep(0.7)
            if trouble and round_number < ROUNDS - 1:
                cluster.signal(signal.SIGKILL, "front-2")
                await cluster.wait_ended("front-2")
                killed_at.append(time.monotonic())
                await asyncio.sleep(0.5)
                cluster.start("front-2")
                await cluster.wait_ready("front-2")
            await asyncio.sleep(STABLE_S + 1.0)
        traffic.cancel()
        await clients.settle()
    finally:
        for instance in instances:
            await instance.stop()
        cluster.stop()
    if len(crashes) < 2:
        raise NotRun("the request did not crash the instances that ran it")
    # Later than `stable-window` after the third crash, by machines in touch. Each is
    # sent at least `stable-window` after the restart of the gateway.
    later = []
    if len(crashes) > 2:
        later = [at for at in crashes if at > crashes[2] + STABLE_S]
    record.say(f"requests for the crashing path {len(sent_at)}, "
               f"kills of front-2 {len(killed_at)}, crashes {len(crashes)}")
    record.say("crashes after [s] "
               f"{[round(at - sent_at[0], 1) for at in crashes]}")
    record.say("runs later than the stable-window after the third crash, by gateways "
               f"in touch: {len(later)}; allowed: 3")
    return len(later) > 3


run_case(Path(__file__).parent, play)
