"""Messages between gateways about the quotas of tenants."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from geraniumbend.errors import ProtocolError
from geraniumbend.wire import decode, encode, load_structs

QUOTA_REPORT = "quota-report"
QUOTA_STATE = "quota-state"
# Allocators of a tenant. Two, so that one remains when the other fails.
ALLOCATORS_PER_TENANT = 2
MAX_COUNT = 100_000
MAX_WAIT_MS = 600_000


class QuotaReport(NamedTuple):
    """What a gateway has used at one allocator, and the permits that it wants.

    Uses are reported as a count since the start of a session, so that lost, late and
    repeated messages change nothing.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    allocator : int
        Which of the tenant's allocators this is for.
    session : int
        Identifies the count.
    number : int
        Number of the message within its session, from 1.
    used : int
        Requests admitted without a permit, less refunds, since the session started.
    acknowledged : int
        Value of `used` that an allocator has acknowledged.
    wanted : int, default=0
        Permits wanted.
    refused : int, default=0
        Requests refused since the last report.
    """

    tenant: str
    allocator: int
    session: int
    number: int
    used: int
    acknowledged: int
    wanted: int = 0
    refused: int = 0


class QuotaState(NamedTuple):
    """Answer of an allocator.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    allocator : int
        Which of the tenant's allocators answers.
    session : int
        Session of the report.
    number : int
        Number of the report; 0 if the allocator tells on its own that the tenant is
        restricted.
    used : int
        Value of `used` that the allocator has counted.
    permits : int
        Permits granted.
    restricted : bool
        Whether requests need permits.
    hold_off_s : float
        Time after which the gateway may ask again for permits, in seconds.
    wait_s : float
        Estimated time until the requests refused lately would have been admitted, in
        seconds.
    """

    tenant: str
    allocator: int
    session: int = 0
    number: int = 0
    used: int = 0
    permits: int = 0
    restricted: bool = True
    hold_off_s: float = 0.0
    wait_s: float = 0.0


def write_report(report: QuotaReport) -> bytes:
    """Return the encoded report."""
    struct = load_structs("membership").QuotaReport
    return encode(struct(**_omit_zeros(report._asdict())))


def read_report(value: bytes) -> QuotaReport:
    """Decode a report.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").QuotaReport, value)
    return QuotaReport(
        _check_tenant(struct.tenant),
        _check_range(struct.allocator or 0, ALLOCATORS_PER_TENANT - 1),
        struct.session or 0,
        struct.number or 0,
        struct.used or 0,
        struct.acknowledged or 0,
        _check_range(struct.wanted or 0, MAX_COUNT),
        _check_range(struct.refused or 0, MAX_COUNT),
    )


def write_state(state: QuotaState) -> bytes:
    """Return the encoded state."""
    fields = state._asdict()
    for name in ("hold_off", "wait"):
        delay_ms = math.ceil(fields.pop(f"{name}_s") * 1000)
        fields[f"{name}_ms"] = min(delay_ms, MAX_WAIT_MS)
    return encode(load_structs("membership").QuotaState(**_omit_zeros(fields)))


def read_state(value: bytes) -> QuotaState:
    """Decode a state.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    struct = decode(load_structs("membership").QuotaState, value)
    return QuotaState(
        _check_tenant(struct.tenant),
        _check_range(struct.allocator or 0, ALLOCATORS_PER_TENANT - 1),
        struct.session or 0,
        struct.number or 0,
        struct.used or 0,
        _check_range(struct.permits or 0, MAX_COUNT),
        struct.restricted is not False,
        _check_range(struct.hold_off_ms or 0, MAX_WAIT_MS) / 1000,
        _check_range(struct.wait_ms or 0, MAX_WAIT_MS) / 1000,
    )


def _omit_zeros(fields: dict[str, Any]) -> dict[str, Any]:
    """Leave out fields that are read as zero when they are absent."""
    return {
        name: value if value or value is False else None
        for name, value in fields.items()
    }


def _check_tenant(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ProtocolError("a message about a quota names no tenant")
    return value


def _check_range(value: int, highest: int) -> int:
    if not 0 <= value <= highest:
        raise ProtocolError("a message about a quota has a number out of range")
    return value
