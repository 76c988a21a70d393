"""HTTP client with little overhead, for latency measurements."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import NamedTuple, cast


class Sample(NamedTuple):
    """One measured request.

    Parameters
    ----------
    status : int
        HTTP status, 0 without a complete response.
    seconds : float
        Time from connecting to the end of the response.
    """

    status: int
    seconds: float


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = b""
        self._waiter: asyncio.Future[int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self.transport = cast("asyncio.Transport", transport)

    def send(self, request: bytes) -> asyncio.Future[int]:
        assert self.transport is not None
        self._buffer = b""
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._waiter

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        header_start = head.lower().find(b"content-length:")
        length = (
            int(head[header_start + 15 :].split(b"\r\n", 1)[0])
            if header_start >= 0
            else 0
        )
        if len(body) >= length:
            self._finish(int(head[9:12]))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._finish(0)

    def _finish(self, status: int) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(status)


class RawClient:
    """Minimal HTTP/1.1 client with low overhead for latency measurements.

    Responses must have Content-Length. Connections are kept alive and reused.

    Parameters
    ----------
    address : str
        ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: deque[_Connection] = deque()

    async def measure(self, path: str, timeout_s: float = 10.0) -> Sample:
        """Send one GET request and measure its latency.

        Parameters
        ----------
        path : str
            Path with query.
        timeout_s : float, default=10.0
            Timeout for the response, in seconds.

        Returns
        -------
        Sample
            Status 0 without a complete response.
        """
        request = f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
        started_s = time.perf_counter()
        connection = await self._connect()
        waiter = connection.send(request)
        try:
            async with asyncio.timeout(timeout_s):
                status = await waiter
        except TimeoutError:
            status = 0
        seconds = time.perf_counter() - started_s
        if connection.transport is not None:
            if status:
                self._idle.append(connection)
            else:
                connection.transport.close()
        return Sample(status, seconds)

    def close(self) -> None:
        """Close idle connections."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.close()

    async def _connect(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, self._host, self._port
        )
        return connection


def compute_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of the values by the nearest-rank method."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
