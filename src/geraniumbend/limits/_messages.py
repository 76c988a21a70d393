"""Messages between gateways about permits."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from geraniumbend.errors import ProtocolError
from geraniumbend.limits._statements import MAX_LIMIT_PER_S
from geraniumbend.wire import decode, encode, load_structs

PERMIT_REQUEST = "permit-request"
PERMIT_GRANT = "permit-grant"
LIMIT_RECORD = "server-limit"
WARMUP_RECORD = "server-warmup"
MAX_PERMITS = 100_000
MAX_HOLD_OFF_MS = 60_000
# Longest warm-up in milliseconds; longer ones are cut to it.
MAX_WARMUP_MS = 3_600_000


class WarmupStatement(NamedTuple):
    """What a gateway last heard about the warm-up of a server.

    Parameters
    ----------
    incarnation : int
        Incarnation of the server.
    left_s : float
        How much longer the server was cold at the statement, in seconds; 0 if warm.
    per_s : float
        Requests a second that it takes while it is cold.
    age_s : float
        Time since the statement, in seconds.
    is_exact : bool
        Whether that time is exact, since a health response made the statement.
    """

    incarnation: int
    left_s: float
    per_s: float
    age_s: float
    is_exact: bool


class PermitRequest(NamedTuple):
    """Request of a gateway for permits, with what it last heard from the server.

    Parameters
    ----------
    server_id : str
        Backend server.
    incarnation : int
        Incarnation of the server.
    number : int
        Number of the request within its sender.
    wanted : int
        Permits wanted; 0 only reports.
    heard : bool
        Whether the sender has heard the server.
    per_s : float or None
        Limit heard in requests a second; None if the server named none.
    heard_age_s : float
        Time since then, in seconds.
    warmup : WarmupStatement or None, default=None
        What the sender last heard about the warm-up.
    """

    server_id: str
    incarnation: int
    number: int
    wanted: int
    heard: bool
    per_s: float | None
    heard_age_s: float
    warmup: WarmupStatement | None = None


class PermitGrant(NamedTuple):
    """Response to a `PermitRequest`.

    Parameters
    ----------
    server_id : str
        Backend server.
    incarnation : int
        Incarnation of the server.
    number : int
        Number of the request.
    permits : int
        Permits granted.
    hold_off_s : float
        Time after which the receiver may ask again, in seconds.
    per_s : float or None
        Limit as the allocator knows it, in requests a second; None if there is none.
    warmup : WarmupStatement or None, default=None
        What the allocator last heard about the warm-up.
    """

    server_id: str
    incarnation: int
    number: int
    permits: int
    hold_off_s: float
    per_s: float | None
    warmup: WarmupStatement | None = None


def write_request(request: PermitRequest) -> bytes:
    """Return the encoded request."""
    return encode(
        load_structs("membership").PermitRequest(
            server_id=request.server_id,
            incarnation=request.incarnation,
            number=request.number,
            wanted=request.wanted,
            heard=request.heard,
            limited=request.per_s is not None,
            per_s=request.per_s or 0.0,
            heard_age_ms=min(int(request.heard_age_s * 1000), 2**31 - 1),
            warmup=_build_warmup(request.warmup),
        )
    )


def read_request(value: bytes) -> PermitRequest:
    """Decode a request.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").PermitRequest, value)
    return PermitRequest(
        _check_text(struct.server_id),
        struct.incarnation or 0,
        struct.number or 0,
        _check_range(struct.wanted or 0, MAX_PERMITS),
        bool(struct.heard),
        _read_limit(struct),
        _check_range(struct.heard_age_ms or 0, 2**31 - 1) / 1000,
        _read_warmup(struct.warmup),
    )


def write_grant(grant: PermitGrant) -> bytes:
    """Return the encoded grant."""
    return encode(
        load_structs("membership").PermitGrant(
            server_id=grant.server_id,
            incarnation=grant.incarnation,
            number=grant.number,
            count=grant.permits,
            hold_off_ms=min(math.ceil(grant.hold_off_s * 1000), MAX_HOLD_OFF_MS),
            limited=grant.per_s is not None,
            per_s=grant.per_s or 0.0,
            warmup=_build_warmup(grant.warmup),
        )
    )


def read_grant(value: bytes) -> PermitGrant:
    """Decode a grant.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").PermitGrant, value)
    return PermitGrant(
        _check_text(struct.server_id),
        struct.incarnation or 0,
        struct.number or 0,
        _check_range(struct.count or 0, MAX_PERMITS),
        _check_range(struct.hold_off_ms or 0, MAX_HOLD_OFF_MS) / 1000,
        _read_limit(struct),
        _read_warmup(struct.warmup),
    )


def write_limit(incarnation: int, per_s: float) -> bytes:
    """Return the encoded value of a limit record."""
    struct = load_structs("membership").LimitValue
    return encode(struct(incarnation=incarnation, per_s=per_s))


def read_limit(value: bytes) -> tuple[int, float]:
    """Return incarnation and limit in requests a second of a limit record.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").LimitValue, value)
    return struct.incarnation or 0, _check_rate(struct.per_s)


def write_warmup(warmup: WarmupStatement) -> bytes:
    """Return the encoded value of a warm-up record."""
    return encode(_build_warmup(warmup))


def read_warmup(value: bytes) -> WarmupStatement:
    """Decode the value of a warm-up record.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").WarmupValue, value)
    warmup = _read_warmup(struct)
    assert warmup is not None
    return warmup


def _build_warmup(warmup: WarmupStatement | None) -> Any:
    if warmup is None:
        return None
    return load_structs("membership").WarmupValue(
        incarnation=warmup.incarnation,
        left_ms=min(math.ceil(warmup.left_s * 1000), MAX_WARMUP_MS),
        per_s=warmup.per_s,
        age_ms=min(int(warmup.age_s * 1000), MAX_WARMUP_MS),
        exact=warmup.is_exact,
    )


def _read_warmup(struct: Any) -> WarmupStatement | None:
    if struct is None:
        return None
    return WarmupStatement(
        struct.incarnation or 0,
        _check_range(struct.left_ms or 0, MAX_WARMUP_MS) / 1000,
        _check_rate(struct.per_s),
        _check_range(struct.age_ms or 0, MAX_WARMUP_MS) / 1000,
        bool(struct.exact),
    )


def _read_limit(struct: object) -> float | None:
    limited = getattr(struct, "limited", False)
    return _check_rate(getattr(struct, "per_s", None)) if limited else None


def _check_rate(value: object) -> float:
    if not isinstance(value, float) or not 0 <= value <= MAX_LIMIT_PER_S:
        raise ProtocolError("a message has a limit that is no rate")
    return value


def _check_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ProtocolError("a message about a limit names no server")
    return value


def _check_range(value: int, highest: int) -> int:
    if not 0 <= value <= highest:
        raise ProtocolError("a message about a limit has a number out of range")
    return value
