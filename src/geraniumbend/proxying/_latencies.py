"""Recent latencies until the head of a response."""

from __future__ import annotations

# Samples that are kept of each group and request class.
WINDOW_SAMPLES = 256
# Samples between two computations of the quantile.
UPDATE_PERIOD_SAMPLES = 32
QUANTILE = 0.95
# Silence timeout in seconds while there are too few samples for a quantile.
DEFAULT_SILENCE_TIMEOUT_S = 0.5
MIN_SILENCE_TIMEOUT_S = 0.25
# Silence timeout as a multiple of the quantile.
SILENCE_TIMEOUT_FACTOR = 3.0


class _Samples:
    __slots__ = ("count", "ordered", "quantile_s", "values")

    def __init__(self) -> None:
        self.values: list[float] = []
        self.count = 0
        self.quantile_s = 0.0
        self.ordered: list[float] = []

    def read_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the samples, as of the last update."""
        return self.ordered[
            min(len(self.ordered) - 1, int(quantile * len(self.ordered)))
        ]


class HeadLatencies:
    """Recent times from sending a request until the head of its response arrives.

    The last 256 samples are kept per group and request class; their 95th percentile is
    computed after every 32 samples.
    """

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], _Samples] = {}

    def observe(self, group: str, request_class: str, latency_s: float) -> None:
        """Add a sample in seconds."""
        key = (group, request_class)
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = _Samples()
        if len(samples.values) < WINDOW_SAMPLES:
            samples.values.append(latency_s)
        else:
            samples.values[samples.count % WINDOW_SAMPLES] = latency_s
        samples.count += 1
        if samples.count % UPDATE_PERIOD_SAMPLES == 0:
            samples.ordered = sorted(samples.values)
            samples.quantile_s = samples.read_quantile_s(QUANTILE)

    def hedge_delay(
        self, group: str, request_class: str, quantile: float | None = None
    ) -> float | None:
        """Return the time after which a hedge starts, in seconds.

        A response that takes longer than nearly all others is likely to come sooner
        from another server.

        Parameters
        ----------
        group, request_class : str
            Group and class of the request.
        quantile : float or None, default=None
            Quantile of the latencies after which a hedge starts; the 95th percentile
            when None.

        Returns
        -------
        float or None
            None while there are too few samples; the delay would be a guess.
        """
        samples = self._samples.get((group, request_class))
        if samples is None or samples.count < UPDATE_PERIOD_SAMPLES:
            return None
        if quantile is None:
            return samples.quantile_s
        return samples.read_quantile_s(quantile)

    def silence_timeout(self, group: str, request_class: str) -> float:
        """Return the time without a byte that makes a connection suspect, in seconds.

        A reused connection without any byte for that long is suspected to be broken.
        """
        quantile_s = self.hedge_delay(group, request_class)
        if quantile_s is None:
            return DEFAULT_SILENCE_TIMEOUT_S
        return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * quantile_s)
