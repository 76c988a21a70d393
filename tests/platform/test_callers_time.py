"""Bursts of callers that have the same time, on routes with different objectives."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform.test_configuration import build_document
from tests.platform.test_system import PlatformCase

SERVERS = 2
SLOTS = 4
WORK_S = 0.5
OBJECTIVES_MS = (400, 1000, 2900)
# Time for five rounds of work in all slots, one after the other. Three rounds must be
# served; the rest is left for the error of the estimates.
TIME_S = 2.5
SERVED_ROUNDS = 3
CALLERS = 80


class Result(NamedTuple):
    status: int
    took_s: float
    retry_after: str | None


class SlotServer:
    """Instance that works on a few requests at a time; further ones wait for a slot."""

    def __init__(self, name):
        self.name = name
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.refused = 0

    def build_load(self):
        running = min(self.present, SLOTS)
        return f"{running},{self.present - running},{SLOTS},100"

    async def respond(self, received, reader, writer):
        fields = dict(
            line.split(": ", 1)
            for line in received.head.decode().split("\r\n")[1:]
            if line
        )
        request_id = fields.get("Geraniumbend-Request-Id", "")
        signature = ""
        if request_id:
            self.present += 1
            try:
                async with self.slots:
                    await asyncio.sleep(WORK_S)
            finally:
                self.present -= 1
            signature = (
                f"Geraniumbend-Request-Id: {request_id}\r\n"
                "Geraniumbend-Response-Signature: s\r\n"
            )
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                f"Geraniumbend-Instance-Load: {self.build_load()}\r\n"
                f"{signature}\r\nok"
            ).encode()
        )


def build_routes():
    """Return an idempotent and a non-idempotent route for each objective."""
    routes = []
    for objective_ms in OBJECTIVES_MS:
        for kind in ("safe", "unsafe"):
            name = f"{kind}-{objective_ms}"
            path = f"/{name}/"
            target = f"{objective_ms}ms"
            routes.append(
                [name, "h.example", path, kind, "3000ms", target, 2, None, 2, "one"]
            )
    return routes


class CallersTimeTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway = await self.deployment.start_gateway(11)
        await self.put_configuration(build_document(build_routes()))
        await self.deployment.wait_until_configured(self.gateway)
        self.servers = [SlotServer(f"i-{number}") for number in range(SERVERS)]
        for server in self.servers:
            backend = ScriptedBackend(server.respond)
            await backend.__aenter__()
            self.addAsyncCleanup(backend.__aexit__)
            await self.send_heartbeat(server.name, backend.port, 1)
        await self.deployment.wait_until(
            lambda: len(self.gateway._table.available("one")) == SERVERS
        )
        await self.wait_for_status(f"/safe-{OBJECTIVES_MS[0]}/x", 200)
        for objective_ms in OBJECTIVES_MS:
            for kind in ("safe", "unsafe"):
                # The gateway learns the service time of each route.
                await self.send_burst(4, f"/{kind}-{objective_ms}/x", kind, 3.0)

    async def send_burst(self, count, path, kind, time_s):
        return await asyncio.gather(
            *(self.ask(path, kind, time_s, number) for number in range(count))
        )

    async def ask(self, path, kind, time_s, number):
        begin = time.monotonic()
        fields = {
            "Host": "h.example",
            "Connection": "close",
            "Geraniumbend-Deadline-Ms": str(round(1000 * time_s)),
            "Geraniumbend-Request-Id": f"{number}-{begin}",
        }
        method = "GET" if kind == "safe" else "POST"
        status, _, headers = await self.deployment.call(
            method, 11, self.deployment.front_port, path, headers=fields
        )
        took_s = time.monotonic() - begin
        return Result(status, took_s, headers.get("Retry-After"))

    async def check_work_that_fits(self, kind):
        for objective_ms in OBJECTIVES_MS:
            results = await self.send_burst(24, f"/{kind}-{objective_ms}/x", kind, 3.0)
            served = sum(result.status == 200 for result in results)
            self.assertEqual(served, 24, (objective_ms, results))

    async def check_work_that_does_not_fit(self, kind):
        slots = SERVERS * SLOTS
        for objective_ms in OBJECTIVES_MS:
            path = f"/{kind}-{objective_ms}/x"
            results = await self.send_burst(CALLERS, path, kind, TIME_S)
            served = [result for result in results if result.status == 200]
            refused = [result for result in results if result.status == 503]
            details = (objective_ms, results)
            self.assertEqual(len(served) + len(refused), CALLERS, details)
            in_time = [result for result in served if result.took_s <= TIME_S]
            self.assertGreaterEqual(len(in_time), SERVED_ROUNDS * slots, details)
            # A caller that is held has too little time left for another gateway. At
            # most the last round is uncertain.
            held = [result for result in refused if result.took_s > TIME_S / 2]
            self.assertLessEqual(len(held), slots, details)
            self.assertTrue(all(result.retry_after for result in refused), details)

    # Callers of a route with a short objective were refused after 14 ms although all of
    # the work takes a third of their time.
    async def test_work_that_fits_into_the_time_of_its_callers_is_served(self):
        await self.check_work_that_fits("safe")

    async def test_orders_that_fit_into_the_time_of_their_callers_are_served(self):
        await self.check_work_that_fits("unsafe")

    # Callers of a route with a long objective were held past their deadline, and got
    # 504, which leaves open whether an order was run.
    async def test_work_that_does_not_fit_is_refused_at_once(self):
        await self.check_work_that_does_not_fit("safe")

    async def test_orders_that_do_not_fit_are_refused_at_once(self):
        await self.check_work_that_does_not_fit("unsafe")
