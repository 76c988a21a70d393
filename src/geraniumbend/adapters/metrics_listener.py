"""Listener for metrics and state of a process, on an address of its own."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp.web_response import Response

from geraniumbend.adapters.management_server import ManagementServer

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from geraniumbend.adapters._caller_guard import CallerGuard
    from geraniumbend.settings import ListenSettings

__all__ = ["METRICS_TYPE", "MetricsListener", "MetricsSource", "describe_process"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsSource(Protocol):
    """Process whose state and metrics the listener serves."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...


class MetricsListener:
    """Serves ``/metrics`` and ``/state``.

    Parameters
    ----------
    listen : ListenSettings
        Address and TLS.
    source : MetricsSource
        Process whose state and metrics are served.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    """

    def __init__(
        self,
        listen: ListenSettings,
        source: MetricsSource,
        guard: CallerGuard | None = None,
    ) -> None:
        self._source = source
        # The process serves without this listener, so no wait for its port ends it.
        self._server = ManagementServer(
            listen, self._handle, math.inf, guard, "metrics"
        )

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        return self._server.port

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop()

    async def _handle(self, request: BaseRequest) -> Response:
        response = describe_process(self._source, request.path)
        if response is not None:
            return response
        return Response(status=404, text="use /metrics or /state\n")


def describe_process(source: MetricsSource, path: str) -> Response | None:
    """Return the response to ``/metrics`` or ``/state``; None for other paths."""
    if path == "/metrics":
        metrics = source.render_metrics()
        return Response(body=metrics, headers={"Content-Type": METRICS_TYPE})
    if path == "/state":
        state = json.dumps(source.dump(), default=str).encode()
        return Response(body=state, content_type="application/json")
    return None
