from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgspec
from sanic import Sanic
from sanic.response import json as json_response

from geraniumbend.adapters.rpc import RpcServer
from geraniumbend.keys import KeyRing
from geraniumbend.model import Configuration, Group, Rule, RuleMatch

if TYPE_CHECKING:
    from sanic import HTTPResponse, Request

    from geraniumbend.settings import Settings


class Control:
    """One control process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        listen = settings.peer.listen
        self._operators = settings.control.operators
        self._rpc = RpcServer(
            listen.host, listen.port, KeyRing.from_config(settings.keys)
        )
        self._configuration = Configuration()
        self._api: Any = None

    @classmethod
    def from_config(cls, settings: Settings) -> Control:
        """Build the process from its settings."""
        return cls(settings)

    async def start(self) -> None:
        """Listen for peers and operators."""
        self._rpc.handle("configuration.get")(self._send_configuration)
        await self._rpc.start()
        application = Sanic("geraniumbend-control", configure_logging=False)
        # Sanic rewrites methods from their source, which the one-file program lacks.
        application.config.TOUCHUP = False
        logging.getLogger("sanic").setLevel(logging.WARNING)
        application.add_route(self._apply, "/v1/configuration", methods=["POST"])
        application.add_route(self._get, "/v1/configuration", methods=["GET"])
        server = await application.create_server(
            host=self._operators.host,
            port=self._operators.port,
            return_asyncio_server=True,
            access_log=False,
        )
        assert server is not None
        await server.startup()
        await server.start_serving()
        self._api = server

    async def stop(self) -> None:
        """Close all listeners."""
        self._api.close()
        await self._rpc.stop()

    async def _send_configuration(self, body: bytes) -> bytes:
        return msgspec.json.encode(self._configuration)

    async def _apply(self, request: Request) -> HTTPResponse:
        document = request.json["document"]
        groups = {
            name: Group(name=name, **table)
            for name, table in document.get("groups", {}).items()
        }
        rules = {
            name: Rule(
                name=name, **{**table, "match": RuleMatch(**table.get("match", {}))}
            )
            for name, table in document.get("rules", {}).items()
        }
        current = self._configuration
        self._configuration = Configuration(
            current.revision + 1,
            {**current.groups, **groups},
            {**current.rules, **rules},
            current.label_overrides,
        )
        return json_response({"revision": self._configuration.revision})

    async def _get(self, request: Request) -> HTTPResponse:
        return json_response(msgspec.to_builtins(self._configuration))
