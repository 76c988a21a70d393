"""Records what each party of a session observed, to compare it with a golden file."""

from __future__ import annotations

import json
import os
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from bench._cluster import Cluster
from bench._stub_backend_server import StubBackendServer

FOLDER = Path(__file__).resolve().parent
REWRITE_GOLDEN = bool(os.environ.get("GERANIUMBEND_WRITE_GOLDEN"))
# Fields of problem documents and outcomes that differ from run to run.
VARYING_FIELDS = ("request_id", "change_id", "instance", "time_ms")


class Session:
    """A cluster with stub servers; each exchange is recorded as a line of JSON."""

    def __init__(self, gateways=2, controls=3):
        self.cluster = Cluster(gateways, controls)
        self.servers = {}
        self.lines = []
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        self._stack.push_async_callback(self.cluster.stop)
        await self.cluster.start()
        self.http = await self._stack.enter_async_context(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *failure):
        await self._stack.aclose()

    def record(self, party, action, **saw):
        self.lines.append(json.dumps({"party": party, "did": action, **saw}))

    async def add_server(self, name, **labels):
        server = StubBackendServer(
            name, labels, announce_to=self.cluster.announces, seed=len(self.servers)
        )
        await server.start()
        self._stack.push_async_callback(server.stop)
        self.servers[name] = server
        return server

    async def call(self, gateway, method, path, note="", data=None, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.cluster.callers[gateway]}{path}"
        try:
            async with self.http.request(
                method, url, data=data, headers=names
            ) as response:
                text = await response.text()
                saw = {"status": response.status, "body": self._simplify(text)}
        except aiohttp.ClientError:
            saw = {"status": "connection lost"}
        self.record(f"caller at gateway-{gateway}", note or f"{method} {path}", **saw)
        return saw

    async def operate(self, note, *arguments):
        code, output = await self.cluster.operate(*arguments)
        lines = [line.rstrip() for line in output.strip().splitlines()]
        lines = [line.replace(str(self.cluster.folder), "FOLDER") for line in lines]
        self.record("operator", note, exit_code=code, output=lines)

    async def send(self, note, body):
        """Send one change to the first control host that responds to operators."""
        for address in self.cluster.api.split(","):
            try:
                async with self.http.post(
                    f"{address}/v1/configuration", json=body
                ) as response:
                    document = await response.json(content_type=None)
                    if response.status != 503:
                        break
            except aiohttp.ClientError:
                continue
        for name in VARYING_FIELDS:
            document.pop(name, None)
        self.record("operator", note, status=response.status, saw=document)

    def record_runs(self, *names):
        for name in names:
            runs = sorted(run.path for run in self.servers[name].runs)
            self.record(name, "ran", requests=runs)

    def compare(self, test, name):
        text = "\n".join(self.lines) + "\n"
        path = FOLDER / f"{name}.jsonl"
        if REWRITE_GOLDEN:
            path.write_text(text)
        test.assertEqual(path.read_text().splitlines(), text.splitlines())

    def _simplify(self, text):
        try:
            document = json.loads(text)
        except ValueError:
            return self._hide_server_name(text)
        return {k: v for k, v in document.items() if k not in VARYING_FIELDS}

    def _hide_server_name(self, text):
        """Hide the name of the chosen server, which differs from run to run."""
        name, _, rest = text.partition(" ")
        if name not in self.servers:
            return text
        return f"a server with app={self.servers[name].labels['app']} {rest}"
