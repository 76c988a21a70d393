"""Token bucket of the bytes that a node may send."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from geraniumbend.timers import TimerService

# Bytes of IPv4 and UDP headers, and of the signed frame around a datagram.
DATAGRAM_OVERHEAD_BYTES = 28 + 59
# Limits of the balance, in seconds of the refill rate. A burst of one second lets a
# node send a batch of changes at once without raising the average. A debt above two
# seconds would keep a node from sending for longer than the suspicion timeout.
BURST_S = 1.0
MAX_DEBT_S = 2.0


class ByteBudget:
    """Token bucket of the bytes that a node may send.

    Parameters
    ----------
    bytes_per_second : float
        Refill rate.
    timers : TimerService
        Clock.
    burst : float, default=0.0
        Minimum capacity of the bucket, in bytes.

    Attributes
    ----------
    spent : int
        Bytes charged since the start.
    """

    def __init__(
        self, bytes_per_second: float, timers: TimerService, burst: float = 0.0
    ) -> None:
        self.rate = bytes_per_second
        self._burst = burst
        self.spent = 0
        self._timers = timers
        self._tokens = max(bytes_per_second * BURST_S, burst)
        self._refilled = timers.now()

    def available(self) -> float:
        """Return the bytes that may be sent now; negative while in debt."""
        now = self._timers.now()
        gained = (now - self._refilled) * self.rate
        limit = max(self.rate * BURST_S, self._burst)
        self._tokens = min(limit, self._tokens + gained)
        self._refilled = now
        return self._tokens

    def charge(self, size: int) -> None:
        """Record bytes that were sent; the balance may become negative.

        Parameters
        ----------
        size : int
            Bytes.
        """
        self.available()
        self._tokens -= size
        self.spent += size

    def try_charge(self, size: int) -> bool:
        """Charge bytes when they are available.

        Parameters
        ----------
        size : int
            Bytes.

        Returns
        -------
        bool
            Whether the bytes may be sent.
        """
        if self.available() < size:
            return False
        self.charge(size)
        return True

    def debt_limit_exceeded(self) -> bool:
        """Return whether the debt is so large that urgent messages have to wait too."""
        return self.available() < -self.rate * MAX_DEBT_S
