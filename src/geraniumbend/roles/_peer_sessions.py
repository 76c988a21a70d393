"""Sessions in which gateways forward requests to each other."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec

from geraniumbend.errors import UnavailableError
from geraniumbend.proxying import ForwardPeer, ForwardSession, build_peer_server
from geraniumbend.wire import decode_document

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.membership import Membership
    from geraniumbend.ports import RpcCaller
    from geraniumbend.reachability import LostLinks

OPEN_METHOD = "forwarding.open"
# Longest wait for a session, in seconds.
OPEN_TIMEOUT_S = 0.2
TOKEN_BYTES = 16


class SessionDocument(msgspec.Struct):
    """Answer to a gateway that opens a session: port of the listener, and token."""

    port: int
    token: str


class PeerSessions:
    """Sessions in which gateways forward requests to each other.

    A session is opened by a signed RPC. The token is that of the process, so a restart
    ends all sessions with it.

    Parameters
    ----------
    membership : Membership
        Live gateways.
    lost_links : LostLinks
        Groups that other gateways do not reach.
    clients : RpcCaller
        Calls to other gateways.
    read_port : callable
        Returns the port of this gateway's listener, 0 while it does not listen.
    """

    def __init__(
        self,
        membership: Membership,
        lost_links: LostLinks,
        clients: RpcCaller,
        read_port: Callable[[], int],
    ) -> None:
        self.token = secrets.token_hex(TOKEN_BYTES)
        self._membership = membership
        self._lost_links = lost_links
        self._clients = clients
        self._read_port = read_port
        self._sessions: dict[str, ForwardSession] = {}

    def register(self, server: RpcServer) -> None:
        """Register the RPC handler that opens sessions."""
        server.handle(OPEN_METHOD)(self._serve_open)

    def list_peers(self, group: str) -> Sequence[ForwardPeer]:
        """Return the live gateways that have not lost their links to a group."""
        cut_off = self._lost_links.list_cut_off(group)
        return [
            ForwardPeer(
                member.name, member.address, member.failure_domain, member.incarnation
            )
            for member in self._membership.list_live_gateways()
            if member.name != self._membership.name and member.name not in cut_off
        ]

    async def open_session(self, peer: ForwardPeer) -> ForwardSession:
        """Return the session with a gateway, which is opened by its first use.

        Raises
        ------
        GeraniumbendError
            If the gateway cannot be reached or takes no forwarded requests.
        """
        session = self._sessions.get(peer.name)
        if session is not None:
            return session
        body = await self._clients.call(peer.address, OPEN_METHOD, b"", OPEN_TIMEOUT_S)
        document = decode_document(body, SessionDocument)
        session = ForwardSession(build_peer_server(peer, document.port), document.token)
        self._sessions[peer.name] = session
        return session

    def close_session(self, peer: ForwardPeer) -> None:
        """Forget the session with a gateway, so that its next use opens another."""
        self._sessions.pop(peer.name, None)

    async def _serve_open(self, body: bytes) -> bytes:
        port = self._read_port()
        if not port:
            raise UnavailableError(
                "this gateway takes no forwarded requests yet",
                "forward them to another gateway",
            )
        return msgspec.json.encode(SessionDocument(port, self.token))
