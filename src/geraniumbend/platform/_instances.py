from __future__ import annotations

import ipaddress

import msgspec

from geraniumbend.errors import ProtocolError
from geraniumbend.membership import Announcement
from geraniumbend.model import BackendServer
from geraniumbend.platform._operators import SERVICE_LABEL
from geraniumbend.platform._wire import Departure, Heartbeat

STATES = {"ready": False, "draining": True}


def read_heartbeat(server_id: str, body: bytes, lease_s: float) -> Announcement:
    """Translate the heartbeat of an instance.

    Parameters
    ----------
    server_id : str
        Id from the path.
    body : bytes
        JSON document.
    lease_s : float
        Time after which an instance without a heartbeat counts as gone, in seconds.

    Returns
    -------
    Announcement
        What the instance says of itself.

    Raises
    ------
    ProtocolError
        If a field is missing, of another type or names an unknown state.
    """
    try:
        beat = msgspec.json.decode(body, type=Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(
            f"heartbeat of {server_id[:60]!r} is invalid: {error}",
            "send the documented fields",
        ) from error
    status = beat.status
    if status.state not in STATES:
        raise ProtocolError(
            f"state {status.state[:40]!r} is unknown", f"use one of {sorted(STATES)}"
        )
    if beat.born < 1 or not 0 <= status.sequence < 1 << 30 or beat.info.capacity < 1:
        raise ProtocolError("a number is out of range", "send the documented numbers")
    host, port = _split_address(beat.address)
    server = BackendServer(
        server_id,
        host,
        port,
        beat.info.zone,
        {SERVICE_LABEL: beat.info.service, "version": beat.info.version},
        slots=beat.info.capacity,
        incarnation=beat.born,
        draining=STATES[status.state],
    )
    return Announcement(server, None, lease_s, status.sequence)


def read_departure(body: bytes) -> int:
    """Return the start of the instance that leaves, 0 when it does not say."""
    if not body.strip():
        return 0
    try:
        return msgspec.json.decode(body, type=Departure).born
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(
            f"the last call of an instance is invalid: {error}",
            "send the documented fields",
        ) from error


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise ProtocolError(
            f"address {address[:60]!r} is no ip:port", "send the listening address"
        ) from error
    if not 0 < number <= 65535:
        raise ProtocolError(f"port {number} is out of range", "send a port from 1")
    return host, number
