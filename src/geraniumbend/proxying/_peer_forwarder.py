"""Forwarding of requests through other gateways."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.errors import GeraniumbendError, RefusedError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.model import BackendServer
from geraniumbend.proxying._headers import FORWARD_REFUSED
from geraniumbend.proxying._ports import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from geraniumbend.proxying._context import RequestContext
    from geraniumbend.proxying._ports import LinksPort, Upstream, UpstreamResponse
    from geraniumbend.timers import TimerService

# Kinds of refusals after which another gateway may take a forwarded request.
RETRIED_ELSEWHERE = frozenset(
    ("link_lost", "stopping", "unverified_peer", "no_configuration")
)
# Gateways that a request is sent to at most.
MAX_PEERS = 3
# Time after which no further gateway is asked for a session, in seconds.
SEARCH_S = 0.6
# Connections to one gateway at most.
PEER_CONNECTIONS = 512
# Time for which a gateway that has not taken a request is passed over, in seconds.
AVOID_S = 0.5
# Retry-After in seconds of a request that no gateway has taken.
RETRY_AFTER_S = 0.1

declare_event(
    216,
    "forwarding_failed",
    "info",
    "A gateway did not take or answer a forwarded request; run tells whether it may "
    "have run.",
)


class ForwardPeer(NamedTuple):
    """A gateway that may take forwarded requests.

    Parameters
    ----------
    name : str
        Node name.
    address : str
        Peer address as ``ip:port``.
    failure_domain : str
        Failure domain of its host.
    incarnation : int
        Incarnation of its process.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: int


class ForwardSession(NamedTuple):
    """Permission to forward requests to a gateway.

    Parameters
    ----------
    server : BackendServer
        Listener of the gateway, in the form that connections are opened to.
    token : str
        Token that each request carries.
    """

    server: BackendServer
    token: str


class PeersPort(Protocol):
    """Other gateways of the cluster."""

    def list_peers(self, group: str) -> Sequence[ForwardPeer]:
        """Return the live gateways that have not lost their links to a group."""
        ...

    async def open_session(self, peer: ForwardPeer) -> ForwardSession:
        """Return the session with a gateway; raises GeraniumbendError without one."""
        ...

    def close_session(self, peer: ForwardPeer) -> None:
        """Forget a session that the gateway does not accept any more."""
        ...


class PeerForwarder:
    """Forwards requests through gateways that reach the backend servers.

    The other gateway handles a request as if its caller had called it: it admits it,
    chooses the server, and counts retries and limits. It never forwards it again.

    Parameters
    ----------
    links : LinksPort
        Links from this gateway to the backend servers.
    peers : PeersPort
        Other gateways.
    upstream : Upstream
        Connections to other gateways.
    timers : TimerService
        Clock.
    failure_domain : str
        Failure domain of this host, whose gateways are preferred.
    count : callable
        Called with the name of a gateway and the outcome of each forwarded request.
    """

    def __init__(
        self,
        links: LinksPort,
        peers: PeersPort,
        upstream: Upstream,
        timers: TimerService,
        failure_domain: str,
        count: Callable[[str, str], None],
    ) -> None:
        self._links = links
        self._peers = peers
        self._upstream = upstream
        self._timers = timers
        self._failure_domain = failure_domain
        self._count = count
        self._in_flight: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}

    def is_needed(self, group: str) -> bool:
        """Tell whether requests for a group go through another gateway."""
        return self._links.is_lost(group) and bool(self._peers.list_peers(group))

    async def fetch(self, context: RequestContext) -> UpstreamResponse:
        """Return the response of another gateway, which has handled the request.

        Parameters
        ----------
        context : RequestContext
            Request.

        Raises
        ------
        RefusedError
            If no gateway has taken the request; it was not run.
        UpstreamError
            If a gateway that may have run it gave no response.
        GeraniumbendError
            If the caller's body ended with an error; the request is not sent again.
        """
        tried: set[str] = set()
        sent = 0
        search_end_s = min(self._timers.now() + SEARCH_S, context.deadline_s)
        while sent < MAX_PEERS and self._timers.now() < context.deadline_s:
            peer = self._choose(context.group, tried)
            if peer is None:
                break
            tried.add(peer.name)
            context.tried.add(f"gateway:{peer.name}")
            try:
                session = await self._peers.open_session(peer)
            except GeraniumbendError as error:
                self._avoid(peer, str(error), context)
                if self._timers.now() >= search_end_s:
                    break
                continue
            sent += 1
            try:
                response = await self._send(peer, session, context)
            except UpstreamError as error:
                # One that may have run is not sent again: the other gateway may have
                # used up the attempts of its rule.
                self._handle_failure(peer, context, error)
                if error.run != "not_run" or not context.body_replayable:
                    raise
                continue
            if response is not None:
                return response
            if not context.body_replayable:
                break
        raise RefusedError(
            "no other gateway has taken the request",
            "send it again; the links to the backend servers are lost here",
            kind="link_lost",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _send(
        self, peer: ForwardPeer, session: ForwardSession, context: RequestContext
    ) -> UpstreamResponse | None:
        """Return the response of a gateway, None if it has not taken the request."""
        now_s = self._timers.now()
        remaining_s = context.deadline_s - now_s
        request = context.build_forwarded(session.token, now_s, remaining_s)
        context.attempts = 1
        context.unresolved_attempts += 1
        self._in_flight[peer.name] = self._in_flight.get(peer.name, 0) + 1
        try:
            context.request.is_sent = True
            response = await self._upstream.send(session.server, request)
        finally:
            self._in_flight[peer.name] -= 1
        refused = response.headers.get(FORWARD_REFUSED)
        if refused is None:
            defect = context.dialect.find_defect(response, context.request.request_id)
            if defect:
                response.discard()
                raise UpstreamError(defect, "unknown")
            self._count(peer.name, "answered")
            return response
        response.close()
        context.unresolved_attempts -= 1
        if refused == "unverified_peer":
            self._peers.close_session(peer)
        self._avoid(peer, refused, context)
        return None

    def _handle_failure(
        self, peer: ForwardPeer, context: RequestContext, error: UpstreamError
    ) -> None:
        if error.run == "not_run":
            context.unresolved_attempts -= 1
            self._peers.close_session(peer)
        self._avoid(peer, error.message, context, error.run)

    def _avoid(
        self,
        peer: ForwardPeer,
        reason: str,
        context: RequestContext,
        run: str = "not_run",
    ) -> None:
        self._avoided_until[peer.name] = self._timers.now() + AVOID_S
        self._count(peer.name, run)
        log_event(
            216,
            request_id=context.request.request_id,
            gateway=peer.name,
            run=run,
            error=reason,
        )

    def _choose(self, group: str, tried: set[str]) -> ForwardPeer | None:
        """Return one of two random gateways, the one with fewer requests in flight.

        Gateways of the own failure domain are preferred.
        """
        now = self._timers.now()
        peers = [p for p in self._peers.list_peers(group) if p.name not in tried]
        ready = [p for p in peers if self._avoided_until.get(p.name, 0.0) <= now]
        local = [p for p in ready if p.failure_domain == self._failure_domain]
        usable = local or ready or peers
        if not usable:
            return None
        pair = random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda peer: self._in_flight.get(peer.name, 0))


def build_peer_server(peer: ForwardPeer, port: int) -> BackendServer:
    """Return the listener of a gateway in the form that connections are opened to."""
    return BackendServer(
        peer.name,
        peer.address.rpartition(":")[0],
        port,
        peer.failure_domain,
        connection_limit=PEER_CONNECTIONS,
        incarnation=peer.incarnation,
    )
