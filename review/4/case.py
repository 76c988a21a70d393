"""A planned stop cuts off requests whose instances answer in time."""

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

GRACE_S = 6.0
# The last sixth of `grace` begins here, in seconds after the SIGTERM.
EXCUSED_FROM_S = GRACE_S * 5 / 6
# Requests whose instances have ended this much before it count.
MARGIN_S = 0.03
DEADLINE_MS = 7500
LEAD_S = 1.0
REQUESTS = 140
STEP_S = 0.007


async def play(record, trouble):
    cluster = Cluster(record, controls=3, gateways=2)
    ended = {}

    class Keeping(Instance):
        """Instance that ends a request that it runs, although its caller is gone."""

        async def _respond(self, head, body, reader, writer):
            answered = await super()._respond(head, body, reader, writer)
            request_id = head[1].get("geraniumbend-request-id")
            if request_id:
                ended[request_id] = time.monotonic()
                self.record.write("end", instance=self.id, request=request_id)
            return answered

        async def _wait_for_work(self, reader, work):
            await asyncio.sleep(work)
            return False

    def read_work(target):
        return int(target.rpartition("/")[2]) / 1000

    instances = [
        Keeping(cluster, record, n, "svc-a", capacity=20, work_s=read_work)
        for n in range(1, 9)
    ]
    clients = Clients(cluster, record)
    try:
        await cluster.start_all()
        routes = [{"name": "r-a", "host": "a.example", "path-prefix": "/a/",
                   "kind": "unsafe", "service": "svc-a", "timeout": "8000ms",
                   "target-latency": "2000ms"}]
        await Operator(cluster, record).put(
            build_configuration(1, routes, [{"name": "svc-a"}])
        )
        for instance in instances:
            await instance.start()
        await cluster.wait_ready(*cluster.gateways)
        await asyncio.sleep(4.0)
        # Requests that end at all times of the grace period, and some before.
        tasks = []
        start = time.monotonic()
        for number in range(REQUESTS):
            await asyncio.sleep(max(0.0, start + number * STEP_S - time.monotonic()))
            end_s = LEAD_S + 0.1 + 5.3 * ((number * 67) % REQUESTS) / REQUESTS
            work_ms = int(1000 * (end_s - number * STEP_S))
            tasks.append(asyncio.create_task(clients.request(
                "front-1", "a.example", f"/a/{work_ms}", method="POST", body=b"pay",
                deadline_ms=DEADLINE_MS,
            )))
        await asyncio.sleep(max(0.0, start + LEAD_S - time.monotonic()))
        stopped = time.monotonic()
        if trouble:
            cluster.signal(signal.SIGTERM, "front-1")
        results = [await task for task in tasks]
        await asyncio.sleep(1.0)
    finally:
        for instance in instances:
            await instance.stop()
        cluster.stop()
    if not any(status == 200 for _, status, _ in results):
        raise NotRun("no request was served")
    lost = []
    for request_id, status, _ in results:
        passed_on = any(
            request_id == run[1] for instance in instances for run in instance.runs
        )
        end_s = ended.get(request_id, 1e9) - stopped
        excused = end_s > EXCUSED_FROM_S - MARGIN_S
        if not isinstance(status, int) and passed_on and not excused:
            lost.append(request_id)
            record.write("lost", request=request_id, ended_after_s=round(end_s, 3))
    record.say(f"requests open at the SIGTERM: {len(results)}, of them cut off although "
               f"their instance ended before the last sixth of grace: {len(lost)}")
    return bool(lost)


run_case(Path(__file__).parent, play)
