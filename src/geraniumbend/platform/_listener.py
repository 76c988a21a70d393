"""The platform's HTTP API for instances and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp.web_response import Response

from geraniumbend.adapters.management_server import BodyReader, ManagementServer
from geraniumbend.errors import (
    ConfigurationError,
    ConflictError,
    GeraniumbendError,
    ProtocolError,
    RefusedError,
)
from geraniumbend.logs import declare_event, log_event
from geraniumbend.platform._configuration import describe_error, read_configuration
from geraniumbend.platform._heartbeats import read_deregistration, read_heartbeat

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from geraniumbend.interfaces import ControlServices
    from geraniumbend.settings import ListenSettings

INSTANCES = "/-/instances/"
HEARTBEAT = "/heartbeat"
LEAVE = "/leave"
EVACUATIONS = "/-/evacuations/"
# Whether the evacuation begins, by the last part of the path.
EVACUATION_ACTIONS = {"start": True, "end": False}
PUT_CONFIGURATION = "/-/config/put"
GET_CONFIGURATION = "/-/config/get"
OPERATOR = "platform"
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024

declare_event(
    920,
    "platform_call_refused",
    "warning",
    "A call of an instance or operator is malformed or outdated; it changes nothing.",
)
declare_event(
    921,
    "platform_call_failed",
    "warning",
    "A call failed with status 503; its caller retries.",
)
declare_event(
    922,
    "platform_configuration",
    "info",
    "A call with a configuration was acknowledged.",
)


class ControlListener:
    """Serves the platform's HTTP API for instances and operators.

    Parameters
    ----------
    listen : ListenSettings
        Address to listen on.
    services : ControlServices
        Configuration and membership of the process.
    """

    def __init__(self, listen: ListenSettings, services: ControlServices) -> None:
        self._listen = listen
        self._services = services
        guard = services.guard
        self._announcements = BodyReader(MAX_ANNOUNCEMENT_BYTES, guard=guard)
        self._configurations = BodyReader(MAX_CONFIGURATION_BYTES, guard=guard)
        self._server = ManagementServer(
            listen, self._handle, guard=guard, name="operators"
        )

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop()

    async def _handle(self, request: BaseRequest) -> Response:
        try:
            return await self._dispatch(request)
        except (ProtocolError, ConfigurationError) as error:
            log_event(920, path=request.path, error=str(error))
            return _respond(400, describe_error(error))
        except RefusedError as error:
            return _respond(error.status, describe_error(error))
        except GeraniumbendError as error:
            log_event(921, path=request.path, error=str(error))
            return _respond(503, describe_error(error))

    async def _dispatch(self, request: BaseRequest) -> Response:
        method, path = request.method, request.path
        if method == "POST" and path.startswith(INSTANCES):
            rest = path.removeprefix(INSTANCES)
            if rest.endswith(HEARTBEAT):
                return await self._handle_heartbeat(request, rest[: -len(HEARTBEAT)])
            if rest.endswith(LEAVE):
                return await self._handle_leave(request, rest[: -len(LEAVE)])
        if method == "POST" and path.startswith(EVACUATIONS):
            zone, _, action = path.removeprefix(EVACUATIONS).rpartition("/")
            if action in EVACUATION_ACTIONS:
                active = EVACUATION_ACTIONS[action]
                await self._services.configuration.evacuate(zone, active, OPERATOR)
                return _respond(200, b"{}")
        if method == "POST" and path == PUT_CONFIGURATION:
            return await self._put_configuration(request)
        if method == "GET" and path == GET_CONFIGURATION:
            return await self._get_configuration()
        return _respond(404, describe_error(f"{method} {path[:100]} is not served"))

    async def _handle_heartbeat(self, request: BaseRequest, server_id: str) -> Response:
        services = self._services
        body = await self._announcements.read(request)
        announcement = read_heartbeat(server_id, body, services.lease_s)
        try:
            await services.announcements.announce(announcement)
        except ConflictError as error:
            # A late call of an earlier incarnation must not be retried, so it gets 200.
            log_event(920, path=request.path, error=str(error))
        return _respond(200, msgspec.json.encode({"heartbeat-url": self._own_url()}))

    async def _handle_leave(self, request: BaseRequest, server_id: str) -> Response:
        incarnation = read_deregistration(await self._announcements.read(request))
        try:
            await self._services.announcements.deregister(server_id, incarnation)
        except ConflictError as error:
            log_event(920, path=request.path, error=str(error))
        return _respond(200, b"{}")

    async def _put_configuration(self, request: BaseRequest) -> Response:
        body = await self._configurations.read(request)
        configuration = read_configuration(body)
        service = self._services.configuration
        outcome = await service.replace(configuration, body, OPERATOR)
        log_event(
            922,
            version=configuration.version,
            revision=outcome.revision,
            repeated=outcome.repeated,
        )
        return _respond(200, b"{}")

    async def _get_configuration(self) -> Response:
        source = await self._services.configuration.read_source()
        if not source:
            return _respond(503, describe_error("there is no configuration yet"))
        return _respond(200, source)

    def _own_url(self) -> str:
        return f"{self._listen.host}:{self._listen.port}"


def _respond(status: int, body: bytes) -> Response:
    return Response(status=status, body=body, content_type="application/json")
