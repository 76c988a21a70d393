"""A gateway that is killed and comes back runs a request that crashes instances."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

HOST = "sheets.example"
INSTANCES = 5
CRASHING = "/classes/crashing"
ROUNDS = 8
BACK_AFTER_S = 2.0
RESTART_S = 0.5
STABLE_WINDOW_S = 3.0
ALLOWED_RETRIES = 3
PACE_S = 0.1


class Fragile(harness.Instance):
    """Instance that a certain request crashes; it comes back as a new incarnation."""

    crashes: list[float] = []

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task | None = None

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, request_id, method, path, fields, body):
        if path != CRASHING:
            return await super().answer(request_id, method, path, fields, body)
        self.crashes.append(time.monotonic())
        self.record.write(f"{request_id} crashes instance {self.identity}")
        await self.stop()
        for writer in list(self._writers):
            writer.transport.abort()
        self._restart = asyncio.ensure_future(self._come_back())
        return None

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        self.identity = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()


async def send(deployment, record, name: str, path: str) -> int:
    request_id = harness.new_request_id()
    fields = {
        "Host": HOST,
        "Geraniumbend-Request-Id": request_id,
        "Geraniumbend-Deadline-Ms": "1500",
    }
    address, port = deployment.address(name), deployment.front_port
    try:
        status, _, _ = await harness.call(address, port, "GET", path, b"", fields, 2.0)
    except (OSError, TimeoutError, EOFError):
        status = 0
    record.write(f"{name} answers {status} to {request_id} {path}")
    return status


async def case(deployment: harness.Deployment, record: harness.Record) -> bool:
    await deployment.start(gateways=2)
    instances = [Fragile(deployment, "klassen", 40 + n) for n in range(INSTANCES)]
    for instance in instances:
        await instance.start()
    route = {
        "name": "r-classes",
        "host": HOST,
        "path-prefix": "/classes/",
        "kind": "safe",
        "service": "klassen",
    }
    await deployment.put_configuration(
        harness.build_configuration(1, [route], ["klassen"])
    )
    fronts = ("front-1", "front-2")
    for name in fronts:
        await deployment.wait_ready(name)
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    async def browse() -> None:
        number = 0
        while True:
            await asyncio.sleep(PACE_S)
            number += 1
            await send(deployment, record, "front-1", f"/classes/{number}")

    browsing = asyncio.ensure_future(browse())
    for number in range(ROUNDS):
        for name in fronts:
            await send(deployment, record, name, CRASHING)
            await asyncio.sleep(0.7)
        if harness.is_troubled() and number < ROUNDS - 1:
            deployment.send_signal("front-2", signal.SIGKILL)
            await deployment.processes["front-2"].wait()
            await asyncio.sleep(RESTART_S)
            await deployment.start_process(
                "front-2", deployment.hosts["front-2"], "gateway"
            )
            await deployment.wait_ready("front-2")
        # Sent `stable-window` after the restart, so that the gateway is in touch.
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    browsing.cancel()
    for instance in instances:
        await instance.stop()
    crashes = Fragile.crashes
    if len(crashes) < 2:
        raise harness.CannotRunError("the request crashed fewer than two instances")
    later = [at for at in crashes[3:] if at > crashes[2] + STABLE_WINDOW_S]
    text = f"{len(crashes)} crashes, {len(later)} late, {ALLOWED_RETRIES} allowed"
    record.write(text)
    print(text)
    return len(later) > ALLOWED_RETRIES


harness.run_case(__file__, case)
