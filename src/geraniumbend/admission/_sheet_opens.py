"""Ranks and recent decisions of sheet opens."""

from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh64_intdigest

MAX_DECISIONS = 20_000
# An admitted sheet open stays admitted while its burst of requests lasts, in seconds.
ADMITTED_LIFETIME_S = 10.0


def shedding_rank(sheet: str) -> float:
    """Return the shedding rank of a sheet open.

    Requests of one sheet open share its rank, so they are admitted or refused together.

    Parameters
    ----------
    sheet : str
        Identifier of the sheet open.

    Returns
    -------
    float
        Hash of the identifier, from 0 (refused last) to below 1 (refused first); the
        same on every gateway.
    """
    return xxh64_intdigest(sheet.encode()) / 2**64


class SheetDecisionCache:
    """Recent admission decisions of this gateway on sheet opens.

    Without them, a change of the threshold during a sheet open would leave its
    responses incomplete.
    """

    def __init__(self) -> None:
        self._decisions: OrderedDict[tuple[str, str], tuple[bool, float]] = (
            OrderedDict()
        )

    def find(self, group: str, sheet: str, now: float) -> bool | None:
        """Return the decision on a sheet open, or None if none is in force."""
        entry = self._decisions.get((group, sheet))
        if entry is None or entry[1] <= now:
            return None
        return entry[0]

    def record(
        self, group: str, sheet: str, admitted: bool, now: float, return_s: float
    ) -> None:
        """Record the decision on a sheet open.

        A refused one is decided anew once its callers return as they were told. Until
        then the rest of its burst is refused as well, since an incomplete sheet is of
        no use to its callers.

        Parameters
        ----------
        group, sheet : str
            Group, and identifier of the sheet open.
        admitted : bool
            Whether it is admitted.
        now : float
            Current time, in seconds.
        return_s : float
            Shortest time after which its callers are told to return, in seconds.
        """
        expiry = now + (ADMITTED_LIFETIME_S if admitted else return_s)
        self._decisions[(group, sheet)] = (admitted, expiry)
        self._decisions.move_to_end((group, sheet))
        if len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)
