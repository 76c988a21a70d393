from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh64_intdigest

MEMORY_ENTRIES = 20_000
# An open that was admitted stays admitted while its burst of requests lasts; one that
# was refused stays refused only shortly, so that callers who try again get in soon
# after the crest.
ADMITTED_S = 10.0
REFUSED_S = 1.0


def rank_open(sheet: str) -> float:
    """Return the rank of one open of a sheet.

    Parameters
    ----------
    sheet : str
        Identifier of the open.

    Returns
    -------
    float
        Number from 0 (first) to below 1, the same on every gateway.
    """
    return xxh64_intdigest(sheet.encode()) / 2**64


class OpenMemory:
    """Decisions on recent opens of this gateway.

    Without it a change of the level in the middle of an open would leave the open
    incomplete.
    """

    def __init__(self) -> None:
        self._decisions: OrderedDict[tuple[str, str], tuple[bool, float]] = (
            OrderedDict()
        )

    def recall(self, group: str, sheet: str, now: float) -> bool | None:
        """Return the decision on an open that is still in force, or None."""
        known = self._decisions.get((group, sheet))
        if known is None or known[1] < now:
            return None
        return known[0]

    def remember(self, group: str, sheet: str, admitted: bool, now: float) -> None:
        """Keep the decision on an open."""
        expiry = now + (ADMITTED_S if admitted else REFUSED_S)
        self._decisions[(group, sheet)] = (admitted, expiry)
        self._decisions.move_to_end((group, sheet))
        if len(self._decisions) > MEMORY_ENTRIES:
            self._decisions.popitem(last=False)
