"""Storage of departures that a gateway received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError, ProtocolError
from geraniumbend.membership._departure_copies import COPY_METHOD, pack_departure

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._membership import Membership
    from geraniumbend.ports import RpcCaller

# Number of control hosts that are asked before a departure is given up.
MAX_HOSTS = 3


class DepartureSender:
    """Has the control hosts store departures that this process received.

    Parameters
    ----------
    membership : Membership
        Records of the backend servers.
    clients : RpcCaller
        Calls the control hosts.
    list_control_hosts : callable
        Returns the peer addresses of the control hosts.
    """

    def __init__(
        self,
        membership: Membership,
        clients: RpcCaller,
        list_control_hosts: Callable[[], list[str]],
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._list_control_hosts = list_control_hosts

    async def store(self, server_id: str, timeout_s: float) -> bool:
        """Store the record of a backend server; see `DepartureCopies.store`.

        Parameters
        ----------
        server_id : str
            Name of the backend server.
        timeout_s : float
            Longest wait for one control host, in seconds.

        Returns
        -------
        bool
            Whether a control host has confirmed that a majority stored it.
        """
        record = self._membership.find_server_record(server_id)
        if record is None:
            return False
        body = pack_departure(record)
        for address in self._list_control_hosts()[:MAX_HOSTS]:
            try:
                await self._clients.call(address, COPY_METHOD, body, timeout_s)
            except ProtocolError:
                # A host of an earlier release lacks the method; its periodic file
                # takes the record.
                return True
            except GeraniumbendError:
                continue
            return True
        return False
