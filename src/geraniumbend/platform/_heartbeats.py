"""Translation of the heartbeats of instances."""

from __future__ import annotations

from geraniumbend.errors import ProtocolError
from geraniumbend.membership import Announcement
from geraniumbend.model import BackendServer
from geraniumbend.platform._configuration import SERVICE_LABEL
from geraniumbend.platform._wire import Deregistration, Heartbeat
from geraniumbend.wire import decode_document, parse_address, parse_duration

DRAINING_BY_STATE = {"ready": False, "draining": True}


def read_heartbeat(server_id: str, body: bytes, lease_s: float) -> Announcement:
    """Translate the heartbeat of an instance.

    Parameters
    ----------
    server_id : str
        Id from the path.
    body : bytes
        JSON document.
    lease_s : float
        Lease of the announcement in seconds. An instance that sends no heartbeat for
        this time is dead.

    Returns
    -------
    Announcement
        Announcement of the instance; it has no load.

    Raises
    ------
    ProtocolError
        If a field is missing, out of range or of the wrong type, or the state is
        unknown.
    """
    try:
        heartbeat = decode_document(body, Heartbeat)
    except ProtocolError as error:
        raise ProtocolError(
            f"heartbeat of {server_id[:60]!r} is invalid: {error.message}",
            "send the documented fields",
        ) from error
    status = heartbeat.status
    if status.state not in DRAINING_BY_STATE:
        raise ProtocolError(
            f"state {status.state[:40]!r} is unknown",
            f"use one of {sorted(DRAINING_BY_STATE)}",
        )
    if (
        heartbeat.born < 1
        or not 0 <= status.sequence < 1 << 30
        or heartbeat.info.capacity < 1
    ):
        raise ProtocolError(
            "born, sequence or capacity is out of range",
            "send values in the documented ranges",
        )
    host, port = parse_address(heartbeat.address)
    server = BackendServer(
        server_id,
        host,
        port,
        heartbeat.info.zone,
        {SERVICE_LABEL: heartbeat.info.service, "version": heartbeat.info.version},
        slots=heartbeat.info.capacity,
        incarnation=heartbeat.born,
        draining=DRAINING_BY_STATE[status.state],
        warmup_left_s=parse_duration(status.warmup_left),
    )
    return Announcement(server, None, lease_s, status.sequence)


def read_deregistration(body: bytes) -> int:
    """Return the incarnation of a deregistering instance, 0 if it is not given.

    Raises
    ------
    ProtocolError
        If the body is not valid.
    """
    if not body.strip():
        return 0
    return decode_document(body, Deregistration, "send the documented fields").born
