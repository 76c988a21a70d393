"""Content of the records of backend servers."""

from __future__ import annotations

from typing import NamedTuple

from geraniumbend.errors import ProtocolError
from geraniumbend.membership._records import SERVER, Record
from geraniumbend.model import BackendServer
from geraniumbend.wire import decode, encode, load_structs

LIVE, EXPIRED, DEREGISTERED = 0, 1, 2
# Version of a deregistration; no later announcement of the incarnation exceeds it.
FINAL_VERSION = 1 << 40
MAX_LEASE_S = 60.0
MAX_WARMUP_S = 3600.0


class Announcement(NamedTuple):
    """What a backend server states about itself.

    Parameters
    ----------
    server : BackendServer
        Address, labels, limits, incarnation and draining.
    in_flight : int or None, default=None
        Requests that the server runs now; None when it does not report them.
    lease_s : float, default=10.0
        Time without an announcement after which the server expires, in seconds.
    sequence : int, default=0
        Increases with each announcement of one incarnation, so that late announcements
        are detected; 0 when the server does not number them.
    """

    server: BackendServer
    in_flight: int | None = None
    lease_s: float = 10.0
    sequence: int = 0


class AnnouncedLoad(NamedTuple):
    """Load that a backend server announced.

    Parameters
    ----------
    in_flight : int
        Requests that the server ran.
    slots : int
        Requests that it can run at the same time.
    received_at : float
        Local monotonic time of arrival at this node, in seconds.
    """

    in_flight: int
    slots: int
    received_at: float


def encode_server(announcement: Announcement) -> bytes:
    """Serialize the content of a backend server record."""
    server = announcement.server
    value = load_structs("membership").ServerValue(
        host=server.host,
        port=server.port,
        failure_domain=server.failure_domain,
        labels=dict(sorted(server.labels.items())),
        slots=server.slots,
        connection_limit=server.connection_limit,
        draining=server.draining,
        lease_ms=int(announcement.lease_s * 1000),
        # Absent from the records of warm servers.
        warmup_ms=round(server.warmup_left_s * 1000) or None,
    )
    return encode(value)


def decode_server(record: Record) -> Announcement:
    """Deserialize the content of a backend server record.

    Raises
    ------
    ProtocolError
        If a field is missing or out of range.
    """
    value = decode(load_structs("membership").ServerValue, record.value)
    labels = value.labels or {}
    valid = (
        isinstance(value.host, str)
        and bool(value.host)
        and isinstance(value.failure_domain, str)
        and 0 < (value.port or 0) <= 65535
        and (value.slots or 0) > 0
        and (value.connection_limit or 0) > 0
        and 0 < (value.lease_ms or 0) <= MAX_LEASE_S * 1000
        and 0 <= (value.warmup_ms or 0) <= MAX_WARMUP_S * 1000
        and all(isinstance(t, str) for pair in labels.items() for t in pair)
    )
    if not valid:
        raise ProtocolError(
            f"record of backend server {record.key!r} has a malformed value",
            "run compatible versions on all hosts",
        )
    server = BackendServer(
        server_id=record.key,
        host=value.host,
        port=value.port,
        failure_domain=value.failure_domain,
        labels=labels,
        slots=value.slots,
        connection_limit=value.connection_limit,
        incarnation=record.major,
        draining=bool(value.draining),
        warmup_left_s=(value.warmup_ms or 0) / 1000,
    )
    return Announcement(server, None, value.lease_ms / 1000)


def is_departure(record: Record) -> bool:
    """Return whether a backend server that drains, has left or expired is recorded."""
    return record.state != LIVE or decode_server(record).server.draining


def build_server_record(
    announcement: Announcement, minor: int, state: int, origin: str
) -> Record:
    """Return a version of a backend server record."""
    server = announcement.server
    return Record(
        SERVER,
        "",
        server.server_id,
        server.incarnation,
        minor,
        state,
        origin,
        encode_server(announcement),
        announcement.lease_s,
    )
