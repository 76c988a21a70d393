"""Clients that pipeline safe requests while their gateway gets SIGTERM."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

HOST = "sheets.example"
CLIENTS = 16
BODY = bytes(100_000)
WORK_S = 0.06
# One way between clients and machines, as the pages state it.
LINK_DELAY_S = 0.008
# The link of one client carries 20 Mbit/s.
LINK_CHUNK = 16_384
LINK_CHUNK_S = 0.0065
# Time after the first request in which a client sends the second one.
SECOND_WITHIN_S = 0.1
CALM_S = 4.0
TROUBLE_S = 2.4
DEADLINE_MS = 1500


class Link:
    """Proxy between clients and a gateway: delay and bandwidth of a client's link."""

    def __init__(self, host: str, port: int, record: harness.Record) -> None:
        self._target = (host, port)
        self._record = record
        self.resets = 0
        self.address = ("", 0)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader, writer) -> None:
        raw = socket.socket()
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        try:
            await asyncio.get_running_loop().sock_connect(raw, self._target)
        except OSError:
            writer.transport.abort()
            raw.close()
            return
        far_reader, far_writer = await asyncio.open_connection(sock=raw, limit=8_192)
        up = asyncio.ensure_future(self._pass("a client", reader, far_writer))
        down = asyncio.ensure_future(
            self._pass("the gateway", far_reader, writer, LINK_CHUNK_S)
        )
        await asyncio.wait({up, down})
        far_writer.close()

    async def _pass(self, side, reader, writer, pace_s: float = 0.0) -> None:
        """Pass bytes on, each after the delay of the link; the end of them likewise."""
        queue: asyncio.Queue = asyncio.Queue()
        sending = asyncio.ensure_future(self._send(queue, writer))
        try:
            while data := await reader.read(LINK_CHUNK):
                queue.put_nowait((time.monotonic() + LINK_DELAY_S, data))
                if pace_s:
                    await asyncio.sleep(pace_s * len(data) / LINK_CHUNK)
            queue.put_nowait((time.monotonic() + LINK_DELAY_S, b""))
        except OSError as error:
            self.resets += 1
            self._record.write(f"link: {side} resets a connection: {error}")
            queue.put_nowait((time.monotonic() + LINK_DELAY_S, None))
        await sending

    async def _send(self, queue, writer) -> None:
        try:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if data is None:
                    writer.transport.abort()
                    return
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            return


class Client:
    """Sends a request, and often a second one before the first is answered."""

    def __init__(self, link: Link, record: harness.Record, number: int) -> None:
        self._link = link
        self._record = record
        self._name = f"client-{number}"
        # Id, path and time of each first request on a connection or after an answer.
        self.sent: dict[str, float] = {}
        self.took: dict[str, float] = {}
        self.outcomes: dict[str, str] = {}
        self._head_arrived = asyncio.Event()

    async def run(self, end: float) -> None:
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*self._link.address[:2])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while time.monotonic() < end:
                    if not await self._exchange(reader, writer):
                        break
                    await asyncio.sleep(random.uniform(0.0, 0.1))
            finally:
                writer.close()

    def _send(self, writer) -> str:
        request_id = harness.new_request_id()
        writer.write(
            f"GET /classes/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Geraniumbend-Request-Id: {request_id}\r\n"
            f"Geraniumbend-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        self._record.write(f"{self._name} sends {request_id}")
        return request_id

    async def _exchange(self, reader, writer) -> bool:
        """Send one or two requests; return whether the connection stays open."""
        self._head_arrived = asyncio.Event()
        first = self._send(writer)
        self.sent[first] = time.monotonic()
        answer = asyncio.ensure_future(self._read(reader, first))
        second_at = random.uniform(0.0, SECOND_WITHIN_S)
        second = None
        try:
            async with asyncio.timeout(second_at):
                await asyncio.shield(self._head_arrived.wait())
        except TimeoutError:
            second = self._send(writer)
        self.outcomes[first] = await answer
        self.took[first] = time.monotonic() - self.sent[first]
        self._record.write(f"{self._name} gets {self.outcomes[first]} for {first}")
        if not self.outcomes[first].endswith("complete"):
            return False
        if second is not None:
            outcome = await self._read(reader, second)
            self._record.write(f"{self._name} gets {outcome} for {second} (behind)")
            return outcome.endswith("complete")
        return True

    async def _read(self, reader, request_id: str) -> str:
        got = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status, fields = await harness.read_head(reader)
                self._head_arrived.set()
                length = int(fields.get("content-length", "0"))
                while got < length:
                    data = await reader.read(min(65_536, length - got))
                    if not data:
                        return f"{status.split()[1]}, cut at {got} of {length} bytes"
                    got += len(data)
        except TimeoutError:
            return "no whole answer before the deadline"
        except OSError as error:
            return f"{type(error).__name__} at {got} bytes"
        except asyncio.IncompleteReadError:
            return "an end without an answer"
        finally:
            self._head_arrived.set()
        closing = fields.get("connection", "").lower() == "close"
        return f"{status.split()[1]} {'closing' if closing else 'kept'} complete"


async def case(deployment: harness.Deployment, record: harness.Record) -> bool:
    await deployment.start()
    instances = [
        harness.Instance(deployment, "klassen", 40 + n, capacity=16) for n in range(3)
    ]

    async def work(request_id, method, path, fields, body):
        await asyncio.sleep(WORK_S)
        return instances[0].build_success(request_id, BODY)

    for instance in instances:
        instance.work = work
        await instance.start()
    route = {
        "name": "r-classes",
        "host": HOST,
        "path-prefix": "/classes/",
        "kind": "safe",
        "service": "klassen",
        "priority": 1,
    }
    await deployment.put_configuration(
        harness.build_configuration(1, [route], ["klassen"])
    )
    await deployment.wait_ready("front-1")
    await asyncio.sleep(1.0)
    link = Link(deployment.address("front-1"), deployment.front_port, record)
    await link.start(f"{deployment.network}.60")
    clients = [Client(link, record, number) for number in range(CLIENTS)]
    end = time.monotonic() + CALM_S + TROUBLE_S
    running = [asyncio.ensure_future(client.run(end)) for client in clients]
    await asyncio.sleep(CALM_S)
    stopped_at = time.monotonic()
    if harness.is_troubled():
        deployment.send_signal("front-1", signal.SIGTERM)
    await asyncio.gather(*running)
    ran = {run[1] for instance in instances for run in instance.runs}
    for instance in instances:
        await instance.stop()
    link.stop()
    broken = 0
    for client in clients:
        for request_id, outcome in client.outcomes.items():
            phase = "after" if client.sent[request_id] >= stopped_at else "before"
            is_cut = "cut at" in outcome or "Error" in outcome or "an end" in outcome
            # Deadline and timeout of the route are the same here.
            is_in_time = client.took[request_id] < DEADLINE_MS / 1000
            if request_id in ran and is_cut and is_in_time:
                broken += 1
                took_s = client.took[request_id]
                record.write(
                    f"LOST, sent {phase} the stop, cut after {took_s:.3f} s: "
                    f"{request_id}: {outcome}"
                )
    total = sum(len(client.outcomes) for client in clients)
    record.write(f"{broken} of {total} first requests ran and were cut off")
    print(f"{broken} of {total} first requests ran and were cut off")
    return broken > 0


harness.run_case(__file__, case)
