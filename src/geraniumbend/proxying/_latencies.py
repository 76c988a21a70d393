from __future__ import annotations

WINDOW = 256
SORT_PERIOD = 32
QUANTILE = 0.95
# Without samples a hedge would be a guess; silence is assumed only after this time.
DEFAULT_SILENCE_S = 0.5
MIN_SILENCE_S = 0.25
SILENCE_FACTOR = 3.0


class _Samples:
    __slots__ = ("count", "quantile_s", "values")

    def __init__(self) -> None:
        self.values: list[float] = []
        self.count = 0
        self.quantile_s = 0.0


class HeadLatencies:
    """Recent times from sending a request to the head of its answer.

    Kept per group and request class in a ring of 256 samples; the 95th percentile is
    taken anew after every 32 samples.
    """

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], _Samples] = {}

    def observe(self, group: str, request_class: str, latency_s: float) -> None:
        """Add a time in seconds."""
        key = (group, request_class)
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = _Samples()
        if len(samples.values) < WINDOW:
            samples.values.append(latency_s)
        else:
            samples.values[samples.count % WINDOW] = latency_s
        samples.count += 1
        if samples.count % SORT_PERIOD == 0:
            ordered = sorted(samples.values)
            samples.quantile_s = ordered[int(QUANTILE * len(ordered))]

    def hedge_delay(self, group: str, request_class: str) -> float | None:
        """Return the 95th percentile in seconds, None without enough samples."""
        samples = self._samples.get((group, request_class))
        if samples is None or samples.count < SORT_PERIOD:
            return None
        return samples.quantile_s

    def silence_bound(self, group: str, request_class: str) -> float:
        """Return the time without a byte after which silence is suspected, in s."""
        quantile_s = self.hedge_delay(group, request_class)
        if quantile_s is None:
            return DEFAULT_SILENCE_S
        return max(MIN_SILENCE_S, SILENCE_FACTOR * quantile_s)
