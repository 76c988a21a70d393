"""Records what every party of a session saw, for comparison with a golden file."""

from __future__ import annotations

import json
import os
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from bench._backend_server import BackendServerStandIn
from bench._cluster import Cluster

FOLDER = Path(__file__).resolve().parent
WRITE = bool(os.environ.get("GERANIUMBEND_WRITE_GOLDEN"))
# Members of problem documents and outcomes that differ from run to run.
VOLATILE = ("request_id", "change_id", "instance", "time_ms")


class Session:
    """A cluster with stand-ins whose exchanges are recorded line by line."""

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

    def record(self, party, did, **saw):
        self.lines.append(json.dumps({"party": party, "did": did, **saw}))

    async def add_server(self, name, **labels):
        server = BackendServerStandIn(
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
            async with self.http.request(method, url, data=data, headers=names) as got:
                text = await got.text()
                saw = {"status": got.status, "body": self._simplify(text)}
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
        """Send one change to the operators' API of a control host that answers."""
        for address in self.cluster.api.split(","):
            try:
                async with self.http.post(
                    f"{address}/v1/configuration", json=body
                ) as got:
                    answer = await got.json(content_type=None)
                    if got.status != 503:
                        break
            except aiohttp.ClientError:
                continue
        for name in VOLATILE:
            answer.pop(name, None)
        self.record("operator", note, status=got.status, saw=answer)

    def record_runs(self, *names):
        for name in names:
            runs = sorted(run.path for run in self.servers[name].runs)
            self.record(name, "ran", requests=runs)

    def compare(self, case, name):
        text = "\n".join(self.lines) + "\n"
        path = FOLDER / f"{name}.jsonl"
        if WRITE:
            path.write_text(text)
        case.assertEqual(path.read_text().splitlines(), text.splitlines())

    def _simplify(self, text):
        try:
            document = json.loads(text)
        except ValueError:
            return self._hide_choice(text)
        return {k: v for k, v in document.items() if k not in VOLATILE}

    def _hide_choice(self, text):
        """Replace the server that was chosen, which differs from run to run."""
        name, _, rest = text.partition(" ")
        if name not in self.servers:
            return text
        return f"a server with app={self.servers[name].labels['app']} {rest}"
