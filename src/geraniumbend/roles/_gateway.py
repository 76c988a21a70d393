from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from aiohttp import web

from geraniumbend.adapters.rpc import RpcClients
from geraniumbend.errors import UnavailableError
from geraniumbend.keys import KeyRing
from geraniumbend.model import BackendServer, Configuration
from geraniumbend.routing import RequestFacts, RuleTable, parse_selector
from geraniumbend.timers import LoopTimers

if TYPE_CHECKING:
    from geraniumbend.settings import Settings

POLL_PERIOD_S = 0.2
POLL_TIMEOUT_S = 1.0


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings.gateway
        self._clients = RpcClients(KeyRing.from_config(settings.keys))
        self._timers = LoopTimers()
        self._servers: dict[str, BackendServer] = {}
        self._rules = RuleTable(Configuration())
        self._session: aiohttp.ClientSession | None = None
        self._runners: list[web.ServerRunner] = []

    @classmethod
    def from_config(cls, settings: Settings) -> Gateway:
        """Build the process from its settings."""
        return cls(settings)

    async def start(self) -> None:
        """Listen for callers and announcements and follow the configuration."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )
        self._timers.every(POLL_PERIOD_S, self._poll)
        await self._listen(self._handle, self._settings.caller)
        await self._listen(self._announce, self._settings.announce)

    async def stop(self) -> None:
        """Close all listeners after requests in flight have finished."""
        for runner in self._runners:
            await runner.cleanup()
        if self._session is not None:
            await self._session.close()
        await self._clients.close()

    async def _listen(self, handler: Any, listen: Any) -> None:
        runner = web.ServerRunner(web.Server(handler))
        await runner.setup()
        await web.TCPSite(runner, listen.host, listen.port).start()
        self._runners.append(runner)

    async def _poll(self) -> None:
        for address in self._settings.control:
            try:
                body = await self._clients.call(
                    address, "configuration.get", b"", POLL_TIMEOUT_S
                )
            except UnavailableError:
                continue
            configuration = msgspec.json.decode(body, type=Configuration)
            if configuration.revision > self._rules.configuration.revision:
                self._rules = RuleTable(configuration)
            return

    async def _announce(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/readyz":
            ready = self._rules.configuration.revision > 0
            return web.Response(status=200 if ready else 503)
        document = {**await request.json(), "server_id": request.path.split("/")[-1]}
        fields = {
            key: document[key] for key in BackendServer._fields if key in document
        }
        server = BackendServer(**fields)
        self._servers[server.server_id] = server
        return web.json_response({"lease_s": 10})

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        facts = RequestFacts(
            request.host, request.path, request.method, request.headers
        )
        rule = self._rules.find(facts)
        if rule is None:
            return web.Response(status=404)
        selector = parse_selector(self._rules.configuration.groups[rule.group].selector)
        servers = [
            server
            for server in self._servers.values()
            if selector.matches(server.labels) and not server.draining
        ]
        if not servers:
            return web.Response(status=503)
        server = random.choice(servers)
        url = f"http://{server.host}:{server.port}{request.path_qs}"
        assert self._session is not None
        async with self._session.request(
            request.method, url, data=await request.read(), allow_redirects=False
        ) as upstream:
            return web.Response(status=upstream.status, body=await upstream.read())
