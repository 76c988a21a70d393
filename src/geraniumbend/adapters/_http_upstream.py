"""Requests to backend servers over pooled connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.adapters._connection_pool import ConnectionPool
from geraniumbend.proxying import UpstreamError
from geraniumbend.traffic import ignore_traffic

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable

    from geraniumbend.adapters._exchange import Exchange
    from geraniumbend.adapters._link_observer import LinkObserver
    from geraniumbend.model import BackendServer
    from geraniumbend.proxying import UpstreamRequest
    from geraniumbend.timers import TimerService
    from geraniumbend.traffic import CountBytes

SWEEP_PERIOD_S = 1.0


class HttpUpstream:
    """Sends requests to backend servers over pooled connections.

    Parameters
    ----------
    timers : TimerService
        Clock.
    share : callable
        Returns this gateway's share of a backend server's connection limit, 0 to 1.
    tls : ssl.SSLContext or None, default=None
        TLS to backend servers.
    on_unreachable : callable or None, default=None
        Called with the id of a server to which no connection could be opened.
    count_bytes : callable, default=ignore_traffic
        Counts the bytes of requests and responses.
    failure_domain : str, default=""
        Failure domain of this host.
    links : LinkObserver or None, default=None
        Hears which servers accept connections and answer.
    """

    def __init__(
        self,
        timers: TimerService,
        share: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        on_unreachable: Callable[[str], None] | None = None,
        count_bytes: CountBytes = ignore_traffic,
        failure_domain: str = "",
        links: LinkObserver | None = None,
    ) -> None:
        self._links = links
        self._count_bytes = count_bytes
        self._failure_domain = failure_domain
        self._on_unreachable = on_unreachable
        self._timers = timers
        self._share = share
        self._tls = tls
        self._pools: dict[str, ConnectionPool] = {}
        self._sweeping = timers.every(SWEEP_PERIOD_S, self._sweep)

    async def send(self, server: BackendServer, request: UpstreamRequest) -> Exchange:
        """Send a request and wait for the response head; see `ConnectionPool.send`."""
        pool = self._pools.get(server.server_id)
        if pool is None or pool.server is not server:
            pool = self._update_pool(pool, server)
        try:
            exchange = await pool.send(request)
            if self._links is not None:
                self._links.succeed("answer", server.server_id)
            return exchange
        except UpstreamError as error:
            unreachable = error.run == "not_run" and not (
                error.timed_out or error.withheld
            )
            if unreachable and self._on_unreachable is not None:
                self._on_unreachable(server.server_id)
            raise

    async def check_connection(
        self,
        server: BackendServer,
        request: UpstreamRequest,
        observe: Callable[[BackendServer, Exchange], object] | None = None,
    ) -> bool:
        """Return whether a server answers on a new connection, which is closed again.

        Parameters
        ----------
        server : BackendServer
            Server.
        request : UpstreamRequest
            Request whose response head has to arrive.
        observe : callable or None, default=None
            Hears of the response.
        """
        pool = ConnectionPool(server, self._timers, self._share, self._tls)
        try:
            exchange = await pool.send(request)
            if observe is not None:
                observe(server, exchange)
            exchange.discard()
        except UpstreamError:
            return False
        finally:
            await pool.close()
        return True

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Retire the pools of all backend servers except the given ones."""
        known = {server.server_id for server in servers}
        for server_id in [name for name in self._pools if name not in known]:
            self._pools.pop(server_id).retire()

    def has_idle_connection(self, server_id: str) -> bool:
        """Return whether an open connection to a server can be reused."""
        pool = self._pools.get(server_id)
        return pool is not None and pool.has_idle_connection()

    def dump(self) -> dict[str, Any]:
        """Return the state of all pools by server id, for operators."""
        return {name: pool.dump() for name, pool in self._pools.items()}

    async def close(self) -> None:
        """Close all connections."""
        self._sweeping.cancel()
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()

    def _update_pool(
        self, pool: ConnectionPool | None, server: BackendServer
    ) -> ConnectionPool:
        if pool is not None and _same_process(pool.server, server):
            pool.server = server
            return pool
        if pool is not None:
            # The id now belongs to another process; connections to the earlier one
            # are closed after their requests.
            pool.retire()
        is_local = server.failure_domain == self._failure_domain

        def count_bytes(purpose: str, size: int) -> None:
            self._count_bytes(purpose, is_local, size)

        pool = ConnectionPool(
            server, self._timers, self._share, self._tls, count_bytes, self._links
        )
        self._pools[server.server_id] = pool
        return pool

    def _sweep(self) -> None:
        for pool in self._pools.values():
            pool.sweep()


def _same_process(first: BackendServer, second: BackendServer) -> bool:
    return (first.host, first.port, first.incarnation) == (
        second.host,
        second.port,
        second.incarnation,
    )
