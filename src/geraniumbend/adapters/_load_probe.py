"""On-demand probes of the load of backend servers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from geraniumbend.proxying import StandardDialect, UpstreamError, UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from geraniumbend.limits import WarmupTracker
    from geraniumbend.model import BackendServer
    from geraniumbend.proxying import Dialect, LimitsPort, Upstream, UpstreamResponse
    from geraniumbend.timers import TimerService

PROBE_TIMEOUT_S = 1.0
BODY_LIMIT_BYTES = 4096


class LoadProbe:
    """Requests the load of a backend server, for on-demand probes.

    Parameters
    ----------
    upstream : Upstream
        Sends requests.
    timers : TimerService
        Clock.
    dialect : Dialect, default=StandardDialect()
        Form of the request and of load reports in header fields.
    limits : ServerLimits or None, default=None
        Hears the limits that backend servers name.
    warmups : WarmupTracker or None, default=None
        Hears which backend servers are cold.
    observe_response : callable or None, default=None
        Hears what servers state about themselves in responses.
    may_probe : callable or None, default=None
        Tells right before the write whether a server may be probed.
    """

    def __init__(
        self,
        upstream: Upstream,
        timers: TimerService,
        dialect: Dialect | None = None,
        limits: LimitsPort | None = None,
        warmups: WarmupTracker | None = None,
        observe_response: Callable[[BackendServer, UpstreamResponse], None]
        | None = None,
        may_probe: Callable[[BackendServer], bool] | None = None,
    ) -> None:
        self._may_probe = may_probe
        self._observe_response = observe_response
        self._limits = limits
        self._warmups = warmups
        self._upstream = upstream
        self._timers = timers
        self._dialect = dialect or StandardDialect()

    def build_request(
        self, server: BackendServer, path: str, timeout_s: float
    ) -> UpstreamRequest:
        """Return the request that asks a server for its load."""
        return UpstreamRequest(
            method="GET",
            head=self._dialect.write_probe(server, path),
            body=b"",
            source=None,
            chunked=False,
            safe=True,
            deadline_s=self._timers.now() + timeout_s,
            silence_timeout_s=timeout_s,
            # A probe is not resent on another connection: it would load the server
            # twice.
            build_resend=lambda: None,
            purpose="probes",
            may_send=lambda: self._may_send(server),
        )

    def _may_send(self, server: BackendServer) -> bool:
        if self._may_probe is not None and not self._may_probe(server):
            return False
        return self._limits is None or self._limits.may_send(server, None, "probe")

    async def send(
        self, server: BackendServer, path: str = "/load"
    ) -> Mapping[str, float] | None:
        """Request the load once, without a retry.

        Parameters
        ----------
        server : BackendServer
            Server to probe.
        path : str, default="/load"
            Path of the request.

        Returns
        -------
        mapping of str to float or None
            Report in the header fields if there is one, otherwise the numeric members
            of the JSON body; None without a usable response.
        """
        sent_at = self._timers.now()
        request = self.build_request(server, path, PROBE_TIMEOUT_S)
        try:
            response = await self._upstream.send(server, request)
        except UpstreamError:
            return None
        if not self.observe(server, response):
            # The response to the probe may still arrive, so the connection is closed.
            response.discard()
            return None
        if self._limits is not None:
            statement = self._dialect.read_limit(response.headers)
            self._limits.observe(server, statement, "probe", sent_at)
        if self._warmups is not None and response.status == 200:
            left_s = self._dialect.read_warmup(response.headers)
            if left_s is not None:
                self._warmups.observe_response(server, left_s, sent_at)
        try:
            body = b""
            complete = False
            async with asyncio.timeout(request.deadline_s - self._timers.now()):
                while not complete and len(body) <= BODY_LIMIT_BYTES:
                    data, complete = response.read_ready()
                    body += data if data or complete else await response.read()
        except (UpstreamError, TimeoutError):
            return None
        finally:
            response.close()
        report = self._dialect.read_report(response.headers)
        if complete and report is not None:
            return {
                name: value
                for name, value in report._asdict().items()
                if value is not None
            }
        return _parse_json(body) if complete and response.status == 200 else None

    def observe(self, server: BackendServer, response: UpstreamResponse) -> bool:
        """Pass on what a server states about itself in the response to a probe.

        Returns
        -------
        bool
            False if the response is none to the probe and says nothing.
        """
        if self._dialect.find_probe_defect(response, server):
            return False
        if self._observe_response is not None:
            self._observe_response(server, response)
        return True


def _parse_json(body: bytes) -> Mapping[str, float] | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    numbers = {
        name: value
        for name, value in document.items()
        if isinstance(value, int | float) and not isinstance(value, bool)
    }
    try:
        return {name: float(value) for name, value in numbers.items()}
    except OverflowError:
        return None
