"""Offered work by group, rank and tenant."""

from __future__ import annotations

import math
import struct
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh32_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_CELLS = 512
# Ranks outside these bounds are treated as the bounds; four bytes carry them.
MIN_RANK, MAX_RANK = -(2**31), 2**31 - 1
# Tenant of the work that is not listed by tenant: that of callers without a tenant and
# of the tenants with the least work.
REST = 0
_HEADER = struct.Struct("<H")
_CELL = struct.Struct("<HiIe")
# Cells of `REST` in a message besides the listed ones: with 48 of these and 12 bytes
# each, a message stays below the 900 bytes that a peer message may have.
MAX_REST_CELLS = 24
# Highest value of a half-precision number.
_MAX_RATE = 65504.0


class Cell(NamedTuple):
    """Key of the demand of one tenant at one rank.

    Parameters
    ----------
    group : int
        Number of the group, see `number_group`.
    rank : int
        Rank; lower numbers are served first.
    tenant : int
        Number of the tenant, see `number_tenant`; `REST` for no tenant in particular.
    """

    group: int
    rank: int
    tenant: int


Rates = dict[Cell, float]


def number_group(name: str) -> int:
    """Return the 16-bit number of a group in messages."""
    return xxh32_intdigest(name.encode()) & 0xFFFF


def number_tenant(name: str) -> int:
    """Return the 32-bit number of a tenant in messages; `REST` for an empty name."""
    return max(1, xxh32_intdigest(name.encode())) if name else REST


def clamp_rank(rank: int) -> int:
    """Return the rank within the bounds that messages carry."""
    return min(MAX_RANK, max(MIN_RANK, rank))


class RankedDemand:
    """Decaying rates of offered work, in seconds of service time per second.

    Parameters
    ----------
    time_constant_s : float
        Time constant of the decay, in seconds.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._cells: dict[Cell, tuple[float, float]] = {}

    def record(self, cell: Cell, work_s: float, now: float) -> None:
        """Record the work of one request, in seconds of service time."""
        rate = self._decay(self._cells.pop(cell, (0.0, now)), now)
        self._cells[cell] = (rate + work_s / self._time_constant_s, now)
        if len(self._cells) > MAX_CELLS:
            # The cell that was recorded least recently.
            del self._cells[next(iter(self._cells))]

    def list_rates(self, now: float) -> Rates:
        """Return the rates decayed to the present."""
        return {cell: self._decay(state, now) for cell, state in self._cells.items()}

    def _decay(self, state: tuple[float, float], now: float) -> float:
        rate, updated = state
        return rate * math.exp(-max(0.0, now - updated) / self._time_constant_s)


def add_rates(parts: Iterable[Mapping[Cell, float]]) -> Rates:
    """Return the sums of rates by cell."""
    totals: Rates = {}
    for part in parts:
        for cell, rate in part.items():
            totals[cell] = totals.get(cell, 0.0) + rate
    return totals


def encode_rates(rates: Mapping[Cell, float], gateways: int, max_cells: int) -> bytes:
    """Serialize rates for a message.

    Parameters
    ----------
    rates : mapping of Cell to float
        Rates; those of the smallest cells are added to the `REST` of their rank.
    gateways : int
        Number of gateways whose demand the rates contain.
    max_cells : int
        Highest number of cells in the message, besides one `REST` by group and rank.
        Of these, the `MAX_REST_CELLS` with the most work are kept.
    """
    ordered = sorted(rates, key=lambda cell: (-rates[cell], cell))
    listed = {cell: rates[cell] for cell in ordered[:max_cells]}
    rests: Rates = {}
    for cell in ordered[max_cells:]:
        rest = cell._replace(tenant=REST)
        rates_of_rest = listed if rest in listed else rests
        rates_of_rest[rest] = rates_of_rest.get(rest, 0.0) + rates[cell]
    kept = sorted(rests, key=lambda cell: (-rests[cell], cell))[:MAX_REST_CELLS]
    listed.update((cell, rests[cell]) for cell in kept)
    cells = (
        _CELL.pack(*cell, min(rate, _MAX_RATE))
        for cell, rate in listed.items()
        if rate > 0
    )
    return _HEADER.pack(min(gateways, 0xFFFF)) + b"".join(cells)


def decode_rates(value: bytes) -> tuple[Rates, int] | None:
    """Return rates and number of gateways of a message; None if it is malformed."""
    length = len(value) - _HEADER.size
    if length < 0 or length % _CELL.size:
        return None
    (gateways,) = _HEADER.unpack_from(value)
    rates: Rates = {}
    for group, rank, tenant, rate in _CELL.iter_unpack(value[_HEADER.size :]):
        if not (math.isfinite(rate) and rate >= 0):
            return None
        rates[Cell(group, rank, tenant)] = rate
    return rates, gateways
