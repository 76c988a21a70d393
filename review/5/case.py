"""A request whose answer was lost is sent again to an instance that drains."""

from __future__ import annotations

import asyncio
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
DEADLINE_MS = 6858
WORK_S = 0.277
# Requests that are answered before; one lost answer is 1.6 % of those that it runs.
EARLIER = 60


class Losing(Instance):
    """Instance whose answer to the first request for `lose_on` is lost."""

    lose_on = None

    async def _respond(self, head, body, reader, writer):
        if self.lose_on is not None and self.lose_on in head[0]:
            self.lose_on = None
            request_id = head[1]["geraniumbend-request-id"]
            self.arrivals.append((time.monotonic(), request_id, head[0].split()[1]))
            self.record.write("arrive", instance=self.id, request=request_id)
            self.record.write("run", instance=self.id, request=request_id)
            await asyncio.sleep(WORK_S)
            self.record.write("answer-lost", instance=self.id, request=request_id)
            # The connection stays open, and nothing is sent on it.
            await reader.read(1)
            return False
        return await super()._respond(head, body, reader, writer)


async def play(record, trouble):
    cluster = Cluster(record, controls=3, gateways=1)
    old, new = (
        Losing(cluster, record, n, "svc-a", capacity=6, work_s=WORK_S, zone="stmk-a")
        for n in (1, 2)
    )
    clients = Clients(cluster, record)

    def send(path):
        return clients.request(
            "front-1", "a.example", path, deadline_ms=DEADLINE_MS
        )

    try:
        await cluster.start_all()
        routes = [{"name": "r-a", "host": "a.example", "path-prefix": "/a/",
                   "kind": "download", "service": "svc-a", "timeout": "7000ms",
                   "target-latency": "2833ms", "max-attempts": 2}]
        await Operator(cluster, record).put(
            build_configuration(1, routes, [{"name": "svc-a"}])
        )
        await old.start()
        await cluster.wait_ready(*cluster.gateways)
        await asyncio.sleep(4.0)
        for _ in range(EARLIER // 4):
            await asyncio.gather(*(send("/a/list") for _ in range(4)))
        # The instance is replaced: the new one starts first, then the old one drains.
        if trouble:
            old.lose_on = "/a/last"
        last = asyncio.create_task(send("/a/last"))
        await asyncio.sleep(0.4)
        await new.start()
        await asyncio.sleep(0.4)
        acked = await old.drain()
        if acked is None:
            raise NotRun("the draining was not acknowledged")
        await asyncio.sleep(1.0)
        others = await asyncio.gather(*(send("/a/after") for _ in range(4)))
        await last
        await asyncio.sleep(max(0.0, acked + DRAIN_S + 2.0 - time.monotonic()))
        await old.leave()
    finally:
        await old.stop()
        await new.stop()
        cluster.stop()
    if not all(status == 200 for _, status, _ in others):
        raise NotRun("requests after the draining were not served")
    late = [a for a in old.arrivals if a[0] > acked + DRAIN_S]
    for at, request_id, target in late:
        record.write("late", request=request_id, target=target,
                     after_ack_s=round(at - acked, 3))
    record.say(f"requests that reached {old.id} more than {DRAIN_S} s after its draining "
               f"was acknowledged: {len(late)}")
    return bool(late)


run_case(Path(__file__).parent, play)
