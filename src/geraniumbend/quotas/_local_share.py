"""Admission of a gateway that hears nothing from the allocators of a tenant."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Longest time for which a gateway admits requests on its own, in seconds.
MAX_ALONE_S = 30.0
# Requests that it may admit at once after some time without any. With 1 most of a
# share of about one request a second would be lost between random arrivals.
MAX_TOKENS = 3.0
# Shares by the time alone, in seconds, up to which they are in force.
ShareSteps = tuple[tuple[float, float], ...]


class LocalShare:
    """Small token bucket that is used while allocators are silent.

    It starts with a random part of one token. So all gateways
    together admit their shares on average also where the share of one gateway is
    far below one request; a token for each of 95 gateways would exceed the bound.

    Parameters
    ----------
    rng : random.Random
        Chooses the initial level.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._silent_since: float | None = None
        self._level = 0.0
        self._refilled_at = 0.0

    def end(self) -> None:
        """End the time alone, since the allocators answer."""
        self._silent_since = None

    def try_take(
        self, now: float, silent_since: float, even_rate_per_s: float, steps: ShareSteps
    ) -> bool:
        """Tell whether a request is admitted, and count it.

        Parameters
        ----------
        now : float
            Reading of the clock.
        silent_since : float
            Reading from which on the allocators count as silent.
        even_rate_per_s : float
            Even share of the tenant's rate, in requests a second.
        steps : tuple of (float, float)
            Part of it that this gateway may admit on its own, by the time alone.
        """
        if self._silent_since is None:
            self._silent_since = self._refilled_at = silent_since
            self._level = self._rng.random()
        alone_s = now - self._silent_since
        share = next(share for end_s, share in steps if alone_s <= end_s)
        tokens = max(0.0, now - self._refilled_at) * share * even_rate_per_s
        self._refilled_at = now
        self._level = min(MAX_TOKENS, self._level + tokens)
        if alone_s > MAX_ALONE_S or self._level < 1.0:
            return False
        self._level -= 1.0
        return True
