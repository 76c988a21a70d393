"""A departure that was acknowledged is forgotten when all processes are killed."""

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

DRAIN_S = 2.0
# Twice the stable-window of 3 s: after a final fault that took most of the core, calm
# machines are in touch again then.
TOUCH_S = 6.0
# Time for which the instance serves after its departure was acknowledged: drain and
# "at times many seconds".
SERVES_S = 16.0


async def play(record, trouble):
    cluster = Cluster(record, controls=3, gateways=2)
    instances = [Instance(cluster, record, n, "svc-a") for n in (1, 2, 3)]
    clients = Clients(cluster, record)
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
            clients.run(26, 40, cluster.gateways, "a.example", "/a/list")
        )
        await asyncio.sleep(4.0)
        leaving = instances[0]
        acked = await leaving.leave()
        if acked is None:
            raise NotRun("the departure was not acknowledged")
        if trouble:
            everything = [*cluster.controls, *cluster.gateways]
            cluster.signal(signal.SIGKILL, *everything)
            await cluster.wait_ended(*everything)
            cluster.bootstrap = False
            await asyncio.sleep(0.5)
            cluster.start(*everything)
        restarted = time.monotonic()
        await asyncio.sleep(max(0.0, acked + SERVES_S - time.monotonic()))
        await leaving.stop()
        await traffic
        await clients.settle()
    finally:
        for instance in instances:
            await instance.stop()
        cluster.stop()
    # Only requests count that the clients sent when the gateways were in touch again.
    first = max(acked + DRAIN_S, restarted + TOUCH_S if trouble else 0.0)
    late = [
        request_id
        for at, request_id, _ in leaving.arrivals
        if at > first and clients.sent[request_id][0] > first
    ]
    served = sum(1 for status in clients.answers.values() if status == 200)
    record.say(f"requests sent {len(clients.sent)}, answered with 200 {served}")
    record.say(
        f"requests that reached {leaving.id} more than {DRAIN_S} s after its departure "
        f"was acknowledged, sent by gateways in touch: {len(late)}"
    )
    return bool(late)


run_case(Path(__file__).parent, play)
